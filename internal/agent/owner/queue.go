package owner

import (
	"container/heap"
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// notQueued is the heap position of a ticket that is not in a queue.
const notQueued = -1

// shardID identifies a partition, or an override if the key is set.
type shardID struct {
	service   string
	partition uint32
	key       string
}

func shardOf(row *controlpb.Shard) shardID {
	return shardID{service: row.GetService(), partition: row.GetPartition(), key: row.GetKey()}
}

func shardOfRef(ref *controlpb.ShardRef) shardID {
	return shardID{service: ref.GetService(), partition: ref.GetPartition(), key: ref.GetKey()}
}

// ticket is the state of one attempt while the owner handles it.
type ticket struct {
	att           *siskinrill.Attempt
	rec           *record
	atMostOnce    bool   // non-idempotent or upload: must not run twice
	priority      uint32 // of its route, 0 is the most urgent
	deadline      time.Time
	lead          time.Duration // how long before its deadline it is refused if it has not started
	hasAim        bool          // its route has a time up to which an answer has its full value
	aim           time.Time     // end of that time
	yield         time.Duration // how much later than by its aim it is ordered, because of more urgent requests
	afterAim      bool          // cannot be answered within its aim
	expectedRun   time.Duration // expected run time
	queue         *queue        // queue in which it waits, nil for none
	position      int
	accepted      bool                     // has been admitted by the forecast
	wake          chan *siskinrill.Refusal // nil: continue; otherwise the refusal
	shard         shardID                  // shard under which it was admitted
	started       time.Time                // when it was dispatched or began the last check before that, zero before
	claim         *claim                   // claim on its Idempotency-Key
	copies        *copyDestinations        // agents that hold copies of its idempotency record, nil before the first copy is sent
	bdy           *requestBody             // nil if the first message holds the complete body
	received      *siskinrill.Attempt      // attempt with the received part of the body, nil before that
	bodyRequested bool                     // the transfer of its body was requested
	pendingBytes  int64                    // bytes of its body that count as in transit
	bodyTime      time.Duration            // expected transfer time of its body, 0 once received
	ttl           time.Duration            // time to live of its idempotency record
	cancel        context.CancelFunc
}

func newTicket(att *siskinrill.Attempt) *ticket {
	opn := att.Open()
	dur := time.Duration(opn.GetTimeoutMs()) * time.Millisecond
	if dur == 0 {
		dur = defaultTimeout
	}
	tck := &ticket{att: att, priority: opn.GetPriority(), deadline: time.Now().Add(dur), lead: siskinrill.RefusalLead(dur), position: notQueued}
	tck.wake = make(chan *siskinrill.Refusal, 1)
	tck.atMostOnce = !att.Idempotent()
	if opn.GetAimMs() > 0 || opn.GetRoute() != "" && opn.GetPriority() > 0 {
		tck.hasAim, tck.aim = true, time.Now().Add(time.Duration(opn.GetAimMs())*time.Millisecond)
	}
	tck.rec = &record{id: idOf(opn.GetAttempt()), tck: tck}
	if !opn.GetBodyEnd() && att.Body() != nil {
		tck.bdy = newRequestBody(att, tck.digest())
	}
	return tck
}

// isRunning reports whether the ticket has been dispatched, or is in the last check before that.
func (tck *ticket) isRunning() bool { return !tck.started.IsZero() }

// remainingRun returns the expected time until a ticket that has a slot ends.
func (tck *ticket) remainingRun(now time.Time) time.Duration {
	if !tck.isRunning() {
		return tck.expectedRun
	}
	return max(tck.expectedRun-now.Sub(tck.started), 0)
}

// signal wakes the ticket; a second signal is dropped.
func (tck *ticket) signal(ref *siskinrill.Refusal) {
	select {
	case tck.wake <- ref:
	default:
	}
}

// reserve returns how much of the lease must remain for the request to start.
func (tck *ticket) reserve() time.Duration {
	if tck.atMostOnce {
		return reserveOnce
	}
	return reserveIdempotent
}

// queue is a heap of tickets ordered by due time, the earliest first.
type queue []*ticket

// Len returns the number of waiting tickets.
func (que queue) Len() int { return len(que) }

// Less orders by aim, where less urgent requests yield to more urgent ones; requests that cannot meet their aims come last,
// ordered by priority and deadline.
func (que queue) Less(one, two int) bool { return que[one].before(que[two]) }

// before reports whether a ticket is ordered before another.
func (tck *ticket) before(oth *ticket) bool {
	if tck.afterAim != oth.afterAim {
		return oth.afterAim
	}
	if tck.afterAim && tck.priority != oth.priority {
		return tck.priority < oth.priority
	}
	return tck.due().Before(oth.due())
}

// due returns the time by which a ticket is ordered: its aim while it can be met, otherwise its deadline.
func (tck *ticket) due() time.Time {
	if tck.hasAim && !tck.afterAim {
		return tck.aim.Add(tck.yield)
	}
	return tck.deadline
}

// Swap exchanges two tickets.
func (que queue) Swap(one, two int) {
	que[one], que[two] = que[two], que[one]
	que[one].position = one
	que[two].position = two
}

// Push is used by container/heap.
func (que *queue) Push(itm any) {
	tck := itm.(*ticket)
	tck.position = len(*que)
	tck.queue = que
	*que = append(*que, tck)
}

// Pop is used by container/heap.
func (que *queue) Pop() any {
	old := *que
	last := len(old) - 1
	tck := old[last]
	old[last] = nil
	*que = old[:last]
	tck.position = notQueued
	tck.queue = nil
	return tck
}

// dequeue removes the ticket from its queue and reports whether it was in one.
func (tck *ticket) dequeue() bool {
	if tck.queue == nil {
		return false
	}
	heap.Remove(tck.queue, tck.position)
	return true
}
