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
	// loadAge is the time constant with which what an owner told of its load loses weight.
	loadAge = time.Second
	// farPenalty is how much fuller, as a share of its limit, an upstream of this agent's zone may be before one of another zone is preferred; a crossing costs bytes and time.
	farPenalty = 0.35
	// evenScores is the difference of scores under which upstreams count as equally full; a random one is taken, so that entries that know the same do not all pick the same.
	evenScores = 0.03
	// runWeight divides the influence of an answer on the typical run time of a service.
	runWeight = 100
)

// seenLoad is what an owner told of its load with its newest answer.
type seenLoad struct {
	load *peerpb.OwnerLoad
	own  int // requests of this entry that were outstanding there
	at   time.Time
}

// loads keep the newest load of each owner by session.
type loads struct {
	mu   sync.Mutex
	seen map[uint64]seenLoad
	runs map[string]time.Duration // by service
}

func (lds *loads) note(ses uint64, lod *peerpb.OwnerLoad, own int) {
	if lod == nil {
		return
	}
	lds.mu.Lock()
	defer lds.mu.Unlock()
	lds.seen[ses] = seenLoad{load: lod, own: own, at: time.Now()}
}

func (lds *loads) get(ses uint64) seenLoad {
	lds.mu.Lock()
	defer lds.mu.Unlock()
	return lds.seen[ses]
}

// typical returns the least time that an owner of a service told for a run: a request with less left cannot be served any more.
func (lds *loads) typical(svc string) time.Duration {
	lds.mu.Lock()
	defer lds.mu.Unlock()
	return lds.runs[svc]
}

// noteRun keeps the run time of the quickest owner of a service; that of another pulls it up slowly.
func (lds *loads) noteRun(svc string, lod *peerpb.OwnerLoad) {
	lat := time.Duration(lod.GetLatencyMs()) * time.Millisecond
	if lat == 0 {
		return
	}
	lds.mu.Lock()
	defer lds.mu.Unlock()
	old, known := lds.runs[svc]
	if !known || lat < old {
		lds.runs[svc] = lat
		return
	}
	lds.runs[svc] += (lat - old) / runWeight
}

// candidate is an upstream that may serve a request of a service without keys.
type candidate struct {
	session uint64
	near    bool // in this agent's zone
	slots   int
	own     int // requests of this entry that are outstanding there
	seen    seenLoad
}

// score estimates which share of what the upstream can run at once is taken, this request included.
func (cnd *candidate) score(now time.Time) float64 {
	limit := float64(max(cnd.slots, 1))
	taken := float64(cnd.own)
	if lod := cnd.seen.load; lod != nil {
		if lod.GetLimit() > 0 {
			limit = float64(lod.GetLimit())
		}
		others := float64(lod.GetRunning()+lod.GetQueued()) - float64(cnd.seen.own)
		weight := max(0, 1-float64(now.Sub(cnd.seen.at))/float64(2*loadAge))
		taken += max(others, 0) * weight
	}
	scr := (taken + 1) / limit
	if !cnd.near {
		scr += farPenalty
	}
	return scr
}

// pick returns the position of the least full candidate, -1 if there is none; draw returns a random number below its argument.
func pick(cnds []candidate, now time.Time, draw func(num int) int) int {
	if len(cnds) == 0 {
		return -1
	}
	scores := make([]float64, len(cnds))
	for pos := range cnds {
		scores[pos] = cnds[pos].score(now)
	}
	least := slices.Min(scores)
	var even []int
	for pos, scr := range scores {
		if scr <= least+evenScores {
			even = append(even, pos)
		}
	}
	return even[draw(len(even))]
}

// candidates returns the upstreams of a service without keys that have not refused this call.
func (cal *call) candidates() []candidate {
	ses := cal.han.session
	zone := ses.Node(ses.Session()).GetZone()
	var out []candidate
	for _, nod := range ses.Upstreams(cal.service.GetName()) {
		num := nod.GetSession()
		if slices.Contains(cal.avoid, num) {
			continue
		}
		out = append(out, candidate{
			session: num, near: nod.GetZone() == zone, slots: int(nod.GetUpstream().GetSlots()),
			own: cal.han.outstanding.count(num), seen: cal.han.loads.get(num),
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

// shares is the state of a smooth weighted choice among the targets of a route.
type shares struct {
	targets []*controlpb.WeightedTarget
	current []int64
}

// weights choose the services of routes that have several.
type weights struct {
	mu     sync.Mutex
	routes map[string]*shares
}

func newWeights() *weights { return &weights{routes: map[string]*shares{}} }

// choose returns the service of a request; over any run of requests each target gets its share to within one request.
func (wgt *weights) choose(rte *controlpb.Route) string {
	tgts := rte.GetTargets()
	if len(tgts) == 0 {
		return rte.GetService()
	}
	wgt.mu.Lock()
	defer wgt.mu.Unlock()
	shr := wgt.routes[rte.GetName()]
	if shr == nil || !slices.EqualFunc(shr.targets, tgts, sameTarget) {
		shr = startShares(tgts)
		wgt.routes[rte.GetName()] = shr
	}
	best, total := 0, int64(0)
	for pos, tgt := range tgts {
		shr.current[pos] += int64(tgt.GetWeight())
		total += int64(tgt.GetWeight())
		if shr.current[pos] > shr.current[best] {
			best = pos
		}
	}
	shr.current[best] -= total
	return tgts[best].GetService()
}

// startShares begins at a random point of the sequence, so that many entries with few requests each do not all begin with the same target.
func startShares(tgts []*controlpb.WeightedTarget) *shares {
	shr := &shares{targets: tgts, current: make([]int64, len(tgts))}
	total := int64(0)
	for _, tgt := range tgts {
		total += int64(tgt.GetWeight())
	}
	for pos := range shr.current {
		shr.current[pos] = rand.Int64N(max(total, 1))
	}
	return shr
}

func sameTarget(one, two *controlpb.WeightedTarget) bool {
	return one.GetService() == two.GetService() && one.GetWeight() == two.GetWeight()
}
