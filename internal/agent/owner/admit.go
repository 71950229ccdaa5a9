package owner

import (
	"cmp"
	"container/heap"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
)

const (
	// hopelessEvery is the time between two looks at all waiting requests.
	hopelessEvery = 10 * time.Millisecond
	// Bounds of the advised wait after queue_full.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// admit returns once the ticket has a slot.
func (own *Owner) admit(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	queued, ref := own.enqueue(tck)
	if ref != nil || !queued {
		return ref
	}
	select {
	case ref := <-tck.wake:
		return ref
	case <-ctx.Done():
		return own.giveUp(ctx, tck)
	}
}

// enqueue gives the ticket a slot or a place in the queue.
func (own *Owner) enqueue(tck *ticket) (queued bool, ref *siskinrill.Refusal) {
	slots := own.slots()
	left, told := own.warmup()
	svc := own.ses.Service(tck.shard.service)
	limit := cmp.Or(int(svc.GetQueueLimit()), defaultQueue)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.lim.ramp = durationOr(svc.GetRampMs(), time.Millisecond, defaultRamp)
	own.lim.setSlots(slots)
	if told {
		own.lim.warm(left)
	}
	if tck.rec.withdrawn {
		return false, siskinrill.NotRun(siskinrill.ReasonWithdrawn)
	}
	if slots == 0 {
		return false, siskinrill.NotRun(siskinrill.ReasonBackendUnreachable)
	}
	own.pump()
	if own.que.Len() == 0 && own.hasSlot() {
		_ = own.forecast(tck)
		own.take(tck)
		return false, nil
	}
	if ref := own.forecast(tck); ref != nil {
		own.lds.turnedAway(tck.shard)
		return false, ref
	}
	if own.que.Len() >= limit {
		return false, siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(own.retryAfter())
	}
	heap.Push(&own.que, tck)
	return true, nil
}

// warmup returns for how long the backend server stays slow after its start, false if that is not known.
func (own *Owner) warmup() (time.Duration, bool) {
	if own.opt.Warmup == nil {
		return 0, false
	}
	return own.opt.Warmup()
}

// take gives a slot to the ticket, which keeps it until its end; the caller holds the mutex.
func (own *Owner) take(tck *ticket) {
	tck.holds = true
	own.taken++
}

// retryAfter estimates when the queue has emptied.
func (own *Owner) retryAfter() time.Duration {
	rounds := float64(own.que.Len()+1) / float64(max(own.lim.current(), 1))
	wait := time.Duration(rounds * float64(own.lim.latency()))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// giveUp ends the wait of a ticket whose caller has gone or whose deadline has passed.
func (own *Owner) giveUp(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	own.mu.Lock()
	defer own.mu.Unlock()
	if !own.que.remove(tck) {
		if ref := <-tck.wake; ref != nil {
			return ref
		}
	}
	return siskinrill.NotRun(waitReason(ctx))
}

func waitReason(ctx context.Context) siskinrill.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return siskinrill.ReasonDeadlineInQueue
	}
	return siskinrill.ReasonCallerGone
}

// hasSlot reports whether one more request may run; the caller holds the mutex.
func (own *Owner) hasSlot() bool { return own.taken < own.lim.current()+own.flt.extraSlots }

// pump gives free slots to the waiting tickets with the earliest deadlines; the caller holds the mutex.
func (own *Owner) pump() {
	now := time.Now()
	own.dismissHopeless(now)
	for own.que.Len() > 0 {
		first := own.que[0]
		switch {
		case own.lim.slots == 0:
			own.dismiss(first, siskinrill.ReasonBackendUnreachable)
		case !now.Before(first.deadline):
			own.dismiss(first, siskinrill.ReasonDeadlineInQueue)
		case first.overdue(now):
			first.late = true
			heap.Fix(&own.que, first.position)
		case own.hasSlot():
			own.que.remove(first)
			own.take(first)
			first.signal(nil)
		default:
			return
		}
	}
}

// dismissHopeless refuses waiting requests whose runs would end after their deadlines: they would take slots from others for nothing, and their callers can use the time that is left. Those without an aim stay to their deadlines, which may be far off.
func (own *Owner) dismissHopeless(now time.Time) {
	if now.Sub(own.looked) < hopelessEvery {
		return
	}
	own.looked = now
	var over []*ticket
	for _, tck := range own.que {
		if tck.hopeless(now) {
			over = append(over, tck)
		}
	}
	for _, tck := range over {
		own.dismiss(tck, siskinrill.ReasonQueueFull)
	}
}

// hopeless reports whether a request with an aim would not end before its deadline.
func (tck *ticket) hopeless(now time.Time) bool {
	return tck.aimed && now.Add(tck.run).After(tck.deadline)
}

// overdue reports whether a waiting request can no longer meet its aim.
func (tck *ticket) overdue(now time.Time) bool {
	return tck.aimed && !tck.late && now.Add(tck.run).After(tck.aim)
}

// dismiss refuses a waiting ticket; the caller holds the mutex.
func (own *Owner) dismiss(tck *ticket, rsn siskinrill.Reason) {
	own.que.remove(tck)
	tck.signal(siskinrill.NotRun(rsn))
}
