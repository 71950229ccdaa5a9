package owner

import (
	"cmp"
	"time"
)

// Limits and durations of the owner.
const (
	// reserveOnce is how much of the lease must remain to start a request that must not run twice, because a run
	// after the loss of the lease could not be undone.
	reserveOnce = 200 * time.Millisecond
	// reserveIdempotent is how much of the lease must remain to start an idempotent request.
	reserveIdempotent = 50 * time.Millisecond
	// recordRetention is how long an attempt record is kept after the deadline of its attempt.
	recordRetention = 60 * time.Second
	// maxKeptAnswer is the maximum size of an answer that is stored for replay, including headers.
	maxKeptAnswer = 16 << 10
	// maxTableWait is how long a request waits for this agent's copy of the tables when the entry has a newer one.
	maxTableWait = 100 * time.Millisecond
	// drainGrace is the default of Options.DrainGrace; it keeps the rule that a leaving backend server receives
	// nothing new after 3 s. It is also the limit for a drained zone, which must be free of requests 5 s after its order.
	drainGrace = 2500 * time.Millisecond
	// defaultTimeout is the timeout of an attempt that sets none.
	defaultTimeout = 30 * time.Second
	// defaultTTL is the time to live of an idempotency record if the service sets none.
	defaultTTL = 10 * time.Minute
	// defaultRamp is the time from a quarter of the slots to all of them if the service sets none.
	defaultRamp = 5 * time.Second
	// defaultQueue is the queue limit if the service sets none.
	defaultQueue = 100
	// tickInterval is how often queue, drain and released rows are checked if nothing else triggers it.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is how often expired records are removed.
	sweepInterval = time.Second
	// keylessGrantDuration is the validity of a grant for a request that needs no ownership; the request's deadline
	// ends much earlier.
	keylessGrantDuration = time.Hour
	// releaseRepeatInterval is the time after which a release is reported again if the row has not changed.
	releaseRepeatInterval = 500 * time.Millisecond
)

// Options configures an owner; zero values select the defaults.
type Options struct {
	// Slots returns how many requests the backend server can run at the same time, 0 while it cannot be used;
	// default: the slots of this session's upstream.
	Slots func() int
	// Warmup returns for how long the backend server stays slow after its start, and false if that is not known; it
	// replaces the ramp of the service; default: not known.
	Warmup func() (time.Duration, bool)
	// Region is the region of this agent; default: none.
	Region string
	// CallerHeaders are the canonical names of the headers that tell callers apart; default: none.
	CallerHeaders []string
	// DrainGrace is how long a draining upstream still accepts requests; default 2.5 s.
	DrainGrace time.Duration
	// MaxRecords is the maximum number of attempt records, of running requests and of ended ones that must not run
	// twice; default 131,072, enough for 2,100 such requests a second and about 33 MB.
	MaxRecords int
	// MaxEndedAttempts is the maximum number of ids in each of the two generations of ended attempts; default 262,144.
	MaxEndedAttempts int
	// MaxIdempotency is the maximum number of idempotency records; default 65,536.
	MaxIdempotency int
	// MaxKeptBytes is the maximum total size of the answers stored for replay; default 32 MiB.
	MaxKeptBytes int
	// MaxCopies is the maximum number of copies of other agents' idempotency records; default 65,536.
	MaxCopies int
	// MaxCopyBytes is the maximum total size of these copies; default 16 MiB.
	MaxCopyBytes int
}

func (opt Options) withDefaults() Options {
	opt.DrainGrace = cmp.Or(opt.DrainGrace, drainGrace)
	opt.MaxRecords = cmp.Or(opt.MaxRecords, 1<<17)
	opt.MaxEndedAttempts = cmp.Or(opt.MaxEndedAttempts, 1<<18)
	opt.MaxIdempotency = cmp.Or(opt.MaxIdempotency, 1<<16)
	opt.MaxKeptBytes = cmp.Or(opt.MaxKeptBytes, 32<<20)
	opt.MaxCopies = cmp.Or(opt.MaxCopies, 1<<16)
	opt.MaxCopyBytes = cmp.Or(opt.MaxCopyBytes, 16<<20)
	return opt
}

func durationOr(val uint32, unit, def time.Duration) time.Duration {
	if val == 0 {
		return def
	}
	return time.Duration(val) * unit
}

// faults are deliberate defects, set only by tests to prove that the tests detect them.
type faults struct {
	noLastCheck  bool
	noTombstone  bool
	releaseEarly bool
	extraSlots   int
	noCopy       bool // no record is stored on other agents before dispatch
	noFetch      bool // a new owner does not fetch copies
}
