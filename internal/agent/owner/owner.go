package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// maxSessions bounds the earlier sessions of this process for which a withdrawal can still prove that an attempt did
// not run.
const maxSessions = 64

// Owner serves attempts for the keys that this agent owns.
type Owner struct {
	opt Options
	ses siskinrill.Session
	fwd siskinrill.Forwarder
	bck siskinrill.Backend
	cnt *siskinrill.Counters
	flt faults

	wake         chan struct{}   // wakes Run after an attempt has ended or a move was reported
	startCtx     context.Context // done once no further attempt may start
	cancelStarts context.CancelFunc
	reporter     grantReporter
	cps          *copyStore
	fch          fetcher
	hdc          holderCache
	seq          atomic.Uint64 // sequence number of the copies that this owner sends

	mu                sync.Mutex
	sessions          []uint64 // sessions of this process, the newest last
	records           map[attemptID]*record
	past              *endedAttempts
	whe               *wheel
	keptBytes         int
	claims            map[claimKey]*claim
	que               queue // requests waiting for slots
	bodies            bodyTransfers
	lim               limiter
	starts            startRate
	rts               runTimes
	longest           siskinrill.LongestTimes // of runs, by route
	stopAt            time.Time               // end of a planned stop, zero before it
	arr               arrivals
	attempts          int                  // in progress, from arrival to end
	holders           map[*ticket]struct{} // have a slot: running, or about to be sent
	moves             map[moveKey]*move
	lds               *loads
	drainStart        boottime.Instant // only valid while draining
	draining          bool
	closed            bool        // accepts no new attempts
	holdTimer         *time.Timer // gives out slots when a start that is held back is due, nil for none
	holdDue           time.Time   // when it does so
	lastDeadlineCheck time.Time   // when the deadlines of all waiting requests were last checked
}

var (
	_ siskinrill.Owner      = (*Owner)(nil)
	_ siskinrill.LoadSource = (*Owner)(nil)
)

// New returns an owner that admits attempts as soon as the session has a lease and the backend server has slots.
func New(opt Options, ses siskinrill.Session, fwd siskinrill.Forwarder, bck siskinrill.Backend, cnt *siskinrill.Counters) *Owner {
	opt = opt.withDefaults()
	own := &Owner{
		opt: opt, ses: ses, fwd: fwd, bck: bck, cnt: cnt, wake: make(chan struct{}, 1),
		records: map[attemptID]*record{}, past: newEndedAttempts(opt.MaxEndedAttempts), whe: newWheel(),
		claims: map[claimKey]*claim{}, holders: map[*ticket]struct{}{}, moves: map[moveKey]*move{}, lds: newLoads(), rts: runTimes{}, arr: arrivals{},
	}
	own.startCtx, own.cancelStarts = context.WithCancel(context.Background())
	own.lim.ramp = defaultRamp
	own.reporter.reported = map[shardID]uint64{}
	own.cps = newCopyStore(opt.MaxCopies, opt.MaxCopyBytes, cnt)
	own.fch.fetches = map[fetchKey]*fetch{}
	own.reporter.sending = make(chan struct{}, 1)
	return own
}

// Idle reports whether this agent owns nothing and has no request in flight.
func (own *Owner) Idle() bool {
	if len(own.ses.Owned()) > 0 {
		return false
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.attempts == 0 && len(own.moves) == 0
}

// Attempts returns the number of attempts in progress: those that run, and those that wait for a slot, their bodies
// or the keys of the backend server.
func (own *Owner) Attempts() int {
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.attempts
}

// StopAt states when a planned stop will end the runs that are not complete. Attempts whose runs may take longer are refused.
func (own *Owner) StopAt(end time.Time) {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.stopAt = end
}

// outlastsStop reports whether a run that starts now may be cut by a planned stop; the caller holds the mutex.
func (own *Owner) outlastsStop(tck *ticket, now time.Time) bool {
	if own.stopAt.IsZero() || !tck.deadline.After(own.stopAt) {
		return false
	}
	route := tck.att.Open().GetRoute()
	return now.Add(max(own.longest.Longest(route), own.rts.estimate(route))).After(own.stopAt)
}

// Close refuses all further attempts as not run; those that wait or run continue.
func (own *Owner) Close() {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.closed = true
}

func (own *Owner) isClosed() bool {
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.closed
}

// RefuseQueued refuses all attempts that have not started as not run, and prevents any further start.
func (own *Owner) RefuseQueued() {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.closed = true
	own.cancelStarts()
	for _, rec := range own.records {
		if rec.phase == phaseQueued && rec.tck != nil {
			own.refuseWaiting(rec.tck, siskinrill.ReasonDraining)
		}
	}
}

// CurrentLoad returns the numbers of running and queued requests, the concurrency limit, the long-term latency, and what
// the backend server states in its answers.
func (own *Owner) CurrentLoad() *peerpb.OwnerLoad {
	adv := own.bck.Advice()
	own.mu.Lock()
	defer own.mu.Unlock()
	return &peerpb.OwnerLoad{
		Running: uint32(len(own.holders)), Queued: uint32(own.waiting()),
		Limit: uint32(own.lim.current()), LatencyMs: uint32(own.lim.latency().Milliseconds()),
		Advice: adv, StartWaitMs: millis(own.startWait(time.Now())),
	}
}

// slots returns how many requests the backend server can run at the same time.
func (own *Owner) slots() int {
	if own.opt.Slots != nil {
		return own.opt.Slots()
	}
	ups := own.ses.Node(own.ses.Session()).GetUpstream()
	switch ups.GetState() {
	case controlpb.UpstreamState_UPSTREAM_STATE_SERVING, controlpb.UpstreamState_UPSTREAM_STATE_DRAINING:
		return int(min(ups.GetSlots(), ups.GetConnections()))
	default:
		return 0
	}
}

// recordSession adds the current session to the sessions of this process.
func (own *Owner) recordSession() {
	ses := own.ses.Session()
	own.mu.Lock()
	defer own.mu.Unlock()
	if ses == 0 || slices.Contains(own.sessions, ses) {
		return
	}
	own.sessions = append(own.sessions, ses)
	if len(own.sessions) > maxSessions {
		own.sessions = own.sessions[1:]
	}
}

// wakeRun makes Run check the rows that are being released again.
func (own *Owner) wakeRun() {
	select {
	case own.wake <- struct{}{}:
	default:
	}
}

// recordRefusal counts a refusal that originated here and adds it to the load report.
func (own *Owner) recordRefusal(ref *siskinrill.Refusal) error {
	own.cnt.Refused(ref.Reason())
	return own.addRefusalToLoad(ref)
}

// addRefusalToLoad adds a refusal to the load report.
func (own *Owner) addRefusalToLoad(ref *siskinrill.Refusal) error {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.lds.refusals[string(ref.Reason())]++
	return ref
}
