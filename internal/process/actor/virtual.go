package actor

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// virtualConn is the connection on which http.Server serves one request that runs ahead. Its response is held until all
// responses before it are written. The fields are guarded by the mutex of the pipeline.
type virtualConn struct {
	pip           *pipeline
	head          ingress.Head
	request       []byte // part of the request that http.Server has not read
	response      []byte // part of the response that waits for its turn
	aborted       bool   // http.Server has ended its background read
	turn          bool   // all responses before this one are written
	written       bool   // a part of the response is written
	finished      bool   // the response has ended
	complete      bool   // it is complete and does not close the connection
	writeDeadline time.Time
	timer         *time.Timer // ends a write that waits for its turn
}

// Read returns the request, and then waits for the end of the response or of the caller's connection.
func (vcn *virtualConn) Read(buf []byte) (int, error) {
	pip := vcn.pip
	pip.mu.Lock()
	defer pip.mu.Unlock()
	for {
		switch {
		case len(vcn.request) > 0:
			num := copy(buf, vcn.request)
			vcn.request = vcn.request[num:]
			return num, nil
		case vcn.finished || pip.broken || pip.readErr != nil:
			return 0, io.EOF
		case vcn.aborted:
			return 0, os.ErrDeadlineExceeded
		}
		pip.cond.Wait()
	}
}

// Write holds the bytes, or writes them if it is the turn of this response; above the limits it blocks until then.
func (vcn *virtualConn) Write(buf []byte) (int, error) {
	pip := vcn.pip
	pip.mu.Lock()
	defer pip.mu.Unlock()
	for !vcn.turn {
		switch {
		case pip.broken || vcn.finished:
			return 0, net.ErrClosed
		case pip.holdMore(len(buf)):
			vcn.response = append(vcn.response, buf...)
			return len(buf), nil
		case passed(vcn.writeDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		pip.countLimit()
		pip.cond.Wait()
	}
	if pip.broken || vcn.finished {
		return 0, net.ErrClosed
	}
	vcn.written = true
	if vcn.writeDeadline.IsZero() {
		_ = pip.conn.SetWriteDeadline(time.Now().Add(pip.cns.limits.WriteTime))
	}
	pip.mu.Unlock()
	num, err := pip.conn.Write(buf)
	pip.mu.Lock()
	if err != nil {
		pip.breakOff()
	}
	return num, err
}

// Close ends the response; unless it was complete, the caller's connection is closed after it.
func (vcn *virtualConn) Close() error {
	vcn.finish(false)
	return nil
}

func (vcn *virtualConn) finish(complete bool) {
	pip := vcn.pip
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if vcn.finished {
		return
	}
	vcn.finished, vcn.complete = true, complete
	if vcn.timer != nil {
		vcn.timer.Stop()
	}
	if pip.broken {
		pip.removeFinished()
		return
	}
	pip.advance()
}

// begin decides whether the response closes the connection if that is wanted: only with no request started behind it.
func (vcn *virtualConn) begin(closes bool) bool {
	pip := vcn.pip
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if !closes || len(pip.queue) == 0 || pip.queue[len(pip.queue)-1] != vcn {
		return false
	}
	pip.closing = true
	return true
}

// LocalAddr returns the address of the caller's connection at this process.
func (vcn *virtualConn) LocalAddr() net.Addr { return vcn.pip.conn.LocalAddr() }

// RemoteAddr returns the address of the caller.
func (vcn *virtualConn) RemoteAddr() net.Addr { return vcn.pip.conn.RemoteAddr() }

// SetDeadline sets both deadlines.
func (vcn *virtualConn) SetDeadline(end time.Time) error {
	_ = vcn.SetReadDeadline(end)
	return vcn.SetWriteDeadline(end)
}

// SetReadDeadline ends a waiting read if the time has passed; later deadlines have no effect, since the request is whole.
func (vcn *virtualConn) SetReadDeadline(end time.Time) error {
	vcn.pip.mu.Lock()
	defer vcn.pip.mu.Unlock()
	vcn.aborted = passed(end)
	vcn.pip.cond.Broadcast()
	return nil
}

// SetWriteDeadline limits writes, including their wait for the turn of this response.
func (vcn *virtualConn) SetWriteDeadline(end time.Time) error {
	pip := vcn.pip
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if vcn.finished {
		return nil
	}
	vcn.writeDeadline = end
	if vcn.turn {
		return pip.conn.SetWriteDeadline(end)
	}
	if vcn.timer != nil {
		vcn.timer.Stop()
	}
	if !end.IsZero() {
		vcn.timer = time.AfterFunc(time.Until(end), pip.notify)
	}
	return nil
}

// passed reports whether a deadline is set and lies in the past.
func passed(end time.Time) bool { return !end.IsZero() && !time.Now().Before(end) }

// virtualListener returns the virtual connections to http.Server.
type virtualListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newVirtualListener() *virtualListener {
	return &virtualListener{conns: make(chan net.Conn, maxAheadTotal), done: make(chan struct{})}
}

// Accept returns the next virtual connection.
func (lis *virtualListener) Accept() (net.Conn, error) {
	select {
	case cnn := <-lis.conns:
		return cnn, nil
	case <-lis.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (lis *virtualListener) Close() error {
	lis.once.Do(func() { close(lis.done) })
	return nil
}

// Addr returns an empty address.
func (lis *virtualListener) Addr() net.Addr { return &net.UnixAddr{} }
