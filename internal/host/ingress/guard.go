package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Guard limits the heads of an HTTP server that tracks its connections in no other way.
type Guard struct {
	limits Limits
	mem    *Memory
}

// NewGuard returns a guard that takes the memory of the process for heads. Its ConnState is to be that of the server, and its Listen
// to wrap each listener.
func NewGuard(lim Limits) *Guard { return &Guard{limits: lim, mem: heads} }

// ConnState follows the states of the server's connections.
func (*Guard) ConnState(cnn net.Conn, sta http.ConnState) {
	if gcn, ok := cnn.(*guardedConn); ok {
		gcn.active.Store(sta == http.StateActive)
		if sta != http.StateActive {
			gcn.head.Reset()
		}
	}
}

// Listen wraps a listener of the server.
func (gua *Guard) Listen(lis net.Listener) net.Listener {
	return &guardedListener{Listener: lis, guard: gua}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection.
func (lis *guardedListener) Accept() (net.Conn, error) {
	cnn, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: cnn, limits: lis.guard.limits, head: NewHead(lis.guard.mem)}, nil
}

type guardedConn struct {
	net.Conn
	limits  Limits
	active  atomic.Bool
	head    Head // only the server's goroutine of the connection uses it
	refused bool // as head
}

// Read reads from the connection; a head over the limits is refused, and the server reads the end of the connection.
func (gcn *guardedConn) Read(buf []byte) (int, error) {
	if gcn.refused {
		return 0, io.EOF
	}
	num, err := gcn.Conn.Read(buf)
	if num == 0 || gcn.active.Load() {
		return num, err
	}
	if err := gcn.head.Add(buf[:num], gcn.limits); err != nil {
		gcn.refuse(err)
		return 0, io.EOF
	}
	return num, err
}

// refuse answers in place of the server.
func (gcn *guardedConn) refuse(err error) {
	gcn.head.Reset()
	gcn.refused = true
	sts := http.StatusRequestHeaderFieldsTooLarge
	if hee, ok := err.(*HeadError); ok {
		sts = hee.Status()
	}
	_, _ = fmt.Fprintf(gcn.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", sts, http.StatusText(sts))
}

// Write writes to the connection, unless it was refused.
func (gcn *guardedConn) Write(buf []byte) (int, error) {
	if gcn.refused {
		return 0, net.ErrClosed
	}
	return gcn.Conn.Write(buf)
}
