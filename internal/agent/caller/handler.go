package caller

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
	"github.com/siskinrill/siskinrill/internal/wire/reqtarget"
)

const maxIdempotencyKeyBytes = 256

// Handler serves HTTP requests of callers and is safe for concurrent use.
type Handler struct {
	opt          Options
	session      siskinrill.Session
	forwarder    siskinrill.Forwarder
	owner        siskinrill.Owner
	counters     *siskinrill.Counters
	hooks        hooks
	budgets      budgets
	outstanding  outstanding
	attempts     atomic.Uint64
	closed       atomic.Bool
	stop         stop
	stopAt       atomic.Pointer[time.Time] // end of a planned stop, nil before it
	longest      siskinrill.LongestTimes   // until the end of an answer, by route
	waiting      atomic.Int64
	weights      *weights
	loads        loads
	spillovers   spillovers
	advice       adviceCache
	refusedCalls refusedCalls
	inFlight     inFlight
	// The latest session, kept because attempt ids must stay unique while a new session is being registered.
	entrySession atomic.Uint64
}

// hooks inject faults for tests.
type hooks struct {
	skipWithdraw bool // treat a lost answer as proof that the attempt did not run
}

// New returns a handler; own serves the keys that this agent owns itself.
func New(opt Options, ses siskinrill.Session, fwd siskinrill.Forwarder, own siskinrill.Owner, cnt *siskinrill.Counters) *Handler {
	return &Handler{
		opt:          opt.withDefaults(),
		session:      ses,
		forwarder:    fwd,
		owner:        own,
		counters:     cnt,
		budgets:      budgets{buckets: map[string]*bucket{}},
		outstanding:  outstanding{counts: map[uint64]int{}},
		weights:      newWeights(),
		refusedCalls: refusedCalls{calls: map[requestKey][]refusedCall{}},
		stop:         newStop(),
		inFlight:     inFlight{calls: map[*call]struct{}{}},
		advice:       adviceCache{servers: map[siskinrill.ServerStart]heardAdvice{}},
		spillovers:   spillovers{byName: map[string]*spillover{}},
		loads:        loads{reports: map[uint64]loadReport{}, runTimes: map[string]time.Duration{}},
	}
}

// ServeHTTP forwards a request to the owner of its key and writes back the answer or a refusal.
func (han *Handler) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	cal, ref := han.accept(wri, req)
	if ref != nil {
		han.refuse(wri, req, ref)
		return
	}
	han.inFlight.add(cal)
	defer han.inFlight.remove(cal)
	defer cal.body.release()
	defer cal.removeOutstanding()
	ans, ref := cal.serve()
	cal.progress.setStage(stageAnswer)
	if cal.body.unread() {
		// The rest of a body must never be parsed as the next request.
		wri.Header().Set("Connection", "close")
	}
	if ref != nil {
		han.refuse(wri, req, cal.withOverallOutcome(cal.settleLost(ref)))
		cal.rememberRefused(ref)
		cal.finishBody(wri)
		return
	}
	defer func() { _ = ans.Close() }()
	if malformed(req.Method, ans) {
		han.refuse(wri, req, siskinrill.Unknown(siskinrill.ReasonBackendBadAnswer, nil))
		return
	}
	cal.copyAnswer(wri, ans)
	han.longest.Observe(cal.route.GetName(), time.Since(cal.attemptStart))
	cal.finishBody(wri)
}

// finishBody aborts the connection if the body was not read to its end. An answer of unknown length ends only
// when the handler returns, and the connection is closed then anyway.
func (cal *call) finishBody(wri http.ResponseWriter) {
	if cal.body.linger(wri, cal.han.opt.Grace) && wri.Header().Get("Content-Length") != "" {
		panic(http.ErrAbortHandler)
	}
}

// call is one request of a caller in progress.
type call struct {
	han             *Handler
	req             *http.Request
	requestTarget   string // path and query as the caller sent them
	route           *controlpb.Route
	service         *controlpb.Service
	key             string
	idempotencyKey  string
	headers         []*peerpb.HeaderField
	body            *body
	deadline        time.Time
	targetDeadline  time.Time // end of the route's target latency, zero if not known
	arrived         time.Time
	progress        progress
	ownerWait       time.Duration // total time spent waiting for an owner
	pollPause       time.Duration // next pause if control sends no update
	refusable       refusedCall
	tries           int
	attemptStart    time.Time   // of the latest attempt
	mayHaveRun      bool        // an earlier attempt may have run
	countedOwner    uint64      // session of the owner at which this call counts as outstanding, 0 if none
	refusedSessions []uint64    // sessions that refused this call, for a service without keys
	leaveReason     leaveReason // why the next attempt goes to another zone
	leftZone        bool        // an attempt has been sent to another zone
	refusedInZone   bool        // an owner of this zone has refused the call for load
	unknowns        int         // attempts of an idempotent request whose outcomes are not known
	lost            []lostAttempt
	hasAlternatives bool // the service has no keys, and a refusal of the upstream picked is followed by an attempt at another
}

// keyless reports whether any upstream of the service may serve the request.
func (cal *call) keyless() bool {
	return cal.service.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NONE
}

