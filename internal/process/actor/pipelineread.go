package actor

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// lingerTime limits the wait for the caller's end of a connection. A close with unread bytes resets the connection, and the
// caller may lose the last response.
const lingerTime = 500 * time.Millisecond

// past is a deadline that ends a waiting read.
var past = time.Unix(1, 0)

// read returns bytes for http.Server: one head at a time, the rest of a body of known length, or, where the position is not
// known, whatever comes. A read of one byte behind a request is the background read of http.Server, which only waits for
// the end of the connection.
func (pip *pipeline) read(buf []byte) (int, error) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	num, err := pip.readPart(buf)
	switch {
	case num == 0:
		return 0, err
	case pip.closed: // While the connection lingers, bytes may still arrive.
		return 0, net.ErrClosed
	case pip.trc.recordRead():
		return num, err
	case !pip.pipelined:
		// A reset could cost a caller that pipelines its last answer.
		setReset(pip.conn)
	}
	return 0, net.ErrClosed
}

func (pip *pipeline) readPart(buf []byte) (int, error) {
	switch {
	case pip.phase == phaseIdle || pip.phase == phaseHead:
		return pip.readHead(buf)
	case pip.phase == phaseBody && pip.body > 0:
		num, err := pip.readAny(buf[:min(int64(len(buf)), pip.body)])
		pip.body -= int64(num)
		return num, err
	case pip.phase != phaseOpaque && len(buf) == 1:
		return pip.watch(buf)
	case pip.phase == phaseHanded: // The request does not reach the handler, such as OPTIONS *.
		pip.phase = phaseOpaque
		return pip.readAny(buf)
	case pip.phase == phaseUnknown || pip.phase == phaseOpaque:
		return pip.readAny(buf)
	default:
		return 0, net.ErrClosed // http.Server reads on behind a request without a body.
	}
}

// readHead returns a head or a part of it, once all requests that run ahead are answered.
func (pip *pipeline) readHead(buf []byte) (int, error) {
	for pip.outstanding() {
		pip.awaitAnswers()
	}
	switch {
	case pip.ended || pip.broken || pip.closed:
		return 0, net.ErrClosed
	case pip.readErr != nil:
		return 0, pip.readErr
	case pip.phase == phaseIdle && !pip.aligned(len(buf)):
		pip.phase = phaseOpaque
		return pip.readAny(buf)
	}
	pip.fresh = false
	pip.phase = phaseHead
	if len(pip.unread) > 0 {
		num := min(len(buf), len(pip.unread))
		num = pip.cutHead(pip.unread[:num])
		copy(buf, pip.unread[:num])
		pip.consume(num)
		return num, nil
	}
	num, err := pip.readAny(buf)
	if end := pip.cutHead(buf[:num]); end < num {
		pip.unread = append(pip.unread[:0], buf[end:num]...)
		return end, nil
	}
	return num, err
}

// aligned reports whether a read into num bytes is at the begin of a request: the first one, or one into the whole buffer of
// http.Server while it waits for a request without a deadline. Once it has seen a byte of the request, the deadline for
// heads is set.
func (pip *pipeline) aligned(num int) bool {
	return num == serverBuffer && (pip.fresh || pip.deadline.IsZero())
}

// cutHead returns the number of bytes of dat that belong to the present head.
func (pip *pipeline) cutHead(dat []byte) int {
	end := pip.scanner.End(dat)
	if end == 0 {
		return len(dat)
	}
	pip.phase = phaseHanded
	return end
}

// readAny returns the next bytes whatever they are.
func (pip *pipeline) readAny(buf []byte) (int, error) {
	if len(pip.unread) > 0 {
		num := copy(buf, pip.unread)
		pip.consume(num)
		return num, nil
	}
	pip.mu.Unlock()
	defer pip.mu.Lock()
	return pip.conn.Read(buf)
}

// awaitAnswers waits for a change while requests run ahead, and reads further ones.
func (pip *pipeline) awaitAnswers() {
	if pip.readErr != nil || len(pip.unread) >= maxUnread || passed(pip.deadline) {
		pip.cond.Wait()
		return
	}
	pip.fill(nil)
}

// watch reads further requests while a handler runs, and returns only when the connection or the background read ends.
func (pip *pipeline) watch(buf []byte) (int, error) {
	for {
		switch {
		case pip.closed:
			return 0, net.ErrClosed
		case pip.readErr != nil:
			return 0, pip.readErr
		case passed(pip.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(pip.unread) >= maxUnread:
			pip.cond.Wait()
		default:
			pip.fill(buf)
		}
	}
}

// fill reads from the connection into unread. Until the caller pipelines, the read is into buf, so that others need no buffer.
func (pip *pipeline) fill(buf []byte) {
	if pip.pipelined || buf == nil {
		if pip.scratch == nil {
			pip.scratch = make([]byte, serverBuffer)
		}
		buf = pip.scratch
	}
	pip.reading = true
	pip.mu.Unlock()
	num, err := pip.conn.Read(buf)
	pip.mu.Lock()
	pip.reading = false
	if pip.interrupted && !pip.closed { // A connection that lingers has a deadline of its own.
		_ = pip.conn.SetReadDeadline(pip.deadline)
	}
	pip.interrupted = false
	if num > 0 {
		pip.pipelined = true
		pip.unread = append(pip.unread, buf[:num]...)
		pip.dispatch()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		pip.readErr = err
		pip.cond.Broadcast()
	}
}

// interrupt ends a read of the connection and wakes all that wait for a change.
func (pip *pipeline) interrupt() {
	if pip.reading && !pip.interrupted {
		pip.interrupted = true
		_ = pip.conn.SetReadDeadline(past)
	}
	pip.cond.Broadcast()
}

// setReadDeadline sets the deadline for reads of http.Server.
func (pip *pipeline) setReadDeadline(end time.Time) error {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.deadline = end
	if len(pip.unread) >= maxUnread {
		pip.cond.Broadcast()
	}
	if pip.interrupted || pip.closed {
		return nil
	}
	return pip.conn.SetReadDeadline(end)
}

// close closes the connection, unless delayed returns true, and after a replaced response once others are written. If the caller has sent requests that were not read, their bytes
// are dropped for lingerTime.
func (pip *pipeline) close(delayed func() bool) error {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if pip.closed || delayed() {
		return nil
	}
	if pip.detached && pip.outstanding() {
		if !pip.draining {
			pip.draining = true
			pip.cns.lingering.Add(1)
			go pip.closeWhenAnswered()
		}
		return nil
	}
	pip.closed = true
	pip.countUnanswered()
	pip.breakOff()
	lingers := pip.linger || pip.pipelined || len(pip.unread) > 0
	if !lingers || pip.readErr != nil || !pip.trc.closeLingering() {
		return pip.conn.Close()
	}
	return nil
}

// countUnanswered counts the requests that a close by this process leaves unread or unanswered.
func (pip *pipeline) countUnanswered() {
	if pip.readErr != nil || pip.broken {
		return
	}
	for range pip.queue {
		pip.cns.event(eventLost)
	}
	var scn ingress.Scanner
	for dat := pip.unread; ; {
		end := scn.End(dat)
		if end == 0 {
			return
		}
		dat = dat[end:]
		pip.cns.event(eventDropped)
	}
}

// lingerAtClose makes the close wait for the caller's end of the connection, as if the caller pipelined.
func (pip *pipeline) lingerAtClose() {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.linger = true
}
