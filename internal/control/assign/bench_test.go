package assign

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
)

// virtualNodes is the number of points of each upstream on the ring of plain consistent hashing.
const virtualNodes = 100

// baseline maps a key to one of some upstreams, named by their sessions.
type baseline func(key string, sessions []uint64) uint64

func modulo(key string, sessions []uint64) uint64 {
	return sessions[xxhash.Sum64String(key)%uint64(len(sessions))]
}

// ring returns plain consistent hashing with virtual nodes.
func ring(sessions []uint64) baseline {
	type point struct{ hash, session uint64 }
	var points []point
	for _, ses := range sessions {
		for num := range virtualNodes {
			points = append(points, point{xxhash.Sum64String(fmt.Sprintf("%d#%d", ses, num)), ses})
		}
	}
	slices.SortFunc(points, func(one, two point) int {
		if one.hash < two.hash {
			return -1
		}
		return 1
	})
	return func(key string, _ []uint64) uint64 {
		hsh := xxhash.Sum64String(key)
		pos, _ := slices.BinarySearchFunc(points, hsh, func(pnt point, hsh uint64) int {
			if pnt.hash < hsh {
				return -1
			}
			return 1
		})
		return points[pos%len(points)].session
	}
}

func (wld *world) sessions() []uint64 {
	var out []uint64
	for _, ups := range wld.svc.Upstreams {
		out = append(out, ups.Session)
	}
	return out
}

// owner returns the session that owns a key.
func (wld *world) owner(key string) uint64 {
	if pos, ok := wld.override(key); ok {
		return wld.svc.Overrides[pos].Owner
	}
	return wld.svc.Partitions[siskinrill.Partition(testName, key, uint32(len(wld.rest)))].Owner
}

// churn returns the share of keys, drawn evenly, whose owner differs.
func churn(one, two func(key string) uint64) float64 {
	const draws = 100_000
	cnt := 0
	for num := range uint64(draws) {
		key := keyName(num * (allKeys / draws))
		if one(key) != two(key) {
			cnt++
		}
	}
	return float64(cnt) / draws
}

// imbalanceOf returns the highest over the mean load when a baseline spreads the sampled requests.
func imbalanceOf(bas baseline, sessions []uint64, requests map[string]int) float64 {
	loads, sum, high := map[uint64]int{}, 0, 0
	for key, cnt := range requests {
		ses := bas(key, sessions)
		loads[ses] += cnt
		sum += cnt
		high = max(high, loads[ses])
	}
	return float64(high) * float64(len(sessions)) / float64(sum)
}

// BenchmarkBaselines prints imbalance and churn of the policy beside those of modulo and plain consistent hashing.
func BenchmarkBaselines(b *testing.B) {
	cases := map[string]struct {
		upstreams, partitions, draws int
		head                         float64
	}{
		"rangsudhar_5":   {5, 256, 500_000, 1},
		"bassma_6":       {6, 256, 500_000, 1},
		"target_810":     {810, 16384, 2_000_000, 100},
		"target_810_hot": {810, 16384, 2_000_000, 1},
	}
	for name, tcs := range cases {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				wld := newWorld(tcs.upstreams, tcs.partitions)
				requests := wld.sample(tcs.head, 0, tcs.draws)
				wld.run(60 * time.Second)
				is, best := wld.imbalance()
				b.ReportMetric(best, "imbalance_best")
				b.ReportMetric(is, "imbalance_policy")
				b.ReportMetric(imbalanceOf(modulo, wld.sessions(), requests), "imbalance_modulo")
				b.ReportMetric(imbalanceOf(ring(wld.sessions()), wld.sessions(), requests), "imbalance_ring")
				reportJoin(b, wld)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func reportJoin(b *testing.B, wld *world) {
	old := wld.sessions()
	before := newWorld(0, 0)
	before.rest, before.svc.Partitions = wld.rest, slices.Clone(wld.svc.Partitions)
	before.svc.Overrides = slices.Clone(wld.svc.Overrides)
	wld.join()
	wld.run(30 * time.Second)
	cur := wld.sessions()
	b.ReportMetric(1/float64(len(cur)), "join_churn_least")
	b.ReportMetric(churn(before.owner, wld.owner), "join_churn_policy")
	b.ReportMetric(churnOf(modulo, modulo, old, cur), "join_churn_modulo")
	b.ReportMetric(churnOf(ring(old), ring(cur), old, cur), "join_churn_ring")
}

func churnOf(one, two baseline, old, cur []uint64) float64 {
	return churn(func(key string) uint64 { return one(key, old) }, func(key string) uint64 { return two(key, cur) })
}

// BenchmarkPlan measures a tick at 810 upstreams and 16,384 partitions; the limit is 50 ms.
func BenchmarkPlan(b *testing.B) {
	wld := newWorld(810, 16384)
	wld.sample(100, 0, 1_000_000)
	wld.run(60 * time.Second)
	b.Run("quiet", func(b *testing.B) {
		for b.Loop() {
			wld.policy.Plan(wld.now, &wld.tables)
		}
	})
	b.Run("hot_keys_changed", func(b *testing.B) {
		wld.sample(100, 1000, 1_000_000)
		for b.Loop() {
			wld.run(tick)
		}
	})
	b.Run("first_grants", func(b *testing.B) {
		fresh := newWorld(810, 16384)
		for b.Loop() {
			must.Len(b, 4096, fresh.policy.Plan(0, &fresh.tables))
		}
	})
	b.Run("200_upstreams_lost", func(b *testing.B) {
		for range 200 {
			wld.leave(0)
		}
		for b.Loop() {
			must.Positive(b, len(wld.policy.Plan(wld.now, &wld.tables)))
		}
	})
}

// BenchmarkHotKeysChange checks the bound of TestHotKeysChange at the target scale.
func BenchmarkHotKeysChange(b *testing.B) {
	for b.Loop() {
		wld := newWorld(810, 16384)
		wld.sample(100, 0, 1_000_000)
		wld.run(20 * time.Second)
		was := wld.moves
		wld.sample(100, 1000, 1_000_000)
		wld.run(60 * time.Second)
		checkImbalance(b, wld)
		is, _ := wld.imbalance()
		b.ReportMetric(is, "imbalance")
		b.ReportMetric(float64(wld.moves-was), "moves")
	}
}
