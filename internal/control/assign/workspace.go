package assign

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// none stands for no upstream.
const none = int32(-1)

// rampStartShare is the share of its capacity that an upstream has at the start of its ramp; the owner's
// concurrency limit starts at the same share.
const rampStartShare = 0.25

// baseRowShare is the load added to each row, as a share of the mean row, so that rows without traffic are
// distributed too.
const baseRowShare = 0.01

const (
	// idleEnterLoad is the load in requests per second per slot that no upstream may exceed for a service to
	// become idle; requests of 4 ms use 0.1% of the slots at this rate.
	idleEnterLoad = 0.25
	// idleExitLoad is the load of any upstream, in the same unit, above which the service is no longer idle.
	idleExitLoad = 0.5
	// idleMaxBusy is the share of slots in use at any upstream above which a service is not idle, for
	// services with few but long requests.
	idleMaxBusy = 0.05
)

// upstream is the planned state of one upstream during a tick.
type upstream struct {
	session   uint64
	zone      int32
	weight    float64 // capacity, reduced during its ramp
	capacity  float64 // slots, times its speed with Limits.BySpeed
	load      float64 // of the rows planned for it, in requests per second
	count     int     // partitions planned for it
	busy      float64 // share of its slots in use by its last report
	ramping   bool    // is in its ramp
	eligible  bool    // may receive rows
	stale     bool    // its load report is too old
	joining   bool    // is being filled up to its share
	exhausted bool    // no further move of its rows helps in this tick
}

func (ups *upstream) score() float64 { return ups.load / ups.weight }

// row is a partition or override during a tick.
type row struct {
	source *siskinrill.ShardRow
	owner  int32 // planned owner, index in workspace.ups
	load   float64
}

// workspace is the planning state of one service during a tick; its buffers are reused.
type workspace struct {
	now           time.Duration
	limits        Limits
	svc           *siskinrill.ServiceRows
	mem           *memory
	ups           []upstream
	index         map[uint64]int32
	zones         map[string]int32
	zoneLoad      []float64
	zoneSlots     []float64
	rows          []row   // partitions, then overrides
	byOwner       []int32 // rows sorted by owner
	starts        []int32 // start of each owner's rows in byOwner
	eligible      int
	totalWeight   float64 // of eligible upstreams
	totalCapacity float64
	totalLoad     float64
	targetScore   float64 // load per weight in a perfect balance, leaving out the hottest rows
	inFlight      int
	out           []*controlpb.Assignment
}

func (wrk *workspace) build(now time.Duration, lim Limits, svc *siskinrill.ServiceRows, mem *memory) {
	wrk.now, wrk.limits, wrk.svc, wrk.mem = now, lim, svc, mem
	wrk.out, wrk.inFlight = nil, 0
	wrk.buildUpstreams()
	wrk.buildRows()
	wrk.detectIdle()
	wrk.estimateStaleLoads()
	wrk.sumLoads()
	wrk.applyRateLimits()
	wrk.groupByOwner()
	wrk.computeTargetScore()
	wrk.markJoining()
}

func (wrk *workspace) buildUpstreams() {
	wrk.ups = wrk.ups[:0]
	speeds := wrk.speeds()
	wrk.index, wrk.zones = map[uint64]int32{}, map[string]int32{}
	wrk.eligible, wrk.totalWeight, wrk.totalCapacity = 0, 0, 0
	for pos := range wrk.svc.Upstreams {
		src := &wrk.svc.Upstreams[pos]
		zon, ok := wrk.zones[src.Zone]
		if !ok {
			zon = int32(len(wrk.zones))
			wrk.zones[src.Zone] = zon
		}
		ups := upstream{session: src.Session, zone: zon, capacity: float64(max(src.Slots, 1)) * speeds[pos]}
		ups.busy = src.Busy / float64(max(src.Slots, 1))
		ups.weight = ups.capacity * ramp(src.Age, wrk.svc.Service.GetRampMs())
		ups.ramping = ups.weight < ups.capacity
		ups.eligible = src.State == controlpb.UpstreamState_UPSTREAM_STATE_SERVING
		ups.stale = src.ReportAge > wrk.limits.StaleAfter
		if ups.eligible {
			wrk.eligible++
			wrk.totalWeight += ups.weight
			wrk.totalCapacity += ups.capacity
		}
		wrk.index[src.Session] = int32(len(wrk.ups))
		wrk.ups = append(wrk.ups, ups)
	}
}

