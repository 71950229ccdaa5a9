package caller

import (
	"math"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// useMemory is the time constant of the use of a zone. An entry hears an owner about once in a few seconds, but the
	// upstreams of a zone together several times a second, so that this covers about ten reports.
	useMemory = 2 * time.Second
	// linkMemory is the time constant of run times, failures and delays. A zone that was avoided for its link is tried
	// again after a few times this.
	linkMemory = 8 * time.Second
	// assumedUse and assumedUseWeight stand for what is not known about the use of a zone: it is assumed to be half used,
	// with the weight of one report, so that a single report of one busy upstream does not count as that of a zone.
	assumedUse       = 0.5
	assumedUseWeight = 1
	// maxUse is the use that a refusal for load counts as, since an owner refuses what it cannot finish in time, which can be
	// far below a full queue, and the most that a report counts as. Otherwise a zone seems full for a single upstream with a
	// long queue or a low rate limit.
	maxUse = leaveAll
	// noFailureWeight is the number of successful attempts that are assumed for each zone, so that the failure of a single
	// host does not count as that of the link to its zone.
	noFailureWeight = 3
	// noExcessWeight does the same for the time that answers take beyond the run time.
	noExcessWeight = 1
	// answerWeight is the weight of one answer in the usual time and length of answers of a route.
	answerWeight = 1.0 / 16
)

// decayingMean is the mean of samples whose weight decreases exponentially with their age.
type decayingMean struct {
	sum    float64
	weight float64
}

func (mea *decayingMean) add(val float64) {
	mea.sum += val
	mea.weight++
}

func (mea *decayingMean) decay(fac float64) {
	mea.sum *= fac
	mea.weight *= fac
}

// get returns the mean together with an assumed value of the given weight, to which it returns without new samples.
func (mea *decayingMean) get(assumed, weight float64) float64 {
	if mea.weight+weight <= 0 {
		return assumed
	}
	return (mea.sum + assumed*weight) / (mea.weight + weight)
}

// zoneEstimates is what an entry has heard about the upstreams of one service in one zone. Times are in milliseconds.
type zoneEstimates struct {
	name    string
	at      time.Time    // up to which the means have decayed
	used    decayingMean // running and queued requests per slot
	wait    decayingMean // time in the queue
	latency decayingMean // reported run time
	excess  decayingMean // time of an answer beyond that expected from the run time and the queue; may be negative
	failed  decayingMean // 1 for an attempt that failed on the way, 0 for one that reached an owner

	// Sums over the candidates of the current choice.
	limit  float64 // slots
	rate   float64 // requests per millisecond
	weight float64 // for the choice between the zones
}

func (zon *zoneEstimates) decayTo(now time.Time) {
	age := now.Sub(zon.at)
	if age <= 0 {
		return
	}
	zon.at = now
	use := math.Exp(-float64(age) / float64(useMemory))
	zon.used.decay(use)
	zon.wait.decay(use)
	link := math.Exp(-float64(age) / float64(linkMemory))
	zon.latency.decay(link)
	zon.excess.decay(link)
	zon.failed.decay(link)
}

// use returns the estimated share of the zone's slots that are in use; above 1 requests wait.
func (zon *zoneEstimates) use() float64 { return zon.used.get(assumedUse, assumedUseWeight) }

// runTime returns the mean run time that owners of the zone report, 0 if not known.
func (zon *zoneEstimates) runTime() float64 { return zon.latency.get(0, 0) }

// waitTime returns the estimated time in a queue of the zone, 0 if not known.
func (zon *zoneEstimates) waitTime() float64 { return zon.wait.get(0, assumedUseWeight) }

// observation is the outcome of one attempt.
type observation struct {
	zone     string // of the upstream
	home     string // zone of this entry
	route    string
	took     time.Duration
	bytes    int64             // of the answer, negative if not known
	load     *peerpb.OwnerLoad // nil if none was reported
	answered bool              // by the backend server
	refused  bool              // by the owner, for load
	lost     bool              // on the way to the owner or back
}

// routeEstimates is what an entry has observed of the answers to one route.
type routeEstimates struct {
	factor float64 // usual time of an answer without the wait, in reported mean run times; 0 if not known
	bytes  float64 // usual length of an answer
	sized  bool    // bytes is known
}

// answerBytes returns the expected length of an answer: as observed, or def.
func (rtn routeEstimates) answerBytes(def int64) int64 {
	if rtn.sized {
		return int64(rtn.bytes)
	}
	return def
}

func (rtn *routeEstimates) observeBytes(num int64) {
	switch {
	case num < 0:
	case rtn.sized:
		rtn.bytes += answerWeight * (float64(num) - rtn.bytes)
	default:
		rtn.bytes, rtn.sized = float64(num), true
	}
}

// usedSlots returns the used share of an owner's slots; a wait for its rate limit counts like a queue.
func usedSlots(lod *peerpb.OwnerLoad) float64 {
	wait := float64(lod.GetStartWaitMs()) / float64(max(lod.GetLatencyMs(), 1))
	return float64(lod.GetRunning()+lod.GetQueued())/float64(max(lod.GetLimit(), 1)) + wait
}

// observe includes the outcome of an attempt in the estimates of its zone.
func (spl *spillover) observe(obs observation, now time.Time) {
	spl.mu.Lock()
	defer spl.mu.Unlock()
	zon := spl.zone(obs.zone, now)
	zon.decayTo(now)
	if obs.lost {
		zon.failed.add(1)
		return
	}
	if obs.load != nil || obs.answered {
		zon.failed.add(0)
	}
	used, lat := usedSlots(obs.load), float64(obs.load.GetLatencyMs())
	switch {
	case obs.refused:
		zon.used.add(maxUse)
	case obs.load != nil:
		zon.used.add(min(used, maxUse))
	}
	rtn := spl.routes[obs.route]
	if lat > 0 {
		wait := max(0, used-1) * lat
		zon.wait.add(wait)
		zon.latency.add(lat)
		if obs.answered {
			spl.observeTime(zon, obs, &rtn, lat, float64(obs.took)/float64(time.Millisecond)-wait)
		}
	}
	if obs.answered {
		rtn.observeBytes(obs.bytes)
		spl.routes[obs.route] = rtn
	}
}

// observeTime records how long an answer took without the wait: in the entry's zone as the usual time of its route, elsewhere
// as the excess over it. The run times of the routes of a service differ, and owners report the mean of all, so that the
// usual time is kept as a factor of that mean.
func (spl *spillover) observeTime(zon *zoneEstimates, obs observation, rtn *routeEstimates, lat, took float64) {
	home := obs.zone == obs.home
	switch {
	case rtn.factor == 0:
		rtn.factor = max(took, 1) / lat
	case home || !spl.homeHeard:
		rtn.factor += answerWeight * (max(took, 1)/lat - rtn.factor)
	}
	zon.excess.add(took - rtn.factor*lat)
	spl.homeHeard = spl.homeHeard || home
}

// zone returns the estimates of a zone, which are valid until the next call.
func (spl *spillover) zone(name string, now time.Time) *zoneEstimates {
	for pos := range spl.zones {
		if spl.zones[pos].name == name {
			return &spl.zones[pos]
		}
	}
	spl.zones = append(spl.zones, zoneEstimates{name: name, at: now})
	return &spl.zones[len(spl.zones)-1]
}
