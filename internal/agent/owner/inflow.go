package owner

import (
	"cmp"
	"container/heap"
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// receivedBody is how much of a body is received before the request gets its slot, in bytes; what follows streams to the backend server.
	receivedBody = 256 << 10
	// pendingBytes is how much may be on its way before a further body is asked for: more would only lengthen the queue on this host's link, in which short messages wait, and less would leave the link idle between two bodies.
	pendingBytes = 32 << 10
	// streamBytes is the most that one body can have on its way; it is the flow control window of a stream between agents.
	streamBytes = 128 << 10
	// stallCheck is the time without a byte of any body after which those that are awaited no longer count as on their way.
	stallCheck = 100 * time.Millisecond
	// longestHold is how long one body counts as on its way at most, so that a slow caller does not hold up the others.
	longestHold = time.Second
)

// inflow holds the requests whose bodies come to this agent before they get slots; the owner's mutex guards it.
type inflow struct {
	queue     queue     // bodies that have not been asked for
	receiving int       // bodies that have been asked for, until their requests have slots or wait for them
	pending   int64     // bytes of these that are on their way
	moved     time.Time // when the last part of any body came
	pace      pace
}

// size returns the number of requests that wait for their bodies.
func (inf *inflow) size() int { return inf.queue.Len() + inf.receiving }

// expect counts the body of a ticket as on its way.
func (inf *inflow) expect(tck *ticket) {
	tck.asked = true
	inf.moved = time.Now()
	tck.expected = onTheWay(tck.bdy.remaining())
	inf.pending += tck.expected
	inf.receiving++
}

// onTheWay returns how much of a body that has num bytes left, negative if not known, can be on its way at once.
func onTheWay(num int64) int64 {
	if num < 0 {
		return streamBytes
	}
	return min(num, streamBytes)
}

// forget ends the wait of a ticket for its body.
func (inf *inflow) forget(tck *ticket) {
	if !tck.asked {
		return
	}
	tck.asked, tck.transfer = false, 0
	inf.receiving--
	inf.yield(tck)
}

// yield counts nothing of a ticket's body as on its way any more.
func (inf *inflow) yield(tck *ticket) {
	inf.pending -= tck.expected
	tck.expected = 0
}

// receive returns once the body of an admitted ticket is here, or its first part if it is long, so that the slots of the backend server do not wait for callers. Nothing has run when it fails.
func (own *Owner) receive(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	if tck.bdy == nil || tck.bdy.ended() {
		return nil
	}
	if ref := own.awaitInflow(ctx, tck); ref != nil {
		return ref
	}
	done := make(chan error, 1)
	buf := tck.buffer()
	go func() { done <- own.fillBody(tck, buf) }()
	return own.watchBody(ctx, tck, done)
}

// awaitInflow returns once the ticket's body may be asked for.
func (own *Owner) awaitInflow(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	if ref := own.enqueueBody(tck); ref != nil {
		return ref
	}
	return own.awaitTurn(ctx, tck)
}

// enqueueBody admits a ticket and gives it a place among those whose bodies are asked for in turn.
func (own *Owner) enqueueBody(tck *ticket) *siskinrill.Refusal {
	ste := own.state(tck)
	own.mu.Lock()
	defer own.mu.Unlock()
	if ref := own.accept(tck, ste); ref != nil {
		return ref
	}
	heap.Push(&own.inf.queue, tck)
	own.pumpBodies(time.Now())
	return nil
}

// pumpBodies asks for the next bodies while little is on its way; the caller holds the mutex.
func (own *Owner) pumpBodies(now time.Time) {
	inf := &own.inf
	for inf.queue.Len() > 0 && inf.pending < pendingBytes {
		first := inf.queue[0]
		switch {
		case !now.Before(first.deadline):
			own.dismiss(first, siskinrill.ReasonDeadlineInQueue)
		case first.overdue(now):
			first.late = true
			heap.Fix(&inf.queue, first.position)
		default:
			first.leave()
			inf.expect(first)
			first.signal(nil)
		}
	}
}

// buffer returns a buffer that holds the first part of the body, with room for what is to be received.
func (tck *ticket) buffer() []byte {
	fst := tck.att.Open().GetBody()
	size := int64(receivedBody)
	if left := tck.bdy.remaining(); left >= 0 {
		size = min(size, left+int64(len(fst)))
	}
	buf := make([]byte, len(fst), max(size, int64(len(fst))))
	copy(buf, fst)
	return buf
}

// fillBody reads the body until it ends or the buffer is full, and makes it the body of the attempt.
func (own *Owner) fillBody(tck *ticket, buf []byte) error {
	for len(buf) < cap(buf) {
		num, err := tck.bdy.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		own.progress(tck, num)
		if err == io.EOF {
			tck.hold(buf)
			return nil
		}
		if err != nil {
			return err
		}
	}
	if !tck.bdy.ended() {
		tck.hold(buf)
		return nil
	}
	// Only the end proves that the lengths are right.
	num, err := tck.bdy.Read(make([]byte, 1))
	if num > 0 {
		return errors.New("body is longer than its length")
	}
	if err == io.EOF {
		tck.hold(buf)
		return nil
	}
	return cmp.Or(err, io.ErrNoProgress)
}

// hold makes the received bytes the first part of the attempt's body.
func (tck *ticket) hold(buf []byte) {
	if tck.bdy.ended() {
		tck.held = tck.att.WithBody(buf, nil, int64(len(buf)))
		return
	}
	tck.held = tck.att.WithBody(buf, tck.bdy, tck.att.Open().GetBodyLength())
}

// progress notes that num bytes of a body have come, and asks for further bodies.
func (own *Owner) progress(tck *ticket, num int) {
	now := time.Now()
	own.mu.Lock()
	defer own.mu.Unlock()
	own.inf.moved = now
	own.inf.pace.note(num, own.inf.queue.Len() > 0, now)
	if tck.expected == 0 {
		return
	}
	left := min(tck.expected, onTheWay(tck.bdy.remaining()))
	own.inf.pending -= tck.expected - left
	tck.expected = left
	own.pumpBodies(now)
}

// watchBody waits for the end of the transfer; a body that stalls is no longer counted as on its way.
func (own *Owner) watchBody(ctx context.Context, tck *ticket, done <-chan error) *siskinrill.Refusal {
	beg := time.Now()
	tic := time.NewTicker(stallCheck)
	defer tic.Stop()
	for {
		select {
		case err := <-done:
			if err != nil {
				return siskinrill.NewRefusal(siskinrill.ReasonCallerGone, peerpb.Outcome_OUTCOME_NOT_RUN, err)
			}
			return nil
		case ref := <-tck.wake:
			return ref
		case <-ctx.Done():
			return siskinrill.NotRun(waitReason(ctx))
		case now := <-tic.C:
			own.checkStall(tck, beg, now)
		}
	}
}

// checkStall lets others go on when nothing comes or a body takes long. A body that waits behind others on the link does not stall.
func (own *Owner) checkStall(tck *ticket, beg, now time.Time) {
	own.mu.Lock()
	defer own.mu.Unlock()
	if tck.expected == 0 || now.Sub(own.inf.moved) < stallCheck && now.Sub(beg) < longestHold {
		return
	}
	own.cnt.Event("body_stalled")
	own.inf.yield(tck)
	own.pumpBodies(now)
}