// ramp returns the share of its capacity that an upstream of an age can use.
func ramp(age time.Duration, rampMs uint32) float64 {
	end := time.Duration(rampMs) * time.Millisecond
	if end == 0 || age >= end {
		return 1
	}
	return rampStartShare + (1-rampStartShare)*float64(age)/float64(end)
}

func (wrk *workspace) buildRows() {
	wrk.rows = wrk.rows[:0]
	for pos := range wrk.svc.Partitions {
		wrk.addRow(&wrk.svc.Partitions[pos])
	}
	for pos := range wrk.svc.Overrides {
		wrk.addRow(&wrk.svc.Overrides[pos])
	}
}

func (wrk *workspace) addRow(src *siskinrill.ShardRow) {
	own := none
	ses := src.Owner
	if src.Phase == controlpb.Phase_PHASE_RELEASING {
		wrk.inFlight++
		ses = src.Target
	}
	if pos, ok := wrk.index[ses]; ok && ses != 0 {
		own = pos
	}
	wrk.rows = append(wrk.rows, row{source: src, owner: own, load: src.Load})
}

// detectIdle sets the loads of an idle service to 0, so that only row counts matter. Balancing a few requests
// per second would move keys for no benefit.
func (wrk *workspace) detectIdle() {
	limit := idleEnterLoad
	if wrk.mem.idle {
		limit = idleExitLoad
	}
	loads := make([]float64, len(wrk.ups))
	for pos := range wrk.rows {
		if own := wrk.rows[pos].owner; own != none {
			loads[own] += wrk.rows[pos].load
		}
	}
	wrk.mem.idle = true
	for pos := range wrk.ups {
		if loads[pos] > limit*wrk.ups[pos].capacity || wrk.svc.Upstreams[pos].Busy > idleMaxBusy*wrk.ups[pos].capacity {
			wrk.mem.idle = false
		}
	}
	if !wrk.mem.idle {
		return
	}
	for pos := range wrk.rows {
		wrk.rows[pos].load = 0
	}
}

// estimateStaleLoads replaces the loads of rows whose owner's report is stale, so that such an upstream
// counts as the mean.
func (wrk *workspace) estimateStaleLoads() {
	known, weight := 0.0, 0.0
	counts := make([]int, len(wrk.ups))
	for pos := range wrk.rows {
		if own := wrk.rows[pos].owner; own != none {
			counts[own]++
			if !wrk.ups[own].stale {
				known += wrk.rows[pos].load
			}
		}
	}
	for pos := range wrk.ups {
		if !wrk.ups[pos].stale && counts[pos] > 0 {
			weight += wrk.ups[pos].weight
		}
	}
	if weight == 0 {
		return
	}
	for pos := range wrk.rows {
		rwo := &wrk.rows[pos]
		if own := rwo.owner; own != none && wrk.ups[own].stale {
			rwo.load = known / weight * wrk.ups[own].weight / float64(counts[own])
		}
	}
}

// sumLoads adds the base share to each row's load, then sums the loads of each upstream and zone.
func (wrk *workspace) sumLoads() {
	wrk.totalLoad = 0
	for pos := range wrk.rows {
		wrk.totalLoad += wrk.rows[pos].load
	}
	extra := 1.0
	if wrk.totalLoad > 0 {
		extra = baseRowShare * wrk.totalLoad / float64(len(wrk.rows))
	}
	wrk.zoneLoad = resized(wrk.zoneLoad, len(wrk.zones))
	wrk.zoneSlots = resized(wrk.zoneSlots, len(wrk.zones))
	for pos := range wrk.ups {
		if wrk.ups[pos].eligible {
			wrk.zoneSlots[wrk.ups[pos].zone] += wrk.ups[pos].weight
		}
	}
	wrk.totalLoad = 0
	for pos := range wrk.rows {
		rwo := &wrk.rows[pos]
		rwo.load += extra
		wrk.totalLoad += rwo.load
		if rwo.owner != none {
			wrk.add(rwo.owner, rwo, 1)
		}
	}
}

func resized(buf []float64, cnt int) []float64 {
	buf = slices.Grow(buf[:0], cnt)[:cnt]
	clear(buf)
	return buf
}

// add counts a row for an upstream, or removes it with a sign of -1.
func (wrk *workspace) add(own int32, rwo *row, sign int) {
	ups := &wrk.ups[own]
	ups.load += float64(sign) * rwo.load
	wrk.zoneLoad[ups.zone] += float64(sign) * rwo.load
	if rwo.source.Key == "" {
		ups.count += sign
	}
}

