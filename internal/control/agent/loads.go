package agent

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// hotKeyRetention is how long a hot key is kept after the last report that named it.
	hotKeyRetention = 3 * time.Second
	// minHotKeyShare is the minimum load of a hot key as a share of the mean load of the upstreams. It is far
	// below what the policy isolates.
	minHotKeyShare = 0.05
	// maxHotKeys limits the hot keys of one service that are passed to the policy.
	maxHotKeys = 1024
	// noReportAge is the report age given to upstreams that have never reported.
	noReportAge = time.Hour
)

// loadAverage is an exponential moving average of reported loads, in requests per second.
type loadAverage struct {
	value float64
	at    time.Time
	token uint64
}

func (avg *loadAverage) update(rate float64, now time.Time, smoothing time.Duration) {
	if avg.at.IsZero() {
		avg.value = rate
	} else {
		avg.value += (rate - avg.value) * (1 - decay(now.Sub(avg.at), smoothing))
	}
	avg.at = now
}

// decayUnreported lowers an average when its owner reported without naming the shard. After a new grant the
// average continues from the previous owner's value.
func (avg *loadAverage) decayUnreported(tok uint64, reported, now time.Time, smoothing time.Duration) {
	if avg.token != tok {
		avg.token = tok
		if !avg.at.IsZero() {
			avg.at = now
		}
		return
	}
	if !avg.at.IsZero() && reported.After(avg.at) {
		avg.value *= decay(reported.Sub(avg.at), smoothing)
		avg.at = reported
	}
}

func decay(dur, smoothing time.Duration) float64 { return math.Exp(-float64(dur) / float64(smoothing)) }

// report is the newest load report of a session, with the averages of its hot keys.
type report struct {
	at       time.Time
	interval time.Duration
	requests float64 // per second
	busy     float64 // mean number of slots in use
	last     *controlpb.LoadReport
	hot      map[hotKey]*loadAverage
}

type hotKey struct{ service, key string }

// serviceLoads are the load averages of one service, of partitions by number and of overrides by key.
type serviceLoads struct {
	partitions []loadAverage
	overrides  map[string]*loadAverage
}

// loads keeps the loads that agents report, in memory only.
type loads struct {
	smoothing time.Duration // time constant of the averages

	mut      sync.Mutex
	services map[string]*serviceLoads
	reports  map[uint64]*report
}

func newLoads(smoothing time.Duration) *loads {
	return &loads{smoothing: smoothing, services: map[string]*serviceLoads{}, reports: map[uint64]*report{}}
}

func (lds *loads) remove(ses uint64) {
	lds.mut.Lock()
	defer lds.mut.Unlock()
	delete(lds.reports, ses)
}

// report records a load report at its time of receipt.
func (lds *loads) report(ses uint64, msg *controlpb.LoadReport, now time.Time) {
	lds.mut.Lock()
	defer lds.mut.Unlock()
	secs := max(float64(msg.GetIntervalMs())/1000, 0.001)
	rep := lds.reports[ses]
	if rep == nil {
		rep = &report{hot: map[hotKey]*loadAverage{}}
		lds.reports[ses] = rep
	}
	rep.at, rep.last = now, msg
	rep.interval = time.Duration(msg.GetIntervalMs()) * time.Millisecond
	rep.requests = float64(msg.GetRequests()) / secs
	rep.busy = float64(msg.GetBusyMs()) / 1000 / secs
	for _, shl := range msg.GetShards() {
		lds.shard(shl.GetShard()).update(float64(shl.GetRequests())/secs, now, lds.smoothing)
	}
	rep.updateHot(msg.GetHotKeys(), secs, now, lds.smoothing)
}

func (rep *report) updateHot(keys []*controlpb.ShardLoad, secs float64, now time.Time, smoothing time.Duration) {
	for _, shl := range keys {
		nam := hotKey{service: shl.GetShard().GetService(), key: shl.GetShard().GetKey()}
		avg := rep.hot[nam]
		if avg == nil {
			avg = &loadAverage{}
			rep.hot[nam] = avg
		}
		avg.update(float64(shl.GetRequests())/secs, now, smoothing)
	}
	for nam, avg := range rep.hot {
		if now.Sub(avg.at) > hotKeyRetention {
			delete(rep.hot, nam)
		}
	}
}

// shard returns the average of a shard, or a throwaway one for an unknown service, partition or override.
func (lds *loads) shard(ref *controlpb.ShardRef) *loadAverage {
	svc := lds.services[ref.GetService()]
	if svc == nil {
		return &loadAverage{}
	}
	if ref.GetKey() != "" {
		if avg := svc.overrides[ref.GetKey()]; avg != nil {
			return avg
		}
		return &loadAverage{}
	}
	if int(ref.GetPartition()) >= len(svc.partitions) {
		return &loadAverage{}
	}
	return &svc.partitions[ref.GetPartition()]
}

// service returns the averages of a service, reset if its number of partitions has changed.
func (lds *loads) service(name string, partitions int) *serviceLoads {
	svc := lds.services[name]
	if svc == nil || len(svc.partitions) != partitions {
		svc = &serviceLoads{partitions: make([]loadAverage, partitions), overrides: map[string]*loadAverage{}}
		lds.services[name] = svc
	}
	return svc
}

// hotKeys returns the reported hot keys of a service with at least a minimum load, highest first. The owner of
// a hot key is the session that reported it.
func (lds *loads) hotKeys(svc string, floor float64, partitions uint32, now time.Time) []siskinrill.HotKey {
	var out []siskinrill.HotKey
	for ses, rep := range lds.reports {
		for nam, avg := range rep.hot {
			if nam.service != svc || avg.value < floor || now.Sub(avg.at) > hotKeyRetention {
				continue
			}
			out = append(out, siskinrill.HotKey{
				Key: nam.key, Partition: siskinrill.HashPartition(svc, nam.key, partitions), Owner: ses, Load: avg.value,
			})
		}
	}
	slices.SortFunc(out, func(one, two siskinrill.HotKey) int {
		return cmp.Or(cmp.Compare(two.Load, one.Load), cmp.Compare(one.Key, two.Key))
	})
	return out[:min(len(out), maxHotKeys)]
}
