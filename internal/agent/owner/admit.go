package owner

import (
	"cmp"
	"container/heap"
	"context"
	"iter"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
)

const (
	// deadlineCheckInterval is the minimum time between two checks of all waiting requests.
	deadlineCheckInterval = 10 * time.Millisecond
	// Bounds of Retry-After for queue_full.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// admit waits until the ticket has a slot.
func (own *Owner) admit(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	queued, ref := own.enqueue(tck)
	if ref != nil || !queued {
		return ref
	}
	return own.awaitWake(ctx, tck)
}

// awaitWake waits until a queued ticket is woken, and removes it from its queue when the context ends or when it can no
// longer be answered in time.
func (own *Owner) awaitWake(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	tmr := time.NewTimer(time.Until(tck.refuseAt()))
	defer tmr.Stop()
	select {
	case ref := <-tck.wake:
		return ref
	case <-tmr.C:
		return own.expireWait(tck)
	case <-ctx.Done():
		return own.abandonWait(tck, waitReason(ctx))
	}
}

// refuseAt returns the time at which a waiting ticket is refused, early enough for its caller to receive the
// refusal. Without an aim it is only known that nothing is left of its time.
func (tck *ticket) refuseAt() time.Time {
	if !tck.hasAim {
		return tck.deadline.Add(-tck.lead)
	}
	return tck.deadline.Add(-max(tck.lead, tck.bodyTime+tck.expectedRun))
}

// lateReason returns why a ticket is refused then.
func (tck *ticket) lateReason() siskinrill.Reason {
	if tck.hasAim {
		return siskinrill.ReasonQueueFull
	}
	return siskinrill.ReasonDeadlineInQueue
}

// sessionState holds what is read from the session before the owner's mutex is locked.
type sessionState struct {
	slots       int
	ramp        time.Duration
	limit       int // maximum number of waiting requests
	warmup      time.Duration
	warmupKnown bool // the backend server reports how long it stays slow
	starts      siskinrill.StartLimit
}

func (own *Owner) readSession(tck *ticket) sessionState {
	svc := own.ses.Service(tck.shard.service)
	ste := sessionState{
		slots: own.slots(),
		ramp:  durationOr(svc.GetRampMs(), time.Millisecond, defaultRamp),
		limit: cmp.Or(int(svc.GetQueueLimit()), defaultQueue),
	}
	ste.warmup, ste.warmupKnown = own.warmup()
	ste.starts = own.bck.StartLimit()
	return ste
}

// enqueue gives the ticket a slot or a place in the queue.
func (own *Owner) enqueue(tck *ticket) (queued bool, ref *siskinrill.Refusal) {
	ste := own.readSession(tck)
	own.mu.Lock()
	defer own.mu.Unlock()
	if ref := own.checkAdmission(tck, ste); ref != nil {
		return false, ref
	}
	own.bodies.finish(tck)
	if own.canRunNow() && own.holdStart(tck, time.Now()) == 0 {
		own.takeSlot(tck)
		return false, nil
	}
	heap.Push(&own.que, tck)
	if own.hasSlot() {
		own.assignSlots()
	}
	return true, nil
}

// checkAdmission admits or refuses a ticket by the forecast; the caller holds the mutex. A ticket that was admitted
// before its body was received is not checked again before it gets a slot.
func (own *Owner) checkAdmission(tck *ticket, ste sessionState) *siskinrill.Refusal {
	own.lim.ramp = ste.ramp
	own.lim.setSlots(ste.slots)
	if ste.warmupKnown {
		own.lim.setWarmup(ste.warmup)
	}
	own.starts.set(ste.starts)
	if tck.rec.withdrawn {
		return siskinrill.NotRun(siskinrill.ReasonWithdrawn)
	}
	if ste.slots == 0 {
		return siskinrill.NotRun(siskinrill.ReasonBackendUnreachable)
	}
	own.assignSlots()
	if own.outlastsStop(tck, time.Now()) {
		return siskinrill.NotRun(siskinrill.ReasonDraining).WithRetryAfter(minRetryAfter)
	}
	if tck.accepted {
		return nil
	}
	tck.accepted = true
	ref := own.forecast(tck)
	if ref != nil {
		own.lds.countRefused(tck.shard)
		return ref
	}
	if own.canRunNow() && !tck.bodyIncomplete() {
		return nil
	}
	if own.waiting() >= ste.limit && !own.refuseLessUrgent(tck) {
		return siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(own.retryAfter())
	}
	return nil
}

// canRunNow reports whether a request could run immediately; the caller holds the mutex.
func (own *Owner) canRunNow() bool {
	return own.que.Len() == 0 && own.hasSlot() && own.starts.ready(time.Now())
}

// waiting returns the number of requests that wait for their bodies or for slots; the caller holds the mutex.
func (own *Owner) waiting() int { return own.que.Len() + own.bodies.waiting() }

// queued yields the requests that wait in either queue; the caller holds the mutex.
func (own *Owner) queued() iter.Seq[*ticket] {
	return func(yield func(*ticket) bool) {
		for _, tck := range slices.Concat(own.que, own.bodies.queue) {
			if !yield(tck) {
				return
			}
		}
	}
}

// inOrder returns the requests that wait in either queue in the order in which they will start; the caller holds the
// mutex.
func (own *Owner) inOrder() []*ticket {
	return slices.SortedFunc(own.queued(), func(one, two *ticket) int {
		switch {
		case one.before(two):
			return -1
		case two.before(one):
			return 1
		default:
			return 0
		}
	})
}

// warmup returns for how long the backend server stays slow after its start, and false if that is not known.
func (own *Owner) warmup() (time.Duration, bool) {
	if own.opt.Warmup == nil {
		return 0, false
	}
	return own.opt.Warmup()
}

// takeSlot gives the ticket a slot, which it keeps until the attempt ends; the caller holds the mutex.
func (own *Owner) takeSlot(tck *ticket) {
	own.starts.take(time.Now())
	own.holders[tck] = struct{}{}
}

// retryAfter estimates how long it takes until the queue is empty.
func (own *Owner) retryAfter() time.Duration {
	rounds := float64(own.que.Len()+1) / float64(max(own.lim.current(), 1))
	wait := time.Duration(rounds * float64(own.lim.latency()))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// abandonWait ends the wait of a ticket whose caller has disconnected or whose time is used up.
func (own *Owner) abandonWait(tck *ticket, rsn siskinrill.Reason) *siskinrill.Refusal {
	own.mu.Lock()
	defer own.mu.Unlock()
	if !tck.dequeue() {
		if ref := <-tck.wake; ref != nil {
			return ref
		}
	}
	return siskinrill.NotRun(rsn)
}

// expireWait refuses a ticket that still waits when it is to be refused.
func (own *Owner) expireWait(tck *ticket) *siskinrill.Refusal {
	own.mu.Lock()
	defer own.mu.Unlock()
	if !tck.dequeue() {
		return <-tck.wake
	}
	return siskinrill.NotRun(tck.lateReason()).WithRetryAfter(own.retryAfter())
}

func waitReason(ctx context.Context) siskinrill.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return siskinrill.ReasonDeadlineInQueue
	}
	return siskinrill.ReasonCallerGone
}