// groupByOwner groups the rows by their owner at the start of the tick.
func (wrk *workspace) groupByOwner() {
	wrk.starts = slices.Grow(wrk.starts[:0], len(wrk.ups)+2)[:len(wrk.ups)+2]
	clear(wrk.starts)
	for pos := range wrk.rows {
		wrk.starts[wrk.rows[pos].owner+2]++
	}
	for pos := 1; pos < len(wrk.starts); pos++ {
		wrk.starts[pos] += wrk.starts[pos-1]
	}
	wrk.byOwner = slices.Grow(wrk.byOwner[:0], len(wrk.rows))[:len(wrk.rows)]
	for pos := range wrk.rows {
		own := wrk.rows[pos].owner + 1
		wrk.byOwner[wrk.starts[own]] = int32(pos)
		wrk.starts[own]++
	}
}

// rowsOf returns the rows that an upstream had at the start of the tick. groupByOwner has advanced each start
// to the end of its group, so that an owner's rows begin at starts[own].
func (wrk *workspace) rowsOf(own int32) []int32 {
	return wrk.byOwner[wrk.starts[own]:wrk.starts[own+1]]
}

// computeTargetScore computes the load per weight of a perfect balance. It leaves out rows that alone exceed
// the mean, since no assignment can bring an upstream below its hottest row.
func (wrk *workspace) computeTargetScore() {
	wrk.targetScore = 0
	if wrk.eligible == 0 {
		return
	}
	var big []float64
	mean := wrk.totalLoad / float64(wrk.eligible)
	for pos := range wrk.rows {
		if wrk.rows[pos].load > mean {
			big = append(big, wrk.rows[pos].load)
		}
	}
	slices.Sort(big)
	rest, cnt := wrk.totalLoad, wrk.eligible
	for pos := len(big) - 1; pos >= 0 && cnt > 1 && big[pos] > rest/float64(cnt); pos-- {
		rest -= big[pos]
		cnt--
	}
	wrk.targetScore = rest / (wrk.totalWeight * float64(cnt) / float64(wrk.eligible))
}

// meanLoad returns the target load of an upstream of mean weight.
func (wrk *workspace) meanLoad() float64 {
	return wrk.targetScore * wrk.totalWeight / float64(wrk.eligible)
}

// moveBudget returns how many further rows fill and balance may put in flight.
func (wrk *workspace) moveBudget() int {
	return max(len(wrk.svc.Partitions)/wrk.limits.InFlightDivisor, 1) - wrk.inFlight
}

// coolingDown reports whether a row was moved too recently to be moved again.
func (wrk *workspace) coolingDown(src *siskinrill.ShardRow) bool {
	if src.Key != "" {
		return wrk.now < wrk.mem.keyCooldowns[src.Key]
	}
	return wrk.now < wrk.mem.cooldowns[src.Partition]
}

func (wrk *workspace) startCooldown(src *siskinrill.ShardRow) {
	if src.Key != "" {
		wrk.mem.keyCooldowns[src.Key] = wrk.now + wrk.limits.MoveCooldown
		return
	}
	wrk.mem.cooldowns[src.Partition] = wrk.now + wrk.limits.MoveCooldown
}

// movable reports whether a row is owned, still planned for its owner and not in its cooldown.
func (wrk *workspace) movable(rwo *row, own int32) bool {
	return rwo.owner == own && rwo.source.Phase == controlpb.Phase_PHASE_OWNED && !wrk.coolingDown(rwo.source)
}

// place plans a row for an upstream and emits the assignment.
func (wrk *workspace) place(knd controlpb.AssignmentKind, rwo *row, tgt int32) {
	if rwo.owner != none {
		wrk.add(rwo.owner, rwo, -1)
	}
	rwo.owner = tgt
	wrk.add(tgt, rwo, 1)
	if knd == controlpb.AssignmentKind_ASSIGNMENT_KIND_MOVE {
		wrk.inFlight++
	}
	wrk.emit(knd, rwo.source, wrk.ups[tgt].session)
}

func (wrk *workspace) emit(knd controlpb.AssignmentKind, src *siskinrill.ShardRow, tgt uint64) {
	wrk.out = append(wrk.out, &controlpb.Assignment{
		Kind: knd, Target: tgt,
		Shard: &controlpb.ShardRef{Service: wrk.svc.Service.GetName(), Partition: src.Partition, Key: src.Key, Token: src.Token},
	})
}
