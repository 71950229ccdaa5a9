package actor

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// Names of the events that Server.Event counts.
const (
	eventAhead   = "pipeline_ahead"          // a request was started before the responses ahead of it were written
	eventDropped = "pipeline_dropped_unread" // a request was not read, because a response ahead of it closed the connection
	eventLimit   = "pipeline_limit"          // a limit of requests or held bytes was reached
	eventLost    = "pipeline_lost"           // a request that was started got no response, because one ahead of it was cut
	// eventReplaced is counted when a response was replaced, because its handler had aborted.
	eventReplaced = "pipeline_replaced"
)

// flushTimeout limits the write of a held response. The deadline of its own request may be over by then, although it was
// answered in time.
const flushTimeout = 10 * time.Second

// Pipelining configures requests of a connection that run before those ahead of them are answered.
type Pipelining struct {
	// Depth is how many requests of a connection may run ahead, 0 for none.
	Depth int
	// Ahead reports whether a request, a GET or HEAD without a body, may run beside others of its connection. It is also asked
	// while the handler runs, which therefore must not change method, host and URL.
	Ahead func(req *http.Request) bool
	// Aborted answers in place of a handler that aborts ahead of requests that were started; if it is nil, the connection is
	// closed and they get no answer. It is only asked while no byte of the aborted response is written.
	Aborted http.Handler
}

// phase is the position of http.Server within the bytes of a connection.
type phase int

const (
	phaseIdle    phase = iota // at the begin of a request
	phaseHead                 // in a head
	phaseHanded               // behind a head whose handler has not begun
	phaseSplit                // behind a head without a body; requests may run ahead
	phaseHold                 // behind a head without a body; nothing may run ahead
	phaseBody                 // in a body of known length, or behind it
	phaseUnknown              // behind a head, but part of the next one may be in the buffer of http.Server
	phaseOpaque               // not known, ahead of the end of a head
)

// pipeline splits the bytes of a caller's connection at the ends of heads. http.Server serves the first request on the
// connection itself and those that run ahead on virtual connections; further ones wait unread.
type pipeline struct {
	cns  *connections
	trc  *trackedConn
	conn net.Conn // below trc

	mu        sync.Mutex
	cond      sync.Cond // of queue, turns, errors and deadlines
	phase     phase
	fresh     bool // http.Server has read nothing yet
	scanner   ingress.Scanner
	own       *http.Request // in phaseSplit, until it is known that requests may run beside it
	body      int64         // rest of the body in phaseBody
	unread    []byte        // read from conn and not handed to http.Server
	scratch   []byte        // for reads from conn, nil unless the caller pipelines
	queue     []*virtualConn
	held      int   // bytes of responses in queue
	mustWait  bool  // the first request in unread may not run ahead
	limited   bool  // the present wait for a limit is counted
	flushing  bool  // a goroutine writes held responses
	pipelined bool  // the caller has sent bytes before an answer
	written   bool  // a part of the response to the connection's own request is written
	detached  bool  // that response was replaced; http.Server no longer uses the connection
	draining  bool  // Close was called then, and waits for the requests that run ahead
	closing   bool  // a response has announced the end of the connection
	ended     bool  // that response, or one that was cut, is written
	broken    bool  // no response can be written
	linger    bool  // lingerAtClose was called
	closed    bool  // Close was called
	readErr   error // of conn

	deadline    time.Time // for reads, set by http.Server
	reading     bool      // a read of conn waits
	interrupted bool      // its deadline was moved to end it
}

func newPipeline(cns *connections, trc *trackedConn) *pipeline {
	pip := &pipeline{cns: cns, trc: trc, conn: trc.Conn, fresh: true}
	pip.cond.L = &pip.mu
	return pip
}

// begin records that the handler of the connection's own request begins, from which on requests may run ahead; it returns
// closes, with which nothing runs ahead. A handler must not begin while requests run ahead of it.
func (pip *pipeline) begin(req *http.Request, closes bool) bool {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if len(pip.queue) > 0 {
		panic(http.ErrAbortHandler)
	}
	pip.closing, pip.written = pip.closing || closes, false
	switch {
	case pip.phase != phaseHanded || req.ContentLength < 0:
		pip.phase = phaseUnknown
	case req.ContentLength > 0:
		pip.phase, pip.body = phaseBody, req.ContentLength
	case closes || !keepsOpen(req):
		pip.phase = phaseHold
	default:
		pip.phase, pip.own = phaseSplit, req
	}
	// In the other phases these bytes may belong to the body.
	if (pip.phase == phaseSplit || pip.phase == phaseHold) && len(pip.unread) > 0 && !pip.checkLeft() {
		pip.pipelined = true
		pip.dispatch()
	}
	return closes
}

// idle records that the response to the connection's own request is complete.
func (pip *pipeline) idle() {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.phase, pip.own = phaseIdle, nil
	pip.scanner = ingress.Scanner{}
	if len(pip.queue) == 0 {
		pip.recordUnread()
	}
	pip.advance()
}

// recordUnread records that http.Server is about to read a request that has arrived. At a stop, its answer tells the caller
// that those behind it are not accepted.
func (pip *pipeline) recordUnread() {
	if len(pip.unread) > 0 && pip.readErr == nil && !pip.detached {
		pip.cns.recordUnread(pip.trc)
	}
}

