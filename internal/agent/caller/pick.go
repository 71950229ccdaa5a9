package caller

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// loadDecay is the time constant with which what an owner told of its load loses weight.
	loadDecay = time.Second
	// otherZonePenalty is how much fuller, as a share of its limit, an upstream of this agent's zone may be before one of another zone is preferred; a crossing costs bytes and time.
	otherZonePenalty = 0.35
	// scoreTolerance is the difference of scores under which upstreams count as equally full; a random one is taken, so that entries that know the same do not all pick the same.
	scoreTolerance = 0.03
	// runTimeWeight divides the influence of an answer on the typical run time of a service.
	runTimeWeight = 100
)

// loadReport is what an owner told of its load with its newest answer.
type loadReport struct {
	load           *peerpb.OwnerLoad
	ownOutstanding int // requests of this entry that were outstanding there
	at             time.Time
}

// loads keep the newest load of each owner by session.
type loads struct {
	mu       sync.Mutex
	reports  map[uint64]loadReport
	runTimes map[string]time.Duration // by service
}

func (lds *loads) record(ses uint64, lod *peerpb.OwnerLoad, ownOutstanding int) {
	if lod == nil {
		return
	}
	lds.mu.Lock()
	defer lds.mu.Unlock()
	lds.reports[ses] = loadReport{load: lod, ownOutstanding: ownOutstanding, at: time.Now()}
}

func (lds *loads) get(ses uint64) loadReport {
	lds.mu.Lock()
	defer lds.mu.Unlock()
	return lds.reports[ses]
}

// minRunTime returns the least time that an owner of a service told for a run: a request with less left cannot be served any more.
func (lds *loads) minRunTime(svc string) time.Duration {
	lds.mu.Lock()
	defer lds.mu.Unlock()
	return lds.runTimes[svc]
}

// recordRunTime keeps the run time of the quickest owner of a service; that of another pulls it up slowly.
func (lds *loads) recordRunTime(svc string, lod *peerpb.OwnerLoad) {
	lat := time.Duration(lod.GetLatencyMs()) * time.Millisecond
	if lat == 0 {
		return
	}
	lds.mu.Lock()
	defer lds.mu.Unlock()
	old, known := lds.runTimes[svc]
	if !known || lat < old {
		lds.runTimes[svc] = lat
		return
	}
	lds.runTimes[svc] += (lat - old) / runTimeWeight
}

// candidate is an upstream that may serve a request of a service without keys.
type candidate struct {
	session        uint64
	sameZone       bool // in this agent's zone
	slots          int
	ownOutstanding int // requests of this entry that are outstanding there
	report         loadReport
}

// score estimates which share of what the upstream can run at once is taken, this request included.
func (cnd *candidate) score(now time.Time) float64 {
	limit := float64(max(cnd.slots, 1))
	used := float64(cnd.ownOutstanding)
	if lod := cnd.report.load; lod != nil {
		if lod.GetLimit() > 0 {
			limit = float64(lod.GetLimit())
		}
		others := float64(lod.GetRunning()+lod.GetQueued()) - float64(cnd.report.ownOutstanding)
		weight := max(0, 1-float64(now.Sub(cnd.report.at))/float64(2*loadDecay))
		used += max(others, 0) * weight
	}
	scr := (used + 1) / limit
	if !cnd.sameZone {
		scr += otherZonePenalty
	}
	return scr
}

// pick returns the position of the least full candidate, -1 if there is none; draw returns a random number below its argument.
func pick(cnds []candidate, now time.Time, randN func(num int) int) int {
	if len(cnds) == 0 {
		return -1
	}
	scores := make([]float64, len(cnds))
	for pos := range cnds {
		scores[pos] = cnds[pos].score(now)
	}
	lowest := slices.Min(scores)
	var tied []int
	for pos, scr := range scores {
		if scr <= lowest+scoreTolerance {
			tied = append(tied, pos)
		}
	}
	return tied[randN(len(tied))]
}

// candidates returns the upstreams of a service without keys that have not refused this call.
func (cal *call) candidates() []candidate {
	ses := cal.han.session
	zone := ses.Node(ses.Session()).GetZone()
	var out []candidate
	for _, nod := range ses.Upstreams(cal.service.GetName()) {
		num := nod.GetSession()
		if slices.Contains(cal.refusedSessions, num) {
			continue
		}
		out = append(out, candidate{
			session: num, sameZone: nod.GetZone() == zone, slots: int(nod.GetUpstream().GetSlots()),
			ownOutstanding: cal.han.outstanding.count(num), report: cal.han.loads.get(num),
		})
	}
	return out
}

// pickUpstream returns a row that names the upstream for a request of a service without keys, nil if there is none.
func (cal *call) pickUpstream() *controlpb.Shard {
	cnds := cal.candidates()
	pos := pick(cnds, time.Now(), rand.IntN)
	if pos < 0 {
		return nil
	}
	return &controlpb.Shard{Service: cal.service.GetName(), Owner: cnds[pos].session, Phase: controlpb.Phase_PHASE_OWNED}
}

// roundRobin is the state of a smooth weighted choice among the targets of a route.
type roundRobin struct {
	targets []*controlpb.WeightedTarget
	current []int64
}

// weights choose the services of routes that have several.
type weights struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

func newWeights() *weights { return &weights{routes: map[string]*roundRobin{}} }

// choose returns the service of a request; over any run of requests each target gets its share to within one request.
func (wgt *weights) choose(rte *controlpb.Route) string {
	tgts := rte.GetTargets()
	if len(tgts) == 0 {
		return rte.GetService()
	}
	wgt.mu.Lock()
	defer wgt.mu.Unlock()
	rrb := wgt.routes[rte.GetName()]
	if rrb == nil || !slices.EqualFunc(rrb.targets, tgts, sameTarget) {
		rrb = newRoundRobin(tgts)
		wgt.routes[rte.GetName()] = rrb
	}
	best, total := 0, int64(0)
	for pos, tgt := range tgts {
		rrb.current[pos] += int64(tgt.GetWeight())
		total += int64(tgt.GetWeight())
		if rrb.current[pos] > rrb.current[best] {
			best = pos
		}
	}
	rrb.current[best] -= total
	return tgts[best].GetService()
}

// newRoundRobin begins at a random point of the sequence, so that many entries with few requests each do not all begin with the same target.
func newRoundRobin(tgts []*controlpb.WeightedTarget) *roundRobin {
	rrb := &roundRobin{targets: tgts, current: make([]int64, len(tgts))}
	total := int64(0)
	for _, tgt := range tgts {
		total += int64(tgt.GetWeight())
	}
	for pos := range rrb.current {
		rrb.current[pos] = rand.Int64N(max(total, 1))
	}
	return rrb
}

func sameTarget(one, two *controlpb.WeightedTarget) bool {
	return one.GetService() == two.GetService() && one.GetWeight() == two.GetWeight()
}