// hasSlot reports whether one more request may run, apart from the rate limit; the caller holds the mutex.
func (own *Owner) hasSlot() bool { return len(own.holders) < own.lim.current()+own.flt.extraSlots }

// assignSlots gives free slots to the waiting tickets with the earliest deadlines; the caller holds the mutex.
func (own *Owner) assignSlots() {
	now := time.Now()
	own.refuseUnservable(now)
	own.requestBodies(now)
	for own.que.Len() > 0 {
		first := own.que[0]
		switch {
		case own.lim.slots == 0:
			own.refuseWaiting(first, siskinrill.ReasonBackendUnreachable)
		case !now.Before(first.deadline):
			own.refuseWaiting(first, siskinrill.ReasonDeadlineInQueue)
		case first.missesAim(now):
			first.afterAim = true
			heap.Fix(&own.que, first.position)
		case !own.hasSlot():
			return
		case !own.starts.ready(now):
			own.wakeAtNextStart(now)
			return
		default:
			next, hold := own.nextStart(now)
			if next == nil {
				own.wakeAfterHold(hold)
				return
			}
			if own.outlastsStop(next, now) {
				own.refuseWaiting(next, siskinrill.ReasonDraining)
				continue
			}
			next.dequeue()
			own.takeSlot(next)
			next.signal(nil)
		}
	}
}

// refuseUnservable refuses waiting requests that would end after their deadlines: they would occupy slots in vain,
// and their callers can use the remaining time for a retry. Requests without an aim wait until their deadlines,
// which may be far off.
func (own *Owner) refuseUnservable(now time.Time) {
	if now.Sub(own.lastDeadlineCheck) < deadlineCheckInterval {
		return
	}
	own.lastDeadlineCheck = now
	own.refuseBeyondRate(now)
	var unservable []*ticket
	for tck := range own.queued() {
		if tck.missesDeadline(now) {
			unservable = append(unservable, tck)
		}
	}
	for _, tck := range unservable {
		own.refuseWaiting(tck, siskinrill.ReasonQueueFull)
	}
}

// missesDeadline reports whether a request with an aim is expected to end after its deadline.
func (tck *ticket) missesDeadline(now time.Time) bool {
	return tck.hasAim && now.Add(tck.bodyTime+tck.expectedRun).After(tck.deadline)
}

// missesAim reports whether a waiting request can no longer be answered within its aim.
func (tck *ticket) missesAim(now time.Time) bool {
	return tck.hasAim && !tck.afterAim && now.Add(tck.bodyTime+tck.expectedRun).After(tck.aim)
}

// refuseWaiting removes a ticket from its queue and refuses it; the caller holds the mutex.
func (own *Owner) refuseWaiting(tck *ticket, rsn siskinrill.Reason) {
	tck.dequeue()
	tck.signal(siskinrill.NotRun(rsn))
}
