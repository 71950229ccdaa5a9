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
	// minHotKeyShare leaves out keys under this share of an upstream's mean load, far below what the policy isolates.
	minHotKeyShare = 0.05
	// maxHotKeys bounds the hot keys given to the policy for a service.
	maxHotKeys = 1024
	// noReportAge is the age of the report of an upstream that has sent none.
	noReportAge = time.Hour
)

// loadAverage is a load smoothed over reports, in requests a second.
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

// decayUnreported lets a figure sink when a report of its owner did not name the shard; after a new grant it starts from the earlier owner's value.
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

// report is the newest load report of a session.
type report struct {
	at       time.Time
	interval time.Duration
	requests float64 // a second
	busy     float64 // slots in use on average
	last     *controlpb.LoadReport
	hot      map[hotKey]*loadAverage
}

type hotKey struct{ service, key string }

// serviceLoads are the figures of one service.
type serviceLoads struct {
	partitions []loadAverage
	overrides  map[string]*loadAverage
}

// loads keeps the figures that agents report; they are not durable.
type loads struct {
	smoothing time.Duration // time constant of the figures

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

// report takes in a load report at its receipt.
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

// shard returns the figure of a shard; one of an unknown service or partition is not kept.
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

// service returns the figures of a service with a number of partitions.
func (lds *loads) service(name string, partitions int) *serviceLoads {
	svc := lds.services[name]
	if svc == nil || len(svc.partitions) != partitions {
		svc = &serviceLoads{partitions: make([]loadAverage, partitions), overrides: map[string]*loadAverage{}}
		lds.services[name] = svc
	}
	return svc
}

// hotKeys returns the keys that stand out, highest first, for which owner returns the reporting session's partition.
func (lds *loads) hotKeys(svc string, floor float64, partitions uint32, now time.Time) []siskinrill.HotKey {
	var out []siskinrill.HotKey
	for ses, rep := range lds.reports {
		for nam, avg := range rep.hot {
			if nam.service != svc || avg.value < floor || now.Sub(avg.at) > hotKeyRetention {
				continue
			}
			out = append(out, siskinrill.HotKey{
				Key: nam.key, Partition: siskinrill.Partition(svc, nam.key, partitions), Owner: ses, Load: avg.value,
			})
		}
	}
	slices.SortFunc(out, func(one, two siskinrill.HotKey) int {
		return cmp.Or(cmp.Compare(two.Load, one.Load), cmp.Compare(one.Key, two.Key))
	})
	return out[:min(len(out), maxHotKeys)]
}
