package assign

import (
	"cmp"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Limits are the settings of the policy; zero values mean the defaults.
type Limits struct {
	InFlightDivisor int           // fill and balance keep at most partitions/InFlightDivisor rows in flight, at least 1; default 8
	BalancePerTick  int           // moves that balance starts in a tick; default 8
	RowsPerTick     int           // grants and drains in a tick, which bounds the size of a log entry; default 4,096
	Pause           time.Duration // between two moves of the same row by fill or balance; default 30 s
	HighFactor      float64       // balance starts when the highest upstream is over this multiple of the mean; default 1.10
	HighFor         time.Duration // and has been for this long; default 3 s
	LowFactor       float64       // balance lowers upstreams to this multiple of the mean; default 1.04
	StaleAfter      time.Duration // an older load report counts as the mean of the service; default 5 s
	HotShare        float64       // a key over this share of an upstream's mean load gets an override; default 0.25
	ColdShare       float64       // an override under this share is retired; default 0.10
	ColdFor         time.Duration // once it has been for this long; default 30 s
	Settle          time.Duration // the first grants of a service wait until its newest upstream has been there for this long, so that the first one does not get everything; default 0
	BalanceFrom     float64       // balance leaves upstreams alone that use less than this share of their slots, because a move interrupts its keys; default 0
	FillShare       float64       // a joining upstream gets this part of its share, and more only by balance; default 1
	BySpeed         bool          // upstreams get rows by how fast they work, beside their slots; default false
	Window          time.Duration // over which load figures average, twice their time constant, to tell imbalance from noise; default 10 s
}

func (lim Limits) withDefaults() Limits {
	lim.InFlightDivisor = cmp.Or(lim.InFlightDivisor, 8)
	lim.BalancePerTick = cmp.Or(lim.BalancePerTick, 8)
	lim.RowsPerTick = cmp.Or(lim.RowsPerTick, 4096)
	lim.Pause = cmp.Or(lim.Pause, 30*time.Second)
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

// Policy decides on ownership; it remembers recent moves and how long a state has lasted, and is used by one goroutine.
type Policy struct {
	limits Limits
	memory map[string]*memory
}

var _ siskinrill.Policy = (*Policy)(nil)

// New returns a policy with an empty memory.
func New(lim Limits) *Policy {
	return &Policy{limits: lim.withDefaults(), memory: map[string]*memory{}}
}

// memory is what the policy keeps between ticks for one service.
type memory struct {
	cooldowns      []time.Duration          // end of the pause of each partition
	keyCooldowns   map[string]time.Duration // end of the pause of each override
	coldSince      map[string]time.Duration // since when an override has been cold
	joining        map[uint64]bool          // sessions, true while one is being filled
	serviceTimes   map[uint64]*serviceTime  // by session, with Limits.BySpeed
	highSince      time.Duration            // since when the highest upstream has been too high, negative: it is not
	nextRenewal    map[uint64]time.Duration // by session: when its rows may get one token again
	lastPlan       time.Duration            // newest plan
	reportingSince map[uint64]time.Duration // by session: since when its load reports come
	idle           bool                     // the service had too few requests to be balanced
	workspace      workspace                // buffers of the previous tick
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
		// Another process has led meanwhile, so that nothing is known of what happened.
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

// maxPlanGap is the time between two plans after which the memory is void; a tick is 100 ms.
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
