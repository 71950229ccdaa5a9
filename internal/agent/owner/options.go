package owner

import (
	"cmp"
	"time"
)

// Limits and times of the owner.
const (
	// reserveOnce is the rest of the lease that a request needs that must not run twice; a late run after a lost lease could not be undone.
	reserveOnce = 200 * time.Millisecond
	// reserveIdempotent is the rest of the lease that an idempotent request needs.
	reserveIdempotent = 50 * time.Millisecond
	// recordRetention is how long an attempt record outlives the deadline of its attempt.
	recordRetention = 60 * time.Second
	// maxKeptAnswer is the longest answer that is kept for repetition, headers included.
	maxKeptAnswer = 16 << 10
	// maxTableWait is how long a request from an entry with a newer copy of the table waits for this agent's copy.
	maxTableWait = 100 * time.Millisecond
	// drainGrace is the default of Options.DrainGrace; a leaving backend server receives nothing new after 3 s.
	drainGrace = 2500 * time.Millisecond
	// defaultTimeout is the deadline of an attempt that names none.
	defaultTimeout = 30 * time.Second
	// defaultTTL is the life of an idempotency record of a service that names none.
	defaultTTL = 10 * time.Minute
	// defaultRamp is the time from a quarter of the slots to all of them for a service that names none.
	defaultRamp = 5 * time.Second
	// defaultQueue is the queue of a service that names none.
	defaultQueue = 100
	// tickInterval is how often queue, drain and released rows are looked at without another cause.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is how often expired records are dropped.
	sweepInterval = time.Second
	// keylessGrantDuration is the life of a grant for a request that needs no ownership; its deadline bounds it long before.
	keylessGrantDuration = time.Hour
	// releaseRepeatInterval is the time after which a release is reported again while the row has not changed.
	releaseRepeatInterval = 500 * time.Millisecond
)

// Options configure an owner; zero values stand for the defaults.
type Options struct {
	// Slots returns how many requests the backend server can run at once, 0 while it cannot be used; default: the slots of this session's upstream.
	Slots func() int
	// Warmup returns for how long the backend server stays slow after its start, false if that is not known; it replaces the ramp of the service; default: not known.
	Warmup func() (time.Duration, bool)
	// DrainGrace is how long an upstream that drains still serves; default 2.5 s.
	DrainGrace time.Duration
	// MaxRecords bounds the attempt records of requests that run or ran at most once; default 131,072, enough for 2,100 such requests a second and about 33 MB.
	MaxRecords int
	// MaxPast bounds each of the two generations of ended attempt ids; default 262,144.
	MaxPast int
	// MaxIdempotency bounds the idempotency records; default 65,536.
	MaxIdempotency int
	// MaxKeptBytes bounds the answers kept for repetition; default 32 MiB.
	MaxKeptBytes int
	// MaxCopies bounds the copies of other agents' idempotency records; default 65,536.
	MaxCopies int
	// MaxCopyBytes bounds the bytes of these copies; default 16 MiB.
	MaxCopyBytes int
}

func (opt Options) withDefaults() Options {
	opt.DrainGrace = cmp.Or(opt.DrainGrace, drainGrace)
	opt.MaxRecords = cmp.Or(opt.MaxRecords, 1<<17)
	opt.MaxPast = cmp.Or(opt.MaxPast, 1<<18)
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

// faults are deliberate defects, set only by tests to prove that the tests notice them.
type faults struct {
	noLastCheck  bool
	noTombstone  bool
	releaseEarly bool
	extraSlots   int
	noCopy       bool // no record is stored on other agents before the hand-over
	noFetch      bool // a new owner does not ask for copies
}
