package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
)

const (
	headerRequestID = "X-Request-Id"
	// statusClientClosed marks runs whose client disconnected or whose deadline passed.
	statusClientClosed = 499
	maxPadding         = 64 << 20 // bytes of padding that a request may ask for
	// crashDelay is how long a request runs that crashes the server.
	crashDelay = 10 * time.Millisecond
)

// reply is the answer to a request.
type reply struct {
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	RequestID  string `json:"request_id"`
	Sequence   uint64 `json:"sequence"`
	BodyBytes  int64  `json:"body_bytes"`
	BodySha256 string `json:"body_sha256"`
	Padding    string `json:"padding"`
}

// copyBuffers reuses 32 KiB copy buffers; one buffer per request would dominate the measured allocations.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, 32<<10)
	return &buf
}}

// bodyDigest is the length and SHA-256 hash of the part of a body that was read.
type bodyDigest struct {
	length int64
	hash   string
	err    error
}

// handleRequest serves a request of the service. The fencing token is checked again after the wait for a slot,
// since it may be outdated by then.
func (srv *Server) handleRequest(wri http.ResponseWriter, req *http.Request) {
	srv.faults.waitWhileFrozen(srv.ctx)
	if srv.countArrival() || srv.faults.nextRequestAborted() {
		panic(http.ErrAbortHandler)
	}
	wri.Header().Set(siskinrill.HeaderAttempt, req.Header.Get(siskinrill.HeaderAttempt))
	srv.stateAdvice(wri.Header())
	if !srv.passesFence(wri, req) {
		return
	}
	if srv.faults.chance(srv.faults.get().ShedRate) || !srv.acquireSlot(req) {
		refuse(wri, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-srv.slots }()
	srv.faults.waitWhileFrozen(srv.ctx)
	if srv.passesFence(wri, req) {
		srv.run(wri, req)
	}
}

// stateAdvice sets the headers that state a rate limit and that the server is leaving.
func (srv *Server) stateAdvice(hdr http.Header) {
	flt := srv.faults.get()
	hdr.Del(siskinrill.HeaderRateLimit)
	if flt.RateLimit > 0 {
		hdr.Set(siskinrill.HeaderRateLimit, strconv.FormatFloat(flt.RateLimit, 'f', -1, 64))
	}
	if flt.StateLeaving {
		hdr.Set(siskinrill.HeaderLeaving, "true")
	}
}

// passesFence reports whether the fencing token permits the request to run, and answers with 412 otherwise.
func (srv *Server) passesFence(wri http.ResponseWriter, req *http.Request) bool {
	if !srv.opt.CheckFence || srv.fences.check(req) {
		return true
	}
	refuse(wri, http.StatusPreconditionFailed)
	return false
}

// refuse answers with the header that states that the request did not run.
func refuse(wri http.ResponseWriter, status int) {
	wri.Header().Set(siskinrill.HeaderNotRun, "true")
	if status == http.StatusServiceUnavailable {
		wri.Header().Set("Retry-After", "1")
	}
	wri.WriteHeader(status)
}

// acquireSlot waits for a slot until the deadline of the request; false means that the request is shed.
func (srv *Server) acquireSlot(req *http.Request) bool {
	select {
	case srv.slots <- struct{}{}:
		return true
	default:
	}
	if !srv.enqueue() {
		return false
	}
	defer srv.dequeue()
	ctx, cancel := withDeadline(req)
	defer cancel()
	select {
	case srv.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (srv *Server) enqueue() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.waiting >= srv.opt.Backlog {
		return false
	}
	srv.waiting++
	return true
}

func (srv *Server) dequeue() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.waiting--
}

func withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	dur, err := time.ParseDuration(req.Header.Get(siskinrill.HeaderTimeout))
	if err != nil || dur <= 0 {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), dur)
}

