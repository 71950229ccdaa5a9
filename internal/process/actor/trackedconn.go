package actor

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// trackedListener wraps the connections that it accepts in a trackedConn.
type trackedListener struct {
	net.Listener
	cns *connections
}

// Accept returns the next connection as a trackedConn, and closes others that wait for their callers if too many are open.
func (lis *trackedListener) Accept() (net.Conn, error) {
	lis.cns.makeRoom()
	cnn, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	trc := &trackedConn{Conn: cnn, cns: lis.cns, head: ingress.NewHead(lis.cns.limits.Memory)}
	if lis.cns.pipelining.Depth > 0 {
		trc.pipeline = newPipeline(lis.cns, trc)
	}
	return trc, nil
}

// trackedConn is a connection whose reads are tracked, because http.Server reports a request only once its headers are read
// and, at a stop, closes connections from which it has read part of a request.
type trackedConn struct {
	net.Conn
	cns      *connections
	pipeline *pipeline    // nil if nothing runs ahead
	head     ingress.Head // only http.Server's goroutine of the connection uses it
	refused  bool         // a refusal was written in place of a request; as head
	handled  bool         // the request has reached its handler; as head

	mu   sync.Mutex
	wait wait
	// writeDeadline is whether http.Server or the handler has set a deadline for writes.
	writeDeadline bool
	ended         bool // the connection was closed while it waited for its caller
	active        bool // http.Server has reported the request as active
	closeDelayed  bool // the server has called Close while part of a request was read
}

func (trc *trackedConn) stateChanged(sta http.ConnState) {
	trc.mu.Lock()
	trc.active = sta == http.StateActive
	trc.wait = wait{kind: stateWait(sta), since: time.Now()}
	closes := trc.closeDelayed && sta == http.StateClosed
	trc.mu.Unlock()
	if sta != http.StateActive {
		trc.head.Reset()
		trc.handled = false
	}
	if closes {
		_ = trc.Close()
	}
}

func (trc *trackedConn) isActive() bool {
	trc.mu.Lock()
	defer trc.mu.Unlock()
	return trc.active
}

// Read reads from the connection; bytes that arrive after the server has stopped are dropped and the connection is reset,
// so that the caller knows that its request was not accepted. A head over the limits is refused.
func (trc *trackedConn) Read(buf []byte) (int, error) {
	if trc.refused {
		return 0, io.EOF
	}
	if trc.isActive() {
		if len(buf) == 1 { // The background read of http.Server waits for the end of the connection.
			return trc.read(buf)
		}
		return trc.readBody(buf)
	}
	num, err := trc.read(buf)
	if num == 0 {
		return num, err
	}
	if ref := trc.countHead(buf[:num]); ref != nil {
		trc.refuse(ref)
		return 0, io.EOF // http.Server may answer that, see Write, and closes the connection
	}
	if !trc.recordHead(trc.head.Complete()) {
		trc.cns.recordRefused(trc)
		return 0, io.EOF
	}
	return num, err
}

func (trc *trackedConn) read(buf []byte) (int, error) {
	if trc.pipeline != nil {
		return trc.pipeline.read(buf)
	}
	num, err := trc.Conn.Read(buf)
	if num == 0 || trc.recordRead() {
		return num, err
	}
	setReset(trc.Conn)
	return 0, net.ErrClosed
}

// Write writes to the connection, unless the response of http.Server was replaced.
func (trc *trackedConn) Write(buf []byte) (int, error) {
	if trc.refused {
		return 0, net.ErrClosed
	}
	if trc.pipeline != nil && !trc.pipeline.mayWrite() {
		return 0, net.ErrClosed
	}
	if !trc.handled {
		trc.recordInvalid()
	}
	if !trc.hasWriteDeadline() {
		_ = trc.Conn.SetWriteDeadline(time.Now().Add(trc.cns.limits.WriteTime))
	}
	return trc.Conn.Write(buf)
}

func (trc *trackedConn) hasWriteDeadline() bool {
	trc.mu.Lock()
	defer trc.mu.Unlock()
	return trc.writeDeadline
}

// SetWriteDeadline sets the deadline for writes.
func (trc *trackedConn) SetWriteDeadline(end time.Time) error {
	trc.mu.Lock()
	trc.writeDeadline = !end.IsZero()
	trc.mu.Unlock()
	return trc.Conn.SetWriteDeadline(end)
}

// recordRead records that part of a request was read; it returns false if the server has stopped and cannot serve it.
func (trc *trackedConn) recordRead() bool { return trc.isActive() || trc.cns.recordRead(trc) }

// setReset makes the close of a connection reset it.
func setReset(cnn net.Conn) {
	if tcp, ok := cnn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// SetDeadline sets both deadlines.
func (trc *trackedConn) SetDeadline(end time.Time) error {
	_ = trc.SetReadDeadline(end)
	return trc.SetWriteDeadline(end)
}

// SetReadDeadline sets the deadline for reads.
func (trc *trackedConn) SetReadDeadline(end time.Time) error {
	if trc.pipeline == nil {
		return trc.Conn.SetReadDeadline(end)
	}
	return trc.pipeline.setReadDeadline(end)
}

// Close closes the connection; while a request is partly read, the close is delayed until the server has served it.
func (trc *trackedConn) Close() error {
	if trc.pipeline != nil {
		return trc.pipeline.close(trc.delayClose)
	}
	if trc.delayClose() {
		return nil
	}
	if trc.refused && trc.closeLingering() {
		return nil
	}
	return trc.Conn.Close()
}

// delayClose reports whether a request is partly read, and records that the connection is to be closed after it.
func (trc *trackedConn) delayClose() bool {
	if !trc.cns.hasUnserved(trc) {
		return false
	}
	trc.mu.Lock()
	defer trc.mu.Unlock()
	trc.closeDelayed = true
	return true
}

// CloseWrite closes the sending side; the server calls it after a refused body, so that the caller can read the answer.
func (trc *trackedConn) CloseWrite() error {
	if tcp, ok := trc.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return trc.Conn.Close()
}
