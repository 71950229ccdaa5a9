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
	// maxPrefetchBytes is how much of a body is received before the request gets its slot, in bytes; what follows streams to the backend server.
	maxPrefetchBytes = 256 << 10
	// maxPendingBytes is how much may be on its way before a further body is asked for: more would only lengthen the queue on this host's link, in which short messages wait, and less would leave the link idle between two bodies.
	maxPendingBytes = 32 << 10
	// maxStreamBytes is the most that one body can have on its way; it is the flow control window of a stream between agents.
	maxStreamBytes = 128 << 10
	// stallTimeout is the time without a byte of any body after which those that are awaited no longer count as on their way.
	stallTimeout = 100 * time.Millisecond
	// maxPendingTime is how long one body counts as on its way at most, so that a slow caller does not hold up the others.
	maxPendingTime = time.Second
)

// bodyTransfers holds the requests whose bodies come to this agent before they get slots; the owner's mutex guards it.
type bodyTransfers struct {
	queue        queue     // bodies that have not been asked for
	receiving    int       // bodies that have been asked for, until their requests have slots or wait for them
	pending      int64     // bytes of these that are on their way
	lastProgress time.Time // when the last part of any body came
	rate         transferRate
}

// size returns the number of requests that wait for their bodies.
func (btr *bodyTransfers) size() int { return btr.queue.Len() + btr.receiving }

// start counts the body of a ticket as on its way.
func (btr *bodyTransfers) start(tck *ticket) {
	tck.bodyRequested = true
	btr.lastProgress = time.Now()
	tck.pendingBytes = maxInTransit(tck.bdy.remaining())
	btr.pending += tck.pendingBytes
	btr.receiving++
}

// maxInTransit returns how much of a body that has num bytes left, negative if not known, can be on its way at once.
func maxInTransit(num int64) int64 {
	if num < 0 {
		return maxStreamBytes
	}
	return min(num, maxStreamBytes)
}

// finish ends the wait of a ticket for its body.
func (btr *bodyTransfers) finish(tck *ticket) {
	if !tck.bodyRequested {
		return
	}
	tck.bodyRequested, tck.bodyTime = false, 0
	btr.receiving--
	btr.clearPending(tck)
}

// clearPending counts nothing of a ticket's body as on its way any more.
func (btr *bodyTransfers) clearPending(tck *ticket) {
	btr.pending -= tck.pendingBytes
	tck.pendingBytes = 0
}

// receive returns once the body of an admitted ticket is here, or its first part if it is long, so that the slots of the backend server do not wait for callers. Nothing has run when it fails.
func (own *Owner) receive(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	if tck.bdy == nil || tck.bdy.ended() {
		return nil
	}
	if ref := own.awaitBodyTurn(ctx, tck); ref != nil {
		return ref
	}
	done := make(chan error, 1)
	buf := tck.buffer()
	go func() { done <- own.readBody(tck, buf) }()
	return own.watchBody(ctx, tck, done)
}

// awaitBodyTurn returns once the ticket's body may be asked for.
func (own *Owner) awaitBodyTurn(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	if ref := own.enqueueBody(tck); ref != nil {
		return ref
	}
	return own.awaitWake(ctx, tck)
}

// enqueueBody admits a ticket and gives it a place among those whose bodies are asked for in turn.
func (own *Owner) enqueueBody(tck *ticket) *siskinrill.Refusal {
	ste := own.readSession(tck)
	own.mu.Lock()
	defer own.mu.Unlock()
	if ref := own.checkAdmission(tck, ste); ref != nil {
		return ref
	}
	heap.Push(&own.bodies.queue, tck)
	own.requestBodies(time.Now())
	return nil
}

// requestBodies asks for the next bodies while little is on its way; the caller holds the mutex.
func (own *Owner) requestBodies(now time.Time) {
	inf := &own.bodies
	for inf.queue.Len() > 0 && inf.pending < maxPendingBytes {
		first := inf.queue[0]
		switch {
		case !now.Before(first.deadline):
			own.refuseWaiting(first, siskinrill.ReasonDeadlineInQueue)
		case first.missesAim(now):
			first.afterAim = true
			heap.Fix(&inf.queue, first.position)
		default:
			first.dequeue()
			inf.start(first)
			first.signal(nil)
		}
	}
}

// buffer returns a buffer that holds the first part of the body, with room for what is to be received.
func (tck *ticket) buffer() []byte {
	fst := tck.att.Open().GetBody()
	size := int64(maxPrefetchBytes)
	if remaining := tck.bdy.remaining(); remaining >= 0 {
		size = min(size, remaining+int64(len(fst)))
	}
	buf := make([]byte, len(fst), max(size, int64(len(fst))))
	copy(buf, fst)
	return buf
}

// readBody reads the body until it ends or the buffer is full, and makes it the body of the attempt.
func (own *Owner) readBody(tck *ticket, buf []byte) error {
	for len(buf) < cap(buf) {
		num, err := tck.bdy.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+num]
		own.progress(tck, num)
		if err == io.EOF {
			tck.setReceived(buf)
			return nil
		}
		if err != nil {
			return err
		}
	}
	if !tck.bdy.ended() {
		tck.setReceived(buf)
		return nil
	}
	// Only the end proves that the lengths are right.
	num, err := tck.bdy.Read(make([]byte, 1))
	if num > 0 {
		return errors.New("body is longer than its length")
	}
	if err == io.EOF {
		tck.setReceived(buf)
		return nil
	}
	return cmp.Or(err, io.ErrNoProgress)
}

// setReceived makes the received bytes the first part of the attempt's body.
func (tck *ticket) setReceived(buf []byte) {
	if tck.bdy.ended() {
		tck.received = tck.att.WithBody(buf, nil, int64(len(buf)))
		return
	}
	tck.received = tck.att.WithBody(buf, tck.bdy, tck.att.Open().GetBodyLength())
}

// progress notes that num bytes of a body have come, and asks for further bodies.
func (own *Owner) progress(tck *ticket, num int) {
	now := time.Now()
	own.mu.Lock()
	defer own.mu.Unlock()
	own.bodies.lastProgress = now
	own.bodies.rate.observe(num, own.bodies.queue.Len() > 0, now)
	if tck.pendingBytes == 0 {
		return
	}
	remaining := min(tck.pendingBytes, maxInTransit(tck.bdy.remaining()))
	own.bodies.pending -= tck.pendingBytes - remaining
	tck.pendingBytes = remaining
	own.requestBodies(now)
}

// watchBody waits for the end of the transfer; a body that stalls is no longer counted as on its way.
func (own *Owner) watchBody(ctx context.Context, tck *ticket, done <-chan error) *siskinrill.Refusal {
	beg := time.Now()
	tic := time.NewTicker(stallTimeout)
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
	if tck.pendingBytes == 0 || now.Sub(own.bodies.lastProgress) < stallTimeout && now.Sub(beg) < maxPendingTime {
		return
	}
	own.cnt.Event("body_stalled")
	own.bodies.clearPending(tck)
	own.requestBodies(now)
}
