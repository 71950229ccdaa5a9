package caller

import (
	"sync"
	"time"
)

const (
	// A zone begins to send requests away above a use between minLeaveFrom and maxLeaveFrom, drawn once by each entry, so
	// that entries with the same estimates do not begin at the same moment.
	minLeaveFrom = 0.94
	maxLeaveFrom = 0.98
	// It ends below stayBelow. The share that leaves grows from 0 at this use to all at leaveAll: in balance the share is
	// the excess, and the use stays near 1.
	stayBelow = 0.92
	leaveAll  = 1.3
	// useMargin is how much less another zone must be used than this one to receive requests: below it, two equally full
	// zones would exchange requests because their estimates differ.
	useMargin = 0.15
	// Long requests and answers stay longer, because their bytes cost more than the wait of others: the thresholds rise by
	// one point for each bytesPerPoint, up to maxBytesShift.
	bytesPerPoint = 8 << 10
	maxBytesShift = 0.15
	// downloadBytes is the assumed length of the answer to a download of a route without observed answers.
	downloadBytes = 96 << 10
	// usualExcess, or usualExcessShare of the run time if that is longer, is the delay below which a link counts as good.
	usualExcess      = 30.0
	usualExcessShare = 0.25
	// failurePenalty: a link on which this part of attempts fails is not used while there is another way.
	failurePenalty = 3
	// minQuality is the quality of a link below which it is not used while there is another way.
	minQuality = 0.1
	// targetMargin is the part of the remaining target within which another zone must be able to answer.
	targetMargin = 0.8
)

// leaveReason is why a request is sent to another zone; the value is the name of its counter.
type leaveReason string

const (
	staysInZone     leaveReason = ""
	leaveNoUpstream leaveReason = "left_zone_no_upstream" // no upstream of the zone is left for the request
	leaveFull       leaveReason = "left_zone_full"        // the zone has too little room
	leaveRefused    leaveReason = "left_zone_refused"     // an owner of the zone refused the request for load
	leaveTarget     leaveReason = "left_zone_target"      // the zone cannot answer within the target latency
)

// refusedInZone counts refusals for load by owners of the entry's zone.
const refusedInZone = "refused_in_zone"

// spillRequest is what the choice depends on beside the upstreams.
type spillRequest struct {
	home     string // zone of this entry
	route    string
	target   time.Duration // remaining time until the target latency, 0 if there is none or it has passed
	deadline time.Duration // remaining time until the deadline
	bytes    int64         // of the request
	answer   int64         // bytes of the answer, assumed until answers of the route have been observed
	refused  bool          // an owner of the home zone has refused the request for load
}

// spillover chooses upstreams of one service without keys. Its decisions depend only on its arguments and on the observed
// attempts; it is safe for concurrent use.
type spillover struct {
	mu        sync.Mutex
	zones     []zoneEstimates
	routes    map[string]routeEstimates
	homeHeard bool // an answer of the entry's zone has been observed
	leaveFrom float64
	leaving   bool // the use has exceeded leaveFrom and not fallen below stayBelow since
}

// newSpillover returns a chooser without estimates; random is a number from 0 to below 1.
func newSpillover(random float64) *spillover {
	return &spillover{routes: map[string]routeEstimates{}, leaveFrom: minLeaveFrom + random*(maxLeaveFrom-minLeaveFrom)}
}

// choose returns the index of the upstream for a request, -1 if there is no candidate, and why the request leaves the
// zone; random returns numbers from 0 to below 1.
func (spl *spillover) choose(req spillRequest, cnds []candidate, now time.Time, random func() float64) (int, leaveReason) {
	if len(cnds) == 0 {
		return -1, staysInZone
	}
	spl.mu.Lock()
	defer spl.mu.Unlock()
	spl.addUp(cnds, now)
	home := spl.zone(req.home, now)
	why := spl.whyLeave(req, home, random)
	zon := home
	if why != staysInZone {
		zon = spl.pickZone(home, random)
	}
	fst := pickByRate(cnds, zon, -1, now, random)
	snd := pickByRate(cnds, zon, fst, now, random)
	if snd >= 0 && cnds[snd].score(now) < cnds[fst].score(now) {
		return snd, why
	}
	return fst, why
}

