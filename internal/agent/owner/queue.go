package owner

import (
	"container/heap"
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// notQueued is the heap position of a ticket that is not in the queue.
const notQueued = -1

// shardID names a partition or an override.
type shardID struct {
	service   string
	partition uint32
	key       string
}

func shardOf(row *controlpb.Shard) shardID {
	return shardID{service: row.GetService(), partition: row.GetPartition(), key: row.GetKey()}
}

// ticket is one attempt on its way through the owner.
type ticket struct {
	att           *siskinrill.Attempt
	rec           *record
	atMostOnce    bool // non-idempotent or upload
	deadline      time.Time
	hasAim        bool          // its route has a time within which an answer is worth most
	aim           time.Time     // end of that time
	afterAim      bool          // cannot be answered within it
	expectedRun   time.Duration // expected
	queue         *queue        // in which it waits, nil for none
	position      int
	accepted      bool                     // has passed the forecast
	wake          chan *siskinrill.Refusal // nil: it has a slot
	shard         shardID                  // row under which it was admitted
	started       time.Time
	hasSlot       bool                // has a slot
	claim         *claim              // of its Idempotency-Key
	copies        *copyDestinations   // of its idempotency record on other agents, nil while none was sent
	bdy           *requestBody        // nil when the first message holds the whole body
	received      *siskinrill.Attempt // with what was received of its body, nil while nothing was
	bodyRequested bool                // its body was asked for
	pendingBytes  int64               // bytes of its body that count as on their way
	bodyTime      time.Duration       // of its body, expected, 0 once it is here
	ttl           time.Duration       // of its idempotency record
	cancel        context.CancelFunc
}

func newTicket(att *siskinrill.Attempt) *ticket {
	opn := att.Open()
	dur := time.Duration(opn.GetTimeoutMs()) * time.Millisecond
	if dur == 0 {
		dur = defaultTimeout
	}
	tck := &ticket{att: att, deadline: time.Now().Add(dur), position: notQueued}
	tck.wake = make(chan *siskinrill.Refusal, 1)
	tck.atMostOnce = att.Kind() != controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT
	if opn.GetAimMs() > 0 || opn.GetRoute() != "" && opn.GetPriority() > 0 {
		tck.hasAim, tck.aim = true, time.Now().Add(time.Duration(opn.GetAimMs())*time.Millisecond)
	}
	tck.rec = &record{id: idOf(opn.GetAttempt()), tck: tck}
	if !opn.GetBodyEnd() && att.Body() != nil {
		tck.bdy = newRequestBody(att, tck.digest())
	}
	return tck
}

// signal wakes the ticket; a second signal is dropped.
func (tck *ticket) signal(ref *siskinrill.Refusal) {
	select {
	case tck.wake <- ref:
	default:
	}
}

// reserve returns the rest of the lease that the request needs.
func (tck *ticket) reserve() time.Duration {
	if tck.atMostOnce {
		return reserveOnce
	}
	return reserveIdempotent
}

// queue orders tickets by the time at which they are due, the earliest first.
type queue []*ticket

// Len returns the number of waiting tickets.
func (que queue) Len() int { return len(que) }

// Less orders by the end of the time within which an answer is worth most; requests that have passed it come last, by their deadlines.
func (que queue) Less(one, two int) bool { return que[one].before(que[two]) }

// before reports whether a ticket goes before another.
func (tck *ticket) before(oth *ticket) bool {
	if tck.afterAim != oth.afterAim {
		return oth.afterAim
	}
	return tck.due().Before(oth.due())
}

// due returns the time by which a ticket is ordered.
func (tck *ticket) due() time.Time {
	if tck.hasAim && !tck.afterAim {
		return tck.aim
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

// dequeue takes the ticket out of its queue and reports whether it was waiting in one.
func (tck *ticket) dequeue() bool {
	if tck.queue == nil {
		return false
	}
	heap.Remove(tck.queue, tck.position)
	return true
}
