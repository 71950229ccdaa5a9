package actor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connections tracks the states of the connections of an HTTP server.
type connections struct {
	keepAliveLimit int // number of open connections above which answers close their connection
	limits         Limits
	event          func(name string)
	refusals       refusalLog
	lookedForRoom  time.Time // only the goroutine that accepts connections uses it
	pipelining     Pipelining
	ending         func() bool      // the process is about to stop; may be nil
	virtual        *virtualListener // of requests that run ahead
	held           atomic.Int64     // bytes of their responses that wait for their turn
	stopping       atomic.Bool      // answers close their connections, and no further request runs ahead
	lingering      atomic.Int64     // closed connections that wait for the caller's end or for answers

	mu           sync.Mutex
	states       map[net.Conn]http.ConnState
	unserved     map[net.Conn]bool // part of a request was read that http.Server has not reported as active yet
	ahead        int               // requests that run ahead or whose responses wait for their turn
	readsStopped bool              // bytes that are read from now on are dropped
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

func newConnections(keepAliveLimit int) *connections {
	return &connections{
		keepAliveLimit: keepAliveLimit, limits: Limits{}.withDefaults(), event: func(string) {},
		states: map[net.Conn]http.ConnState{}, unserved: map[net.Conn]bool{}, virtual: newVirtualListener(),
	}
}

// newServer returns an HTTP server whose connections are tracked.
func (cns *connections) newServer(hdl http.Handler) *http.Server {
	srv := &http.Server{Handler: cns.closeAnswered(hdl), ReadHeaderTimeout: maxHeadTime, MaxHeaderBytes: maxHeadBytes, ConnState: cns.stateChanged}
	srv.ConnContext = func(ctx context.Context, cnn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, cnn)
	}
	return srv
}

// serve serves a listener and the requests that run ahead on its connections.
func (cns *connections) serve(srv *http.Server, lis net.Listener) error {
	if cns.pipelining.Depth > 0 {
		go func() { _ = srv.Serve(cns.virtual) }()
	}
	done := make(chan struct{})
	defer close(done)
	go cns.sweep(done)
	return srv.Serve(&trackedListener{Listener: lis, cns: cns})
}

// closeAnswered closes connections after their answer while too many are open or the process is about to stop. Refused
// callers open a new connection for each try and leave the old one idle, until the process has no descriptor left and reads
// new requests seconds late. At a stop, few requests shall be sent on a connection that is being closed.
func (cns *connections) closeAnswered(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		closes := cns.count() > cns.keepAliveLimit || cns.closes()
		if trc, ok := req.Context().Value(connectionKey{}).(*trackedConn); ok {
			trc.handled = true
		}
		if cns.pipelining.Depth > 0 {
			switch cnn := req.Context().Value(connectionKey{}).(type) {
			case *trackedConn:
				closes = cnn.pipeline.begin(req, closes)
				defer cns.replaceAborted(cnn, req)
			case *virtualConn:
				closes = cnn.begin(closes)
				defer cns.replaceAborted(cnn, req)
			}
		}
		if closes {
			wri.Header().Set("Connection", "close")
		}
		hdl.ServeHTTP(wri, cns.cancelIfLeft(req))
	})
}

// closes reports whether the process is about to stop, so that answers close their connections.
func (cns *connections) closes() bool {
	return cns.ending != nil && cns.ending() || cns.stopping.Load()
}

// startAhead counts a request that runs ahead; it returns false if none may be started.
func (cns *connections) startAhead() bool {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if cns.ahead >= maxAheadTotal || cns.stopping.Load() {
		return false
	}
	cns.ahead++
	return true
}

func (cns *connections) endAhead() {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	cns.ahead--
}

// holdMore reports whether num more bytes of responses may be held, and counts them.
func (cns *connections) holdMore(num int) bool {
	if cns.held.Add(int64(num)) > maxHeldTotal {
		cns.held.Add(-int64(num))
		return false
	}
	return true
}

func (cns *connections) release(num int) { cns.held.Add(-int64(num)) }

func (cns *connections) count() int {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	return len(cns.states)
}

func (cns *connections) stateChanged(cnn net.Conn, sta http.ConnState) {
	if vcn, ok := cnn.(*virtualConn); ok {
		if sta == http.StateIdle {
			vcn.finish(true)
		}
		return
	}
	trc, ok := cnn.(*trackedConn)
	if ok && trc.pipeline != nil && sta == http.StateIdle {
		trc.pipeline.idle() // Further requests are recorded as unserved before the connection counts as idle.
	}
	cns.recordState(cnn, sta)
	if ok {
		trc.stateChanged(sta)
	}
}

func (cns *connections) recordState(cnn net.Conn, sta http.ConnState) {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if sta != http.StateIdle {
		delete(cns.unserved, cnn)
	}
	switch sta {
	case http.StateClosed, http.StateHijacked:
		delete(cns.states, cnn)
	default:
		cns.states[cnn] = sta
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

// recordUnread records that a request waits which http.Server is about to read.
func (cns *connections) recordUnread(cnn net.Conn) {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	if !cns.readsStopped {
		cns.unserved[cnn] = true
	}
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
	if len(cns.unserved) > 0 || cns.ahead > 0 {
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

// shutdown closes connections after their answers and stops the server once no request is in flight. It does not use
// http.Server.Shutdown, which drops requests that were just read. Accepted connections have half of the grace to send their
// first request, since a loaded host may read it late.
func shutdown(srv *http.Server, lis net.Listener, cns *connections, grace time.Duration) {
	_ = lis.Close()
	cns.stopping.Store(true)
	if cns.pipelining.Depth == 0 {
		// With pipelining, http.Server would close connections after responses that others must follow, and those on which
		// requests wait without telling their callers.
		srv.SetKeepAlivesEnabled(false)
	}
	begin := time.Now()
	time.Sleep(min(acceptDelay, grace))
	for time.Since(begin) < grace && !cns.stopReadsIfIdle(time.Since(begin) < grace/2) {
		time.Sleep(shutdownPoll)
	}
	_ = srv.Close()
	for cns.lingering.Load() > 0 && time.Since(begin) < grace {
		time.Sleep(shutdownPoll)
	}
}
