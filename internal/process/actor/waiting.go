package actor

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

const (
	// sweepInterval is the interval at which connections are checked for callers that take too long.
	sweepInterval = 500 * time.Millisecond
	// minWait is how long a connection has waited for its caller before it is closed to make room.
	minWait = 2 * time.Second
	// roomInterval is the shortest time between two looks for connections to close while few more than the limit are open.
	roomInterval = 50 * time.Millisecond
	// Above the limit of connections, those that wait are closed until keepShare of it are open. Above hardShare of it, also those that
	// have not waited for minWait.
	keepShare = 7. / 8
	hardShare = 5. / 4
)

// Names of the events that Server.Event counts.
const (
	eventHeadTimeout = "head_timeout"       // a head was not complete in time
	eventIdleTimeout = "idle_timeout"       // a connection was idle for too long
	eventEvicted     = "connection_evicted" // a connection that waited for its caller was closed to make room
)

// waitKind is what a connection waits for from its caller; those to close first come first.
type waitKind int

const (
	waitNone  waitKind = iota // it does not: a request is being served
	waitHead                  // the rest of a head
	waitFirst                 // the first byte after the connection was accepted
	waitIdle                  // a further request
	waitBody                  // a part of a body
)

// wait is what a connection waits for and since when.
type wait struct {
	kind  waitKind
	since time.Time
}

// begin records and returns what a connection waits for from now on.
func (trc *trackedConn) begin(kind waitKind) wait {
	trc.mu.Lock()
	defer trc.mu.Unlock()
	trc.wait = wait{kind: kind, since: time.Now()}
	return trc.wait
}

// finish records that a wait has ended, unless another one has begun.
func (trc *trackedConn) finish(wai wait) {
	trc.mu.Lock()
	defer trc.mu.Unlock()
	if trc.wait == wai {
		trc.wait = wait{}
	}
}

// recordHead records that a part of a head was read, or all of it; it returns false if the connection has been ended.
func (trc *trackedConn) recordHead(complete bool) bool {
	trc.mu.Lock()
	defer trc.mu.Unlock()
	switch {
	case trc.ended:
		return false
	case complete:
		trc.wait = wait{}
	case trc.wait.kind != waitHead:
		trc.wait = wait{kind: waitHead, since: time.Now()}
	}
	return true
}

// readBody reads a part of a body.
func (trc *trackedConn) readBody(buf []byte) (int, error) {
	wai := trc.begin(waitBody)
	defer trc.finish(wai)
	return trc.read(buf)
}

// waits returns what a connection waits for. One with requests that run ahead, or that were read ahead, does not wait.
func (trc *trackedConn) waits() wait {
	if trc.pipeline != nil && trc.pipeline.hasRequests() {
		return wait{}
	}
	trc.mu.Lock()
	defer trc.mu.Unlock()
	if trc.ended {
		return wait{}
	}
	return trc.wait
}

// endIf ends the connection, unless it has stopped waiting for what it did; its reads fail then. It returns whether it did.
func (trc *trackedConn) endIf(wai wait) bool {
	trc.mu.Lock()
	if trc.ended || trc.wait != wai {
		trc.mu.Unlock()
		return false
	}
	trc.ended = true
	trc.mu.Unlock()
	_ = trc.Conn.Close()
	return true
}

// hasRequests reports whether requests run ahead or were read ahead.
func (pip *pipeline) hasRequests() bool {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	return len(pip.queue) > 0 || len(pip.unread) > 0
}

// waitingConn is a connection with what it waits for.
type waitingConn struct {
	*trackedConn
	wait wait
}

// waiting returns the connections that wait for their callers.
func (cns *connections) waiting() []waitingConn {
	cns.mu.Lock()
	all := make([]*trackedConn, 0, len(cns.states))
	for cnn := range cns.states {
		if trc, ok := cnn.(*trackedConn); ok {
			all = append(all, trc)
		}
	}
	cns.mu.Unlock()
	var out []waitingConn
	for _, trc := range all {
		if wai := trc.waits(); wai.kind != waitNone {
			out = append(out, waitingConn{trackedConn: trc, wait: wai})
		}
	}
	return out
}

// sweep ends connections whose callers take too long, until done is closed.
func (cns *connections) sweep(done <-chan struct{}) {
	tck := time.NewTicker(sweepInterval)
	defer tck.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-tck.C:
			cns.sweepOnce(now)
		}
	}
}

func (cns *connections) sweepOnce(now time.Time) {
	if cns.count() == 0 {
		return
	}
	headTime, idleTime := cns.limits.headTime(), cns.limits.IdleTime()
	for _, wtc := range cns.waiting() {
		age := now.Sub(wtc.wait.since)
		switch {
		case wtc.wait.kind == waitHead && age > headTime, wtc.wait.kind == waitFirst && age > max(headTime, headerTimeout):
			cns.end(wtc, eventHeadTimeout)
		case wtc.wait.kind == waitIdle && idleTime > 0 && age > idleTime:
			cns.end(wtc, eventIdleTimeout)
		}
	}
}

func (cns *connections) end(wtc waitingConn, event string) {
	if wtc.endIf(wtc.wait) {
		cns.event(event)
	}
}

// makeRoom closes connections that wait for their callers while too many are open, those first that have waited longest for the rest
// of a head.
func (cns *connections) makeRoom() {
	limit, count := float64(cns.limits.Connections), float64(cns.count())
	now := time.Now()
	if count < limit || count < limit*hardShare && now.Sub(cns.lookedForRoom) < roomInterval {
		return
	}
	cns.lookedForRoom = now
	all := cns.waiting()
	slices.SortFunc(all, func(one, two waitingConn) int {
		return cmp.Or(cmp.Compare(one.wait.kind, two.wait.kind), one.wait.since.Compare(two.wait.since))
	})
	for _, wtc := range all {
		if count <= limit*keepShare {
			return
		}
		if now.Sub(wtc.wait.since) >= minWait || count >= limit*hardShare && wtc.wait.kind != waitBody {
			cns.end(wtc, eventEvicted)
			count--
		}
	}
}

// stateWait returns what a connection waits for in a state of http.Server.
func stateWait(sta http.ConnState) waitKind {
	switch sta {
	case http.StateNew:
		return waitFirst
	case http.StateIdle:
		return waitIdle
	default:
		return waitNone
	}
}