// mayRetry reports whether another attempt is useful for a request that has been refused for load: its zone has a candidate
// that has not refused it, or another zone is expected to have room.
func (spl *spillover) mayRetry(req spillRequest, cnds []candidate, now time.Time) bool {
	spl.mu.Lock()
	defer spl.mu.Unlock()
	spl.addUp(cnds, now)
	home := spl.zone(req.home, now)
	return !req.refused || home.limit > 0 || spl.weigh(req, home, 1, req.deadline) > 0
}

// addUp decays the estimates of all zones and adds up their candidates.
func (spl *spillover) addUp(cnds []candidate, now time.Time) {
	for pos := range spl.zones {
		zon := &spl.zones[pos]
		zon.decayTo(now)
		zon.limit, zon.rate, zon.weight = 0, 0, 0
	}
	for pos := range cnds {
		cnd := &cnds[pos]
		zon := spl.zone(cnd.zone, now)
		zon.limit += cnd.limit()
		zon.rate += cnd.rate(zon, now)
	}
}

// whyLeave decides whether a request leaves the zone, and sets the weights of the other zones if it does.
func (spl *spillover) whyLeave(req spillRequest, home *zoneEstimates, random func() float64) leaveReason {
	spl.updateLeaving(home)
	switch {
	case home.limit == 0:
		if spl.weigh(req, home, 1, req.deadline) == 0 {
			spl.weighAny(home)
		}
		if req.refused {
			return leaveRefused
		}
		return leaveNoUpstream
	case req.refused && spl.weigh(req, home, 1, req.deadline) > 0:
		return leaveRefused
	case spl.missesTarget(req, home) && spl.weigh(req, home, 1, time.Duration(targetMargin*float64(req.target))) > 0:
		return leaveTarget
	case random() < spl.share(req, home):
		return leaveFull
	}
	return staysInZone
}

func (spl *spillover) updateLeaving(home *zoneEstimates) {
	use := home.use()
	spl.leaving = use > spl.leaveFrom || spl.leaving && use >= stayBelow
}

// share returns the share of such requests that leave because the zone has too little room. It is limited by the room of
// the other zones, so that they are not filled for requests that must wait anyway.
func (spl *spillover) share(req spillRequest, home *zoneEstimates) float64 {
	bytes := req.bytes + spl.routes[req.route].answerBytes(req.answer)
	use := home.use() - min(float64(bytes)/bytesPerPoint/100, maxBytesShift)
	if !spl.leaving || use <= stayBelow {
		return 0
	}
	room := spl.weigh(req, home, home.use()-useMargin, req.deadline)
	return min(1, (use-stayBelow)/(leaveAll-stayBelow), room/(home.use()*home.limit))
}

// weigh sets the weights of the other zones to their free slots up to the given use, times the quality of the link, and
// returns the sum. Zones that are not expected to answer within limit have no weight.
func (spl *spillover) weigh(req spillRequest, home *zoneEstimates, upTo float64, limit time.Duration) float64 {
	sum := 0.0
	for pos := range spl.zones {
		zon := &spl.zones[pos]
		zon.weight = 0
		if zon == home || zon.limit == 0 || spl.expected(req.route, zon, home) > limit {
			continue
		}
		if qua := spl.quality(zon, home); qua >= minQuality {
			zon.weight = qua * zon.limit * max(0, min(1, upTo)-zon.use())
		}
		sum += zon.weight
	}
	return sum
}

// weighAny sets the weights for a request that can only leave: by slots and links, whether or not there is room.
func (spl *spillover) weighAny(home *zoneEstimates) {
	for pos := range spl.zones {
		zon := &spl.zones[pos]
		zon.weight = 0
		if zon != home {
			zon.weight = zon.limit * max(spl.quality(zon, home), minQuality/100)
		}
	}
}

