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
	// maxPrefetchBytes is how many bytes of a body are received before the request gets its slot; the rest is
	// streamed to the backend server.
	maxPrefetchBytes = 256 << 10
	// maxPendingBytes is the number of bytes in transit up to which a further body is requested. More would only
	// lengthen the queue on this host's link, in which short messages wait; less would leave the link idle between
	// two bodies.
	maxPendingBytes = 32 << 10
	// maxStreamBytes is the maximum that one body can have in transit: the flow control window of a stream between
	// agents.
	maxStreamBytes = 128 << 10
	// stallTimeout is the time without a byte of any body after which requested bodies no longer count as in
	// transit.
	stallTimeout = 100 * time.Millisecond
	// maxPendingTime is how long one body counts as in transit, so that a slow caller does not delay the others.
	maxPendingTime = time.Second
)

// bodyTransfers tracks the requests whose bodies are received before they get slots; the owner's mutex guards it.
type bodyTransfers struct {
	queue        queue     // requests whose bodies have not been requested
	receiving    int       // number of requested bodies whose requests neither have nor wait for slots
	pending      int64     // bytes of these that are in transit
	lastProgress time.Time // when the latest part of any body arrived
	rate         transferRate
}

// waiting returns the number of requests that wait for their bodies.
func (btr *bodyTransfers) waiting() int { return btr.queue.Len() + btr.receiving }

// start counts the body of a ticket as in transit.
func (btr *bodyTransfers) start(tck *ticket) {
	tck.bodyRequested = true
	btr.lastProgress = time.Now()
	tck.pendingBytes = maxInTransit(tck.bdy.remaining())
	btr.pending += tck.pendingBytes
	btr.receiving++
}

// maxInTransit returns how much of a body with num remaining bytes, negative if not known, can be in transit at the
// same time.
func maxInTransit(num int64) int64 {
	if num < 0 {
		return maxStreamBytes
	}
	return min(num, maxStreamBytes)
}

// finish ends the body transfer of a ticket.
func (btr *bodyTransfers) finish(tck *ticket) {
	if !tck.bodyRequested {
		return
	}
	tck.bodyRequested, tck.bodyTime = false, 0
	btr.receiving--
	btr.clearPending(tck)
}

// clearPending stops counting a ticket's body as in transit.
func (btr *bodyTransfers) clearPending(tck *ticket) {
	btr.pending -= tck.pendingBytes
	tck.pendingBytes = 0
}

// receive waits until the body of an admitted ticket has been received, or its first part if it is long, so that
// slots of the backend server are not blocked by slow callers. If it fails, the request did not run.
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

// awaitBodyTurn waits until the ticket's body may be requested.
func (own *Owner) awaitBodyTurn(ctx context.Context, tck *ticket) *siskinrill.Refusal {
	if ref := own.enqueueBody(tck); ref != nil {
		return ref
	}
	return own.awaitWake(ctx, tck)
}

// enqueueBody admits a ticket and adds it to the queue of bodies to be requested.
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

// requestBodies requests the next bodies while few bytes are in transit; the caller holds the mutex.
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

// buffer returns a buffer that contains the first part of the body and has room for what is to be received.
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
	// Only the end of the body proves that its length was stated correctly.
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

// progress counts num received bytes of a body, and requests further bodies.
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

// watchBody waits for the end of the transfer; a stalled body no longer counts as in transit.
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

// checkStall stops counting a body as in transit if no bytes arrive or it takes too long. A body that only waits
// behind others on the link is not stalled.
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
