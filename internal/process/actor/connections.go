package actor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections follow the states of a server's connections.
type connections struct {
	keepAliveLimit int // open connections over which answers close theirs

	mu           sync.Mutex
	states       map[net.Conn]http.ConnState
	unserved     map[net.Conn]bool // bytes of a request were read that the server has not taken up yet
	readsStopped bool              // nothing is read any more
}

func newConnections(keepAliveLimit int) *connections {
	return &connections{keepAliveLimit: keepAliveLimit, states: map[net.Conn]http.ConnState{}, unserved: map[net.Conn]bool{}}
}

// limitKeepAlive asks callers to close their connections while there are many. Callers that are refused open another one for each try and leave the old one idle, until the process has no descriptor left and reads new requests seconds late.
func (cns *connections) limitKeepAlive(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if cns.count() > cns.keepAliveLimit {
			wri.Header().Set("Connection", "close")
		}
		hdl.ServeHTTP(wri, req)
	})
}

func (cns *connections) count() int {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	return len(cns.states)
}

func (cns *connections) stateChanged(cnn net.Conn, sta http.ConnState) {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	delete(cns.unserved, cnn)
	switch sta {
	case http.StateClosed, http.StateHijacked:
		delete(cns.states, cnn)
	default:
		cns.states[cnn] = sta
	}
	if trc, ok := cnn.(*trackedConn); ok {
		trc.stateChanged(sta)
	}
}

// recordRead notes that bytes of a connection were read, false if they came too late to be served.
func (cns *connections) recordRead(cnn net.Conn) bool {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if cns.readsStopped {
		return false
	}
	if cns.states[cnn] != http.StateActive {
		cns.unserved[cnn] = true
	}
	return true
}

// hasUnserved reports whether bytes of a request were read that the server has not taken up yet.
func (cns *connections) hasUnserved(cnn net.Conn) bool {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	return cns.unserved[cnn]
}

// stopReadsIfIdle has nothing read any more, unless a request is in hand or may come: bytes of one were read, or a connection was accepted and, before patient ends, has sent none. It reports whether that is so now.
func (cns *connections) stopReadsIfIdle(awaitNew bool) bool {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if len(cns.unserved) > 0 {
		return false
	}
	for _, sta := range cns.states {
		if sta == http.StateActive || awaitNew && sta == http.StateNew {
			return false
		}
	}
	cns.readsStopped = true
	return true
}

// trackedListener follows the connections that it accepts.
type trackedListener struct {
	net.Listener
	cns *connections
}

// Accept returns the next connection.
func (lis *trackedListener) Accept() (net.Conn, error) {
	cnn, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: cnn, cns: lis.cns}, nil
}

// trackedConn is a connection whose reads are followed: http.Server tells of a request only after it has read the headers, and closes connections of which it has read a part at a stop.
type trackedConn struct {
	net.Conn
	cns *connections

	mu           sync.Mutex
	active       bool // the server has taken the request up
	closeDelayed bool // closed by the server while a request was read
}

func (trc *trackedConn) stateChanged(sta http.ConnState) {
	trc.mu.Lock()
	trc.active = sta == http.StateActive
	closes := trc.closeDelayed && sta == http.StateClosed
	trc.mu.Unlock()
	if closes {
		_ = trc.Conn.Close()
	}
}

func (trc *trackedConn) isActive() bool {
	trc.mu.Lock()
	defer trc.mu.Unlock()
	return trc.active
}

// Read reads from the connection. Bytes that come after the end of the server are dropped with a reset, which tells the caller that its request was not taken.
func (trc *trackedConn) Read(buf []byte) (int, error) {
	num, err := trc.Conn.Read(buf)
	if num == 0 || trc.isActive() || trc.cns.recordRead(trc) {
		return num, err
	}
	if tcp, ok := trc.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return 0, net.ErrClosed
}

// Close closes the connection; while a request is being read, that waits until the server has served it.
func (trc *trackedConn) Close() error {
	if !trc.cns.hasUnserved(trc) {
		return trc.Conn.Close()
	}
	trc.mu.Lock()
	defer trc.mu.Unlock()
	trc.closeDelayed = true
	return nil
}

// CloseWrite lets the server close its side first after a refused body, so that the caller can read the answer.
func (trc *trackedConn) CloseWrite() error {
	if tcp, ok := trc.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return trc.Conn.Close()
}

// shutdown ends a server without http.Server.Shutdown, which drops the requests that it has just read: connections close after their answers, and the server ends once none has a request in hand. Connections that were accepted have half of the grace to send their first request, since a loaded host may read it late.
func shutdown(srv *http.Server, lis net.Listener, cns *connections, grace time.Duration) {
	_ = lis.Close()
	srv.SetKeepAlivesEnabled(false)
	begin := time.Now()
	time.Sleep(min(acceptDelay, grace))
	for time.Since(begin) < grace && !cns.stopReadsIfIdle(time.Since(begin) < grace/2) {
		time.Sleep(shutdownPoll)
	}
	_ = srv.Close()
}
