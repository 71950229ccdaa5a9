package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// shardLoad is the load of a shard since the last report.
type shardLoad struct {
	requests uint32
	busy     time.Duration
}

// loads holds the figures since the last report; the owner's mutex guards it.
type loads struct {
	shards   map[shardID]shardLoad
	sketches map[string]*sketch // by service
	requests uint32
	busy     time.Duration
	refusals map[string]uint64
}

func newLoads() *loads {
	return &loads{shards: map[shardID]shardLoad{}, sketches: map[string]*sketch{}, refusals: map[string]uint64{}}
}

// countRun counts an attempt that was dispatched and has ended, unless it did not run.
func (lds *loads) countRun(tck *ticket, how attemptEnd) {
	if how.outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return
	}
	busy := time.Since(tck.started)
	sld := lds.shards[tck.shard]
	sld.requests++
	sld.busy += busy
	lds.shards[tck.shard] = sld
	lds.requests++
	lds.busy += busy
	skt := lds.sketches[tck.shard.service]
	if skt == nil {
		skt = newSketch()
		lds.sketches[tck.shard.service] = skt
	}
	skt.add(tck.att.Open().GetKey(), tck.shard.partition)
}

// countRefused counts an attempt that was refused for lack of capacity as a request for its shard, because the
// demand for a busy key exceeds what its owner can run.
func (lds *loads) countRefused(shd shardID) {
	sld := lds.shards[shd]
	sld.requests++
	lds.shards[shd] = sld
}

// Load returns the figures since the previous call and resets them; interval is the time between the calls.
func (own *Owner) Load(interval time.Duration) *controlpb.LoadReport {
	lmt := own.bck.StartLimit()
	own.mu.Lock()
	defer own.mu.Unlock()
	lds := own.lds
	rep := &controlpb.LoadReport{
		IntervalMs: millis(interval), Requests: lds.requests, BusyMs: millis(lds.busy),
		InFlight: uint32(len(own.holders)), Queued: uint32(own.waiting()), Limit: uint32(own.lim.current()),
		Refusals: lds.refusals, HotKeys: lds.topKeys(), RateLimited: lmt.Limited, RateLimit: lmt.PerSecond,
		ColdMs: millis(lmt.Cold),
	}
	for shd, sld := range lds.shards {
		rep.Shards = append(rep.Shards, &controlpb.ShardLoad{Shard: shd.ref(), Requests: sld.requests, BusyMs: millis(sld.busy)})
	}
	slices.SortFunc(rep.Shards, compareShards)
	clear(lds.shards)
	lds.requests, lds.busy = 0, 0
	lds.refusals = map[string]uint64{}
	return rep
}

func (shd shardID) ref() *controlpb.ShardRef {
	return &controlpb.ShardRef{Service: shd.service, Partition: shd.partition, Key: shd.key}
}

func millis(dur time.Duration) uint32 { return uint32(dur.Milliseconds()) }

func compareShards(one, two *controlpb.ShardLoad) int {
	return cmp.Or(
		strings.Compare(one.GetShard().GetService(), two.GetShard().GetService()),
		cmp.Compare(one.GetShard().GetPartition(), two.GetShard().GetPartition()),
		strings.Compare(one.GetShard().GetKey(), two.GetShard().GetKey()),
	)
}

// topKeys returns the keys with the most requests, the highest first, and resets the sketches; each count is a lower
// bound.
func (lds *loads) topKeys() []*controlpb.ShardLoad {
	var rows []*controlpb.ShardLoad
	for name, skt := range lds.sketches {
		for _, cnt := range skt.counters {
			if minCount := cnt.count - cnt.maxError; minCount > 1 {
				ref := &controlpb.ShardRef{Service: name, Partition: cnt.partition, Key: cnt.key}
				rows = append(rows, &controlpb.ShardLoad{Shard: ref, Requests: minCount})
			}
		}
		skt.reset()
	}
	slices.SortFunc(rows, compareHot)
	return rows[:min(len(rows), maxHotKeys)]
}

func compareHot(one, two *controlpb.ShardLoad) int {
	return cmp.Or(cmp.Compare(two.GetRequests(), one.GetRequests()), compareShards(one, two))
}