// quality returns the quality of the link to a zone, from 1 to 0 for one that is lossy or slow.
func (spl *spillover) quality(zon, home *zoneEstimates) float64 {
	qua := max(0, 1-failurePenalty*zon.failed.get(0, noFailureWeight))
	usual := max(usualExcess, usualExcessShare*zon.runTime())
	if exc := spl.delay(zon, home); exc > usual {
		qua *= usual / exc * usual / exc
	}
	return qua
}

// delay returns by how much answers from a zone take longer than those of the fastest link, beyond their run times.
func (spl *spillover) delay(zon, home *zoneEstimates) float64 {
	exc := zon.excess.get(0, noExcessWeight)
	if home.limit > 0 {
		return max(0, exc-home.excess.get(0, noExcessWeight))
	}
	least := exc
	for pos := range spl.zones {
		if spl.zones[pos].limit > 0 {
			least = min(least, spl.zones[pos].excess.get(0, noExcessWeight))
		}
	}
	return exc - least
}

// expected returns the expected time of an answer from a zone, 0 if not known.
func (spl *spillover) expected(route string, zon, home *zoneEstimates) time.Duration {
	run := zon.runTime()
	if run == 0 {
		run = home.runTime()
	}
	tim := spl.routes[route].factor*run + zon.waitTime()
	if zon != home {
		tim += spl.delay(zon, home)
	}
	return time.Duration(tim * float64(time.Millisecond))
}

// missesTarget reports whether the zone has too little room for an answer within the remaining target latency. A target
// that is too short for the run itself cannot be met elsewhere either.
func (spl *spillover) missesTarget(req spillRequest, home *zoneEstimates) bool {
	return req.target > 0 && home.waitTime() > 0 && spl.expected(req.route, home, home) > req.target
}

// pickZone returns another zone at random, by weight.
func (spl *spillover) pickZone(home *zoneEstimates, random func() float64) *zoneEstimates {
	sum := 0.0
	for pos := range spl.zones {
		sum += spl.zones[pos].weight
	}
	at := random() * sum
	last := home
	for pos := range spl.zones {
		zon := &spl.zones[pos]
		if zon.weight == 0 {
			continue
		}
		last = zon
		if at -= zon.weight; at < 0 {
			break
		}
	}
	return last
}

// pickByRate returns the index of a candidate of a zone at random, by the rate at which it can serve requests; skip is not
// returned. It returns -1 if there is no other.
func pickByRate(cnds []candidate, zon *zoneEstimates, skip int, now time.Time, random func() float64) int {
	sum := zon.rate
	if skip >= 0 {
		sum -= cnds[skip].rate(zon, now)
	}
	at := random() * sum
	last := -1
	for pos := range cnds {
		cnd := &cnds[pos]
		if pos == skip || cnd.zone != zon.name {
			continue
		}
		last = pos
		if at -= cnd.rate(zon, now); at < 0 {
			break
		}
	}
	return last
}

// rate returns the number of requests that the upstream can serve per millisecond, by the mean run time of its zone if it
// has not reported its own. The wait for a rate limit counts as part of the run, so that a cold upstream gets few requests.
func (cnd *candidate) rate(zon *zoneEstimates, now time.Time) float64 {
	run := float64(cnd.report.load.GetLatencyMs())
	if run == 0 {
		run = max(zon.runTime(), 1)
	}
	run += float64(cnd.startWait(now)) / float64(time.Millisecond)
	return cnd.limit() / run
}

// spillovers holds the chooser of each service.
type spillovers struct {
	mu     sync.Mutex
	byName map[string]*spillover
}

// get returns the chooser of a service; random is used for a new one.
func (spv *spillovers) get(svc string, random func() float64) *spillover {
	spv.mu.Lock()
	defer spv.mu.Unlock()
	spl := spv.byName[svc]
	if spl == nil {
		spl = newSpillover(random())
		spv.byName[svc] = spl
	}
	return spl
}