// dispatch starts the requests in unread that may run ahead.
func (pip *pipeline) dispatch() {
	for pip.mayStart() {
		var scn ingress.Scanner
		end := scn.End(pip.unread)
		if end == 0 {
			return
		}
		head, ok := pip.acceptAhead(pip.unread[:end])
		if !ok {
			pip.mustWait = true
			return
		}
		if !pip.cns.startAhead() {
			head.Reset()
			pip.countLimit()
			return
		}
		vcn := &virtualConn{pip: pip, head: head, request: append([]byte(nil), pip.unread[:end]...)}
		pip.consume(end)
		pip.queue = append(pip.queue, vcn)
		pip.limited = false
		pip.cns.event(eventAhead)
		pip.cns.virtual.conns <- vcn
	}
}

// acceptAhead reports whether the request with a head may run ahead. If so, it returns the head with the memory that it holds; one that
// is over a limit is refused when its turn comes.
func (pip *pipeline) acceptAhead(dat []byte) (ingress.Head, bool) {
	head := ingress.NewHead(pip.cns.limits.Memory)
	if head.Add(dat, pip.cns.limits.head()) == nil {
		if req := parseAhead(dat); req != nil && pip.cns.pipelining.Ahead(req) {
			return head, true
		}
	}
	head.Reset()
	return head, false
}

// mayStart reports whether a request may be started behind those that run.
func (pip *pipeline) mayStart() bool {
	if len(pip.unread) == 0 || pip.mustWait || pip.closing || pip.ended || pip.broken || pip.closed || pip.readErr != nil {
		return false
	}
	if pip.phase != phaseSplit && (pip.phase != phaseIdle || len(pip.queue) == 0) || pip.cns.closes() {
		return false
	}
	if len(pip.queue) >= pip.cns.pipelining.Depth || pip.held >= maxHeld {
		pip.countLimit()
		return false
	}
	if pip.own != nil && !pip.cns.pipelining.Ahead(pip.own) {
		pip.phase = phaseHold
		return false
	}
	pip.own = nil
	return true
}

// consume removes the first bytes of unread.
func (pip *pipeline) consume(num int) {
	pip.unread = append(pip.unread[:0], pip.unread[num:]...)
	pip.mustWait = false
}

// holdMore reports whether num more bytes may be held, and counts them.
func (pip *pipeline) holdMore(num int) bool {
	if pip.held+num > maxHeld || !pip.cns.holdMore(num) {
		return false
	}
	pip.held += num
	return true
}

func (pip *pipeline) release(num int) {
	pip.held -= num
	pip.cns.release(num)
}

// countLimit counts a wait for a limit once.
func (pip *pipeline) countLimit() {
	if !pip.limited {
		pip.limited = true
		pip.cns.event(eventLimit)
	}
}

// advance writes the held responses whose turn has come and lets the next one write by itself.
func (pip *pipeline) advance() {
	if pip.flushing {
		return
	}
	pip.flushing = true
	for len(pip.queue) > 0 && pip.phase == phaseIdle && !pip.broken && !pip.ended {
		vcn := pip.queue[0]
		if len(vcn.response) > 0 {
			pip.flush(vcn)
			continue
		}
		if !vcn.finished {
			vcn.turn = true
			_ = pip.conn.SetWriteDeadline(vcn.writeDeadline)
			pip.cond.Broadcast()
			break
		}
		if len(pip.queue) == 1 && vcn.complete {
			pip.recordUnread()
		}
		pip.remove(0)
		pip.ended = !vcn.complete
		if len(pip.queue) == 0 || pip.ended {
			pip.interrupt()
		}
		pip.dispatch()
	}
	pip.flushing = false
}

// flush writes the held bytes of a response.
func (pip *pipeline) flush(vcn *virtualConn) {
	dat := vcn.response
	vcn.response, vcn.written = nil, true
	pip.mu.Unlock()
	_ = pip.conn.SetWriteDeadline(time.Now().Add(flushTimeout))
	_, err := pip.conn.Write(dat)
	_ = pip.conn.SetWriteDeadline(time.Time{})
	pip.mu.Lock()
	pip.release(len(dat))
	if err != nil {
		pip.breakOff()
	}
}

func (pip *pipeline) remove(pos int) {
	vcn := pip.queue[pos]
	pip.release(len(vcn.response))
	vcn.response = nil
	vcn.head.Reset()
	pip.queue = append(pip.queue[:pos], pip.queue[pos+1:]...)
	pip.cns.endAhead()
}

// outstanding reports whether responses of requests that run ahead are still to be written.
func (pip *pipeline) outstanding() bool {
	return len(pip.queue) > 0 && !pip.ended && !pip.broken && !pip.closed
}

// breakOff ends all requests that run ahead, since no response can be written any more.
func (pip *pipeline) breakOff() {
	pip.broken = true
	pip.removeFinished()
	pip.interrupt()
}

func (pip *pipeline) removeFinished() {
	for pos := len(pip.queue) - 1; pos >= 0; pos-- {
		if pip.queue[pos].finished {
			pip.remove(pos)
		}
	}
}

// notify wakes all that wait for a change.
func (pip *pipeline) notify() {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.cond.Broadcast()
}
