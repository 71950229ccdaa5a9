package assign

import (
	"cmp"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Limits are the settings of the policy; zero values mean the defaults.
type Limits struct {
	InFlightDivisor int           // limit of rows in flight that fill and balance observe: partitions/InFlightDivisor, at least 1; default 8
	BalancePerTick  int           // moves that balance starts per tick; default 8
	RowsPerTick     int           // grants and drains per tick, which bounds the size of a log entry; default 4,096
	MoveCooldown    time.Duration // minimum time between two moves of the same row by fill or balance; default 30 s
	HighFactor      float64       // balance starts when the highest upstream exceeds this multiple of the mean; default 1.10
	HighFor         time.Duration // and has exceeded it for this long; default 3 s
	LowFactor       float64       // balance stops once the highest upstream is at or below this multiple of the mean; default 1.04
	StaleAfter      time.Duration // upstreams with an older load report count as the mean of the service; default 5 s
	HotShare        float64       // a key with more than this share of an upstream's mean load gets an override; default 0.25
	ColdShare       float64       // an override with less than this share is retired; default 0.10
	ColdFor         time.Duration // and has been below it for this long; default 30 s
	Settle          time.Duration // first grants of a service wait until its newest upstream is this old, else the first upstream would get all rows; default 0
	BalanceFrom     float64       // balance takes no rows from upstreams that use less of their slots, because a move interrupts its keys; default 0
	FillShare       float64       // part of its share that a joining upstream is filled with, the rest is left to balance; default 1
	BySpeed         bool          // capacity is slots times measured speed rather than slots alone; default false
	Window          time.Duration // averaging time of the load figures, twice their time constant, to distinguish imbalance from noise; default 10 s
}

func (lim Limits) withDefaults() Limits {
	lim.InFlightDivisor = cmp.Or(lim.InFlightDivisor, 8)
	lim.BalancePerTick = cmp.Or(lim.BalancePerTick, 8)
	lim.RowsPerTick = cmp.Or(lim.RowsPerTick, 4096)
	lim.MoveCooldown = cmp.Or(lim.MoveCooldown, 30*time.Second)
	lim.HighFactor = cmp.Or(lim.HighFactor, 1.10)
	lim.HighFor = cmp.Or(lim.HighFor, 3*time.Second)
	lim.LowFactor = cmp.Or(lim.LowFactor, 1.04)
	lim.StaleAfter = cmp.Or(lim.StaleAfter, 5*time.Second)
	lim.HotShare = cmp.Or(lim.HotShare, 0.25)
	lim.ColdShare = cmp.Or(lim.ColdShare, 0.10)
	lim.ColdFor = cmp.Or(lim.ColdFor, 30*time.Second)
	lim.FillShare = cmp.Or(lim.FillShare, 1)
	lim.Window = cmp.Or(lim.Window, 10*time.Second)
	return lim
}

// Policy decides on ownership; it keeps recent moves and the times since which conditions have held, and must
// be used by one goroutine.
type Policy struct {
	limits Limits
	memory map[string]*memory
}

var _ siskinrill.Policy = (*Policy)(nil)

// New returns a policy without any history.
func New(lim Limits) *Policy {
	return &Policy{limits: lim.withDefaults(), memory: map[string]*memory{}}
}

// memory is the policy's state of one service between ticks.
type memory struct {
	cooldowns      []time.Duration          // end of the cooldown of each partition
	keyCooldowns   map[string]time.Duration // end of the cooldown of each override
	coldSince      map[string]time.Duration // start of an override's time below ColdShare
	joining        map[uint64]bool          // known sessions, true while one is being filled
	serviceTimes   map[uint64]*serviceTime  // by session; only with Limits.BySpeed
	highSince      time.Duration            // start of the highest upstream's time above HighFactor, negative if it is below
	nextRenewal    map[uint64]time.Duration // by session: earliest time of the next renewal of its tokens
	lastPlan       time.Duration            // time of the previous tick
	reportingSince map[uint64]time.Duration // by session: start of its uninterrupted load reports
	idle           bool                     // the service has too few requests to be balanced
	workspace      workspace                // reused buffers
}

// Plan returns the assignments of one tick; now is the time since the policy started.
func (pol *Policy) Plan(now time.Duration, tbl *siskinrill.Tables) []*controlpb.Assignment {
	var out []*controlpb.Assignment
	known := map[string]bool{}
	for pos := range tbl.Services {
		svc := &tbl.Services[pos]
		known[svc.Service.GetName()] = true
		out = append(out, pol.planService(now, svc)...)
	}
	for name := range pol.memory {
		if !known[name] {
			delete(pol.memory, name)
		}
	}
	return out
}

func (pol *Policy) planService(now time.Duration, svc *siskinrill.ServiceRows) []*controlpb.Assignment {
	mem := pol.memoryFor(svc)
	if now-mem.lastPlan > maxPlanGap {
		// Another process was leader in between, so the recorded history is incomplete.
		mem = pol.resetMemory(svc)
	}
	mem.lastPlan = now
	wrk := &mem.workspace
	wrk.build(now, pol.limits, svc, mem)
	if wrk.eligible == 0 || wrk.awaitingUpstreams() {
		return nil
	}
	wrk.grant()
	wrk.drain()
	if wrk.hasNumericKeys() {
		wrk.renew()
	}
	if !wrk.loadsComparable() {
		return wrk.out
	}
	wrk.fill()
	wrk.retire()
	if !mem.idle {
		wrk.isolate()
		wrk.balance()
	}
	return wrk.out
}

// maxPlanGap is the time without a tick after which the recorded history is discarded; a tick is 100 ms.
const maxPlanGap = 2 * time.Second

func (pol *Policy) resetMemory(svc *siskinrill.ServiceRows) *memory {
	delete(pol.memory, svc.Service.GetName())
	return pol.memoryFor(svc)
}

func (pol *Policy) memoryFor(svc *siskinrill.ServiceRows) *memory {
	name := svc.Service.GetName()
	mem := pol.memory[name]
	if mem == nil || len(mem.cooldowns) != len(svc.Partitions) {
		mem = &memory{
			cooldowns: make([]time.Duration, len(svc.Partitions)), keyCooldowns: map[string]time.Duration{},
			coldSince: map[string]time.Duration{}, joining: map[uint64]bool{}, serviceTimes: map[uint64]*serviceTime{}, reportingSince: map[uint64]time.Duration{}, nextRenewal: map[uint64]time.Duration{}, highSince: -1,
		}
		pol.memory[name] = mem
	}
	return mem
}
