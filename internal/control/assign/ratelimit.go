package assign

import (
	"github.com/siskinrill/siskinrill"
)

const (
	// limitShare is the part of its rate limit for which an upstream is planned; the rest absorbs bursts.
	limitShare = 0.8
	// minPlannedRate, in requests a second, keeps the weight of an upstream above zero that accepts no requests.
	minPlannedRate = 0.1
)

// isBrieflyCold reports whether an upstream is limited because it is cold, for less time than a moved row rests at its new
// owner: its rows would return after the coldness, and each move interrupts their keys.
func (wrk *workspace) isBrieflyCold(src *siskinrill.UpstreamRow) bool {
	return src.Cold > 0 && src.Cold < wrk.limits.MoveCooldown
}

// applyRateLimits lowers the weight of each upstream that states a lower rate limit than its share of the load, so that
// its rows move to others instead of having their requests refused. If all are limited, their limits are their weights.
func (wrk *workspace) applyRateLimits() {
	capped := make([]bool, len(wrk.ups))
	rest, weight := wrk.totalLoad, wrk.totalWeight
	for pos := wrk.nextBeyondLimit(capped, rest, weight); pos != none; pos = wrk.nextBeyondLimit(capped, rest, weight) {
		capped[pos] = true
		rest -= wrk.plannedRate(pos)
		weight -= wrk.ups[pos].weight
	}
	loadPerWeight := 1.0
	if weight > 0 && rest > 0 {
		loadPerWeight = rest / weight
	}
	for pos := range wrk.ups {
		if capped[pos] {
			wrk.setWeight(int32(pos), wrk.plannedRate(int32(pos))/loadPerWeight)
		}
	}
}

// nextBeyondLimit returns an upstream whose share of the load is over its planned rate and that is not yet capped, none if
// there is none; rest and weight are the load and weight of those that are not capped.
func (wrk *workspace) nextBeyondLimit(capped []bool, rest, weight float64) int32 {
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		if !ups.eligible || capped[pos] || !wrk.svc.Upstreams[pos].RateLimited || weight <= 0 {
			continue
		}
		if rest/weight*ups.weight > wrk.plannedRate(int32(pos)) {
			return int32(pos)
		}
	}
	return none
}

// plannedRate returns the requests a second for which a limited upstream is planned. One that is cold for a short time
// keeps the rows that it has, and gets none beyond its limit.
func (wrk *workspace) plannedRate(pos int32) float64 {
	src := &wrk.svc.Upstreams[pos]
	rate := max(limitShare*src.RateLimit, minPlannedRate)
	if wrk.isBrieflyCold(src) {
		return max(rate, wrk.ups[pos].load)
	}
	return rate
}

// setWeight changes the weight of an upstream, and its capacity in proportion. It counts as busy while it has more load
// than its limit, although its slots are free then.
func (wrk *workspace) setWeight(pos int32, weight float64) {
	ups := &wrk.ups[pos]
	capacity := ups.capacity * weight / ups.weight
	wrk.totalWeight += weight - ups.weight
	wrk.totalCapacity += capacity - ups.capacity
	ups.weight, ups.capacity = weight, capacity
	if src := &wrk.svc.Upstreams[pos]; ups.load > src.RateLimit && !wrk.isBrieflyCold(src) {
		ups.busy = 1
	}
}