// accept validates a request and reads the first part of its body; a refusal proves that nothing ran.
func (han *Handler) accept(wri http.ResponseWriter, req *http.Request) (*call, *siskinrill.Refusal) {
	if han.closed.Load() {
		return nil, siskinrill.NotRun(siskinrill.ReasonDraining).WithRetryAfter(defaultRetryAfter)
	}
	if ses := han.session.Session(); ses != 0 {
		han.entrySession.Store(ses)
	}
	if !han.session.Fresh() || han.entrySession.Load() == 0 {
		return nil, siskinrill.NotRun(siskinrill.ReasonNoLease).WithRetryAfter(time.Second)
	}
	rte, key, rsn := han.session.Match(req.Host, req.Method, req.URL.EscapedPath())
	if rte == nil && rsn == siskinrill.ReasonNoLease {
		return nil, siskinrill.NotRun(rsn).WithRetryAfter(defaultRetryAfter)
	}
	if rte == nil {
		return nil, siskinrill.NotRun(rsn)
	}
	raw, err := reqtarget.Of(req)
	if err != nil {
		return nil, siskinrill.NewRefusal(siskinrill.ReasonBadRequest, peerpb.Outcome_OUTCOME_NOT_RUN, err)
	}
	cal := &call{han: han, req: req, requestTarget: raw, route: rte, key: key, pollPause: han.opt.Poll, arrived: time.Now()}
	cal.service = han.session.Service(han.weights.choose(rte))
	if cal.service == nil {
		return nil, siskinrill.NotRun(siskinrill.ReasonNoRoute)
	}
	if rte.GetPrefix() != "" {
		cal.key = req.Header.Get(siskinrill.HeaderKey)
	}
	if err := cal.readHeader(); err != nil {
		return nil, siskinrill.NewRefusal(siskinrill.ReasonBadRequest, peerpb.Outcome_OUTCOME_NOT_RUN, err)
	}
	if ref := cal.refuseEarlyRepeat(); ref != nil {
		return nil, ref
	}
	if _, ok := siskinrill.PartitionOf(cal.service, cal.key); !ok && cal.service.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NUMBER {
		return nil, siskinrill.NotRun(siskinrill.ReasonBadKey)
	}
	if ref := cal.readBody(wri); ref != nil {
		return nil, ref
	}
	cal.headers = forwardedHeaders(req)
	han.budgets.refill(cal.service, len(han.session.Nodes()))
	return cal, nil
}

func (cal *call) readHeader() error {
	if !cal.req.ProtoAtLeast(1, 1) {
		// HTTP/1.0 marks the end of an answer of unknown length by closing the connection, so a truncated
		// answer would look complete.
		return errors.New("HTTP/1.1 or newer is required")
	}
	if !cal.keyless() && (cal.key == "" || len(cal.key) > siskinrill.MaxKeyBytes) {
		return errors.Errorf("the key has %d bytes, allowed are 1 to %d", len(cal.key), siskinrill.MaxKeyBytes)
	}
	if !utf8.ValidString(cal.key) {
		return errors.New("the key is not valid UTF-8")
	}
	cal.idempotencyKey = cal.req.Header.Get(siskinrill.HeaderIdempotencyKey)
	if len(cal.idempotencyKey) > maxIdempotencyKeyBytes {
		return errors.Errorf("the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	if !utf8.ValidString(cal.idempotencyKey) {
		return errors.New("the idempotency key is not valid UTF-8")
	}
	limit, requested := timeout(cal.route), time.Duration(0)
	if txt := cal.req.Header.Get(siskinrill.HeaderTimeout); txt != "" {
		dur, err := time.ParseDuration(txt)
		if err != nil || dur <= 0 {
			return errors.Errorf("%s is not a positive duration: %q", siskinrill.HeaderTimeout, txt)
		}
		limit, requested = min(limit, dur), dur
	}
	cal.deadline = time.Now().Add(limit)
	if tgt := cal.route.GetTargetLatencyMs(); tgt > 0 {
		cal.targetDeadline = cal.firstAttempt(requested).Add(time.Duration(tgt) * time.Millisecond)
	}
	return nil
}

func (cal *call) readBody(wri http.ResponseWriter) *siskinrill.Refusal {
	if cal.req.ContentLength != 0 {
		// A caller that stops sending must not hold the request past its deadline.
		_ = http.NewResponseController(wri).SetReadDeadline(cal.deadline.Add(cal.han.opt.Grace))
	}
	bdy, err := readBody(wri, cal.req, cal.maxBody())
	if err == nil {
		cal.body = bdy
		if bdy.rest != nil {
			// An owner may answer before it has read the entire body; without full duplex, net/http would then
			// read the rest itself.
			_ = http.NewResponseController(wri).EnableFullDuplex()
		}
		return nil
	}
	return siskinrill.NewRefusal(bodyReason(cal.req.Context(), err), peerpb.Outcome_OUTCOME_NOT_RUN, err)
}

// bodyReason returns the reason why a caller's body could not be read.
func bodyReason(ctx context.Context, err error) siskinrill.Reason {
	if errors.Is(err, errNoBodyMemory) {
		return siskinrill.ReasonBodyMemory
	}
	big := &http.MaxBytesError{}
	if errors.As(err, &big) {
		return siskinrill.ReasonBodyTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return siskinrill.ReasonDeadline
	}
	if ctx.Err() != nil {
		return siskinrill.ReasonCallerGone
	}
	return siskinrill.ReasonBadRequest
}

// removeOutstanding stops counting the call at its owner.
func (cal *call) removeOutstanding() {
	if cal.countedOwner != 0 {
		cal.han.outstanding.remove(cal.countedOwner)
		cal.countedOwner = 0
	}
}

// withOverallOutcome returns the refusal with an outcome that covers all attempts: unknown if an earlier one
// may have run.
func (cal *call) withOverallOutcome(ref *siskinrill.Refusal) *siskinrill.Refusal {
	if !cal.mayHaveRun || !ref.NotRun() {
		return ref
	}
	return siskinrill.Unknown(ref.Reason(), ref.Unwrap())
}

// atMostOnce reports whether the request must not run twice.
func (cal *call) atMostOnce() bool {
	return !siskinrill.IsIdempotent(cal.route.GetKind())
}