// run records and simulates the run of a request with the injected faults, and answers it.
func (srv *Server) run(wri http.ResponseWriter, req *http.Request) {
	inj := srv.faults.nextInjection()
	firstRun := inj
	firstRun.duplicate = false
	seq := srv.ledger.startRun(srv.newRow(req, firstRun.faultName()))
	bdy := readBody(req.Body)
	if srv.opt.CrashPath != "" && strings.HasPrefix(req.URL.Path, srv.opt.CrashPath) {
		time.Sleep(crashDelay)
		srv.Close()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := withDeadline(req)
	defer cancel()
	status := srv.simulateWork(ctx, srv.coldKeyDelay(req.Header.Get(siskinrill.HeaderFencePartition), req.Header.Get(siskinrill.HeaderKey)))
	if bdy.err != nil {
		status = http.StatusBadRequest
	}
	srv.ledger.endRun(seq, status, bdy)
	if status == statusClientClosed {
		// An answer sent at the deadline would race with the client's own timeout.
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if inj.duplicate {
		secondSequence := srv.ledger.startRun(srv.newRow(req, inj.faultName()))
		srv.ledger.endRun(secondSequence, status, bdy)
	}
	srv.faults.waitWhileFrozen(srv.ctx)
	if inj.dropAnswer {
		panic(http.ErrAbortHandler)
	}
	srv.writeAnswer(wri, req, status, srv.newReply(req, seq, bdy), inj.truncateAnswer)
}

func (srv *Server) newRow(req *http.Request, injected string) Row {
	return Row{
		RequestID: req.Header.Get(headerRequestID), IdempotencyKey: req.Header.Get(siskinrill.HeaderIdempotencyKey),
		Attempt: req.Header.Get(siskinrill.HeaderAttempt), Service: srv.opt.Service, Key: req.Header.Get(siskinrill.HeaderKey),
		Method: req.Method, Path: req.URL.Path, FencePartition: req.Header.Get(siskinrill.HeaderFencePartition),
		FenceToken: fenceToken(req), Injected: injected,
	}
}

func readBody(src io.Reader) bodyDigest {
	dig := sha256.New()
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	num, err := io.CopyBuffer(dig, src, *buf)
	return bodyDigest{length: num, hash: hex.EncodeToString(dig.Sum(nil)), err: err}
}

// simulateWork waits for a drawn service time plus extra and returns the answer's status, or
// statusClientClosed if the client disconnects or the deadline passes first.
func (srv *Server) simulateWork(ctx context.Context, extra time.Duration) int {
	tmr := time.NewTimer(srv.drawServiceTime() + extra)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
		return statusClientClosed
	}
	if srv.faults.chance(srv.faults.get().FailRate) {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

// drawServiceTime returns a log-normal service time, scaled by the slow fault and the cold start.
func (srv *Server) drawServiceTime() time.Duration {
	if srv.opt.Median <= 0 {
		return 0
	}
	factor := min(math.Exp(srv.opt.Sigma*srv.faults.drawNormal()), maxTimeFactor)
	if slow := srv.faults.get().SlowFactor; slow > 0 {
		factor *= slow
	}
	if age := time.Since(srv.startedAt); age < srv.opt.ColdTime && srv.opt.ColdFactor > 1 {
		factor *= 1 + (srv.opt.ColdFactor-1)*(1-float64(age)/float64(srv.opt.ColdTime))
	}
	return time.Duration(factor * float64(srv.opt.Median))
}

func (srv *Server) newReply(req *http.Request, seq uint64, bdy bodyDigest) reply {
	size, err := strconv.Atoi(req.URL.Query().Get("size"))
	if err != nil || size < 0 || size > maxPadding {
		size = 0
	}
	return reply{
		Upstream: srv.opt.ID, Service: srv.opt.Service, Key: req.Header.Get(siskinrill.HeaderKey), Method: req.Method,
		Path: req.URL.Path, RequestID: req.Header.Get(headerRequestID), Sequence: seq,
		BodyBytes: bdy.length, BodySha256: bdy.hash, Padding: strings.Repeat("x", size),
	}
}

// writeAnswer writes the answer, or writes half of it and closes the connection if truncate is set.
func (srv *Server) writeAnswer(wri http.ResponseWriter, req *http.Request, status int, rep reply, truncate bool) {
	buf, err := json.Marshal(rep)
	if err != nil {
		http.Error(wri, err.Error(), http.StatusInternalServerError)
		return
	}
	// The advice is that of the time of the answer.
	srv.stateAdvice(wri.Header())
	wri.Header().Set("Content-Type", "application/json")
	wri.Header().Set("Content-Length", strconv.Itoa(len(buf)))
	wri.WriteHeader(status)
	if req.Method == http.MethodHead {
		return
	}
	if !truncate {
		_, _ = wri.Write(buf)
		return
	}
	_, _ = wri.Write(buf[:len(buf)/2])
	_ = http.NewResponseController(wri).Flush()
	panic(http.ErrAbortHandler)
}
