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
	// loadDecay sets how fast a load report loses weight: linearly, to zero after twice this time.
	loadDecay = time.Second
	// otherZonePenalty is added to the score of an upstream in another zone: one in this agent's zone is
	// preferred until it is fuller by this share of its limit, because crossing zones costs bytes and time.
	otherZonePenalty = 0.35
	// scoreTolerance is the difference of scores below which upstreams count as equally full; one of them is
	// picked at random, so that entries with the same information do not all pick the same upstream.
	scoreTolerance = 0.03
	// runTimeWeight limits the influence of a slow answer: it raises the minimum run time by 1/runTimeWeight of the difference.
	runTimeWeight = 100
)

// loadReport is the load that an owner reported with its latest answer.
type loadReport struct {
	load           *peerpb.OwnerLoad
	ownOutstanding int // requests of this entry outstanding there at that time
	at             time.Time
}

// loads holds the latest load report of each owner by session.
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

// minRunTime returns the shortest run time that owners of a service reported; a request with less time
// remaining cannot be served any more.
func (lds *loads) minRunTime(svc string) time.Duration {
	lds.mu.Lock()
	defer lds.mu.Unlock()
	return lds.runTimes[svc]
}

// recordRunTime records the run time of the fastest owner of a service; slower answers raise it slowly.
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

// candidate is an upstream that can serve a request of a service without keys.
type candidate struct {
	session        uint64
	zone           string
	sameZone       bool // as this agent
	slots          int
	ownOutstanding int // requests of this entry outstanding there
	report         loadReport
}

// score estimates the used share of the upstream's capacity, including this request.
func (cnd *candidate) score(now time.Time) float64 {
	used := float64(cnd.ownOutstanding)
	if lod := cnd.report.load; lod != nil {
		others := float64(lod.GetRunning()+lod.GetQueued()) - float64(cnd.report.ownOutstanding)
		weight := max(0, 1-float64(now.Sub(cnd.report.at))/float64(2*loadDecay))
		used += max(others, 0) * weight
	}
	scr := (used + 1) / cnd.limit()
	if wait := cnd.startWait(now); wait > 0 {
		// Each run time of delay counts like a full server.
		run := time.Duration(max(cnd.report.load.GetLatencyMs(), 1)) * time.Millisecond
		scr += float64(wait) / float64(run)
	}
	if !cnd.sameZone {
		scr += otherZonePenalty
	}
	return scr
}

// limit returns the number of requests that the upstream can run at the same time.
func (cnd *candidate) limit() float64 {
	if lim := cnd.report.load.GetLimit(); lim > 0 {
		return float64(lim)
	}
	return float64(max(cnd.slots, 1))
}

// startWait returns for how long the rate limit of the server still delays further requests.
func (cnd *candidate) startWait(now time.Time) time.Duration {
	wait := time.Duration(cnd.report.load.GetStartWaitMs()) * time.Millisecond
	if wait == 0 {
		return 0
	}
	return max(0, wait-now.Sub(cnd.report.at))
}

// pick returns the index of the least loaded candidate, -1 if there is none; randN returns a random number
// below its argument.
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

// candidates returns the upstreams of a service without keys that have not refused this call, are not leaving for good and
// are neither in a drained zone nor in a region that the route does not allow.
func (cal *call) candidates() []candidate {
	ses := cal.han.session
	zone := ses.Node(ses.Session()).GetZone()
	all := ses.Upstreams(cal.service.GetName())
	out := make([]candidate, 0, len(all))
	for _, nod := range all {
		num := nod.GetSession()
		if slices.Contains(cal.refusedSessions, num) || cal.outOfService(nod) || !cal.mayRunAt(nod) {
			continue
		}
		out = append(out, candidate{
			session: num, zone: nod.GetZone(), sameZone: nod.GetZone() == zone, slots: int(nod.GetUpstream().GetSlots()),
			ownOutstanding: cal.han.outstanding.count(num), report: cal.han.loads.get(num),
		})
	}
	return out
}

// pickUpstream returns a row with the chosen upstream as its owner, for a service without keys; nil if there is none.
func (cal *call) pickUpstream() *controlpb.Shard {
	cnds := cal.candidates()
	pos := -1
	if cal.han.opt.ZoneSpillover {
		pos, cal.leaveReason = cal.spillover().choose(cal.spillRequest(), cnds, time.Now(), rand.Float64)
	} else {
		pos = pick(cnds, time.Now(), rand.IntN)
	}
	if pos < 0 {
		return nil
	}
	cnd := cnds[pos]
	cal.hasAlternatives = cal.mayTryAfter(cnd, slices.Delete(cnds, pos, pos+1))
	return &controlpb.Shard{Service: cal.service.GetName(), Owner: cnd.session, Phase: controlpb.Phase_PHASE_OWNED}
}
