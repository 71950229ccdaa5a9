package caller

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxStartSteps limits the steps from which a round robin starts, and so the work for each change of weights. With a longer period the
// shares of first requests differ from the weights by at most 1/maxStartSteps.
const maxStartSteps = 4096

// roundRobin is the state of smooth weighted round robin among the targets of a route. A target of weight 0 is never chosen.
type roundRobin struct {
	targets []*controlpb.WeightedTarget
	total   int64 // sum of the weights
	current []int64
}

// newRoundRobin starts at a random step of the period, so that the first requests of many entries and routes are shared by weight too.
func newRoundRobin(tgts []*controlpb.WeightedTarget, randN func(num int64) int64) *roundRobin {
	rrb := &roundRobin{targets: tgts, current: make([]int64, len(tgts))}
	divisor := int64(0)
	for _, tgt := range tgts {
		rrb.total += int64(tgt.GetWeight())
		divisor = greatestDivisor(divisor, int64(tgt.GetWeight()))
	}
	if rrb.total == 0 {
		return rrb
	}
	for range randN(min(rrb.total/divisor, maxStartSteps)) {
		rrb.next()
	}
	return rrb
}

// next returns the index of the target of the next request.
func (rrb *roundRobin) next() int {
	best := 0
	for pos, tgt := range rrb.targets {
		rrb.current[pos] += int64(tgt.GetWeight())
		if rrb.current[pos] > rrb.current[best] {
			best = pos
		}
	}
	rrb.current[best] -= rrb.total
	return best
}

// greatestDivisor returns the greatest common divisor; that of 0 and a number is the number.
func greatestDivisor(one, two int64) int64 {
	for two != 0 {
		one, two = two, one%two
	}
	return one
}

// weights selects the service for routes with several weighted targets.
type weights struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

func newWeights() *weights { return &weights{routes: map[string]*roundRobin{}} }

// choose returns the service for a request; over any sequence of requests each target gets its share, give or take a few.
func (wgt *weights) choose(rte *controlpb.Route) string {
	tgts := rte.GetTargets()
	if len(tgts) == 0 {
		return rte.GetService()
	}
	wgt.mu.Lock()
	defer wgt.mu.Unlock()
	rrb := wgt.routes[rte.GetName()]
	if rrb == nil || !slices.EqualFunc(rrb.targets, tgts, sameTarget) {
		rrb = newRoundRobin(tgts, rand.Int64N)
		wgt.routes[rte.GetName()] = rrb
	}
	return tgts[rrb.next()].GetService()
}

func sameTarget(one, two *controlpb.WeightedTarget) bool {
	return one.GetService() == two.GetService() && one.GetWeight() == two.GetWeight()
}
