package caller

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestShares guards against a target that receives more or less than its weighted share over any sequence of requests.
func TestShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Uint32Range(0, 100), 1, 4).Draw(rt, "weights")
		rte := &controlpb.Route{Name: "r", Targets: weightedTargets(weights...)}
		total := uint32(0)
		for _, wgt := range weights {
			total += wgt
		}
		if total == 0 {
			return
		}
		wgts := newWeights()
		counts := map[string]int{}
		const requests = 300
		for range requests {
			counts[wgts.choose(rte)]++
		}
		for num, wgt := range weights {
			want := requests * float64(wgt) / float64(total)
			must.Between(rt, want-3, float64(counts[string(rune('a'+num))]), want+3)
		}
	})
}

// weightedTargets returns targets a, b and so on.
func weightedTargets(weights ...uint32) []*controlpb.WeightedTarget {
	var tgts []*controlpb.WeightedTarget
	for num, wgt := range weights {
		tgts = append(tgts, &controlpb.WeightedTarget{Service: string(rune('a' + num)), Weight: wgt})
	}
	return tgts
}

// TestTargetOfWeightZero guards against requests for a target of weight 0, in any place, from any start, and after changes of the weights
// and back.
func TestTargetOfWeightZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wgts := newWeights()
		for range rapid.IntRange(1, 5).Draw(rt, "changes") {
			weights := rapid.SliceOfN(rapid.OneOf(rapid.Just(uint32(0)), rapid.Uint32Range(0, 100), rapid.Uint32()), 1, 6).Draw(rt, "weights")
			weights[rapid.IntRange(0, len(weights)-1).Draw(rt, "above 0")] |= 1
			tgts := weightedTargets(weights...)
			for num := range 40 {
				svc := wgts.choose(&controlpb.Route{Name: fmt.Sprint("r", num%8), Targets: tgts})
				if weights[svc[0]-'a'] == 0 {
					rt.Fatalf("target %s has weight 0", svc)
				}
			}
		}
	})
}

// TestSharesOfFirstRequests guards against shares that differ from the weights where each entry sends few requests on a route, as after
// a start or a change of the weights.
func TestSharesOfFirstRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.Uint32Range(0, 30), 1, 5).Draw(rt, "weights")
		weights[0] |= 1
		factor := rapid.Uint32Range(1, 1000).Draw(rt, "factor")
		total := 0
		scaled := make([]uint32, len(weights))
		for num, wgt := range weights {
			total += int(wgt)
			scaled[num] = wgt * factor
		}
		tgts := weightedTargets(scaled...)
		counts := make([]int, len(weights))
		starts := 0
		for step := int64(0); ; step++ {
			period := int64(0)
			rrb := newRoundRobin(tgts, func(num int64) int64 { period = num; return step })
			if step == period {
				break
			}
			counts[rrb.next()]++
			starts++
		}
		for num, wgt := range weights {
			must.Eq(rt, starts*int(wgt)/total, counts[num], must.Sprintf("target %d in %d starts", num, starts))
		}
	})
}

// TestSharesAcrossEntries guards against shares that differ from the weights over many entries and routes with a request each.
func TestSharesAcrossEntries(t *testing.T) {
	for name, weights := range map[string][]uint32{
		"two": {90, 10}, "three": {10, 45, 45}, "with zeros": {0, 1, 0, 9}, "one left": {0, 7}, "long period": {1_000_003, 9_000_001},
	} {
		t.Run(name, func(t *testing.T) {
			const entries = 20000
			tgts := weightedTargets(weights...)
			counts, total := make([]float64, len(weights)), 0.0
			for range entries {
				counts[newWeights().choose(&controlpb.Route{Name: "r", Targets: tgts})[0]-'a']++
			}
			for _, wgt := range weights {
				total += float64(wgt)
			}
			for num, wgt := range weights {
				must.InDelta(t, float64(wgt)/total, counts[num]/entries, 0.02) // over five standard deviations
			}
		})
	}
}
