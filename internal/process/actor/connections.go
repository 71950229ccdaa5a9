package actor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the states of the connections of an HTTP server.
type connections struct {
	keepAliveLimit int // number of open connections above which answers close their connection

	mu           sync.Mutex
	states       map[net.Conn]http.ConnState
	unserved     map[net.Conn]bool // part of a request was read that http.Server has not reported as active yet
	readsStopped bool              // bytes that are read from now on are dropped
}

func newConnections(keepAliveLimit int) *connections {
	return &connections{keepAliveLimit: keepAliveLimit, states: map[net.Conn]http.ConnState{}, unserved: map[net.Conn]bool{}}
}

// limitKeepAlive closes connections after their answer while too many are open. Refused callers open a new connection for
// each try and leave the old one idle, until the process has no descriptor left and reads new requests seconds late.
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

// recordRead records that part of a request was read; it returns false if the server has stopped and cannot serve it.
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

// hasUnserved reports whether part of a request was read that http.Server has not reported as active yet.
func (cns *connections) hasUnserved(cnn net.Conn) bool {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	return cns.unserved[cnn]
}

// stopReadsIfIdle stops all reads and returns true, unless a request is in flight or partly read. With awaitNew it also
// waits for the first request of each accepted connection.
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

// trackedListener wraps the connections that it accepts in a trackedConn.
type trackedListener struct {
	net.Listener
	cns *connections
}

// Accept returns the next connection as a trackedConn.
func (lis *trackedListener) Accept() (net.Conn, error) {
	cnn, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: cnn, cns: lis.cns}, nil
}

// trackedConn is a connection whose reads are tracked, because http.Server reports a request only once its headers are read
// and, at a stop, closes connections from which it has read part of a request.
type trackedConn struct {
	net.Conn
	cns *connections

	mu           sync.Mutex
	active       bool // http.Server has reported the request as active
	closeDelayed bool // the server has called Close while part of a request was read
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

// Read reads from the connection; bytes that arrive after the server has stopped are dropped and the connection is reset,
// so that the caller knows that its request was not accepted.
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

// Close closes the connection; while a request is partly read, the close is delayed until the server has served it.
func (trc *trackedConn) Close() error {
	if !trc.cns.hasUnserved(trc) {
		return trc.Conn.Close()
	}
	trc.mu.Lock()
	defer trc.mu.Unlock()
	trc.closeDelayed = true
	return nil
}

// CloseWrite closes the sending side; the server calls it after a refused body, so that the caller can read the answer.
func (trc *trackedConn) CloseWrite() error {
	if tcp, ok := trc.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return trc.Conn.Close()
}

// shutdown closes connections after their answers and stops the server once no request is in flight. It does not use
// http.Server.Shutdown, which drops requests that were just read. Accepted connections have half of the grace to send their
// first request, since a loaded host may read it late.
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
