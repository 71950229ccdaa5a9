package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/siskinrill/siskinrill/internal/agent/control"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// Contents of a load report at the project's target size, where each host receives requestsPerSecond.
	requestsPerSecond = 3600
	busyPerRequest    = 4 * time.Millisecond
	hotKeys           = 16
)

// loadSource produces load reports of realistic size and releases the shards that control moves away.
type loadSource struct {
	session       *control.Session
	service       string
	partitionRate float64 // requests per second for each partition
}

// Load reports requests spread evenly over the owned shards, and as many hot keys as a real owner reports.
func (src *loadSource) Load(itv time.Duration) *controlpb.LoadReport {
	own := src.session.Owned()
	rep := &controlpb.LoadReport{IntervalMs: uint32(itv.Milliseconds()), Limit: slotsPerUpstream}
	if len(own) == 0 {
		return rep
	}
	perShard := uint32(src.partitionRate * itv.Seconds())
	rep.Requests = perShard * uint32(len(own))
	rep.BusyMs = rep.Requests * uint32(busyPerRequest.Milliseconds())
	for _, shd := range own {
		rep.Shards = append(rep.Shards, &controlpb.ShardLoad{
			Shard:    &controlpb.ShardRef{Service: shd.GetService(), Partition: shd.GetPartition(), Key: shd.GetKey(), Token: shd.GetToken()},
			Requests: perShard, BusyMs: rep.BusyMs / uint32(len(own)),
		})
	}
	for num := range hotKeys {
		shd := own[num%len(own)]
		rep.HotKeys = append(rep.HotKeys, &controlpb.ShardLoad{
			Shard:    &controlpb.ShardRef{Service: src.service, Partition: shd.GetPartition(), Key: fmt.Sprintf("key-%d-%d", shd.GetPartition(), num)},
			Requests: rep.Requests / 200, BusyMs: rep.BusyMs / 200,
		})
	}
	return rep
}

// releaseAll confirms the release of each shard immediately, as an owner without requests in flight does.
func (src *loadSource) releaseAll(ctx context.Context) {
	for {
		ver := src.session.Version()
		var refs []*controlpb.ShardRef
		for _, shd := range src.session.Owned() {
			if shd.GetPhase() == controlpb.Phase_PHASE_RELEASING {
				refs = append(refs, &controlpb.ShardRef{
					Service: shd.GetService(), Partition: shd.GetPartition(), Key: shd.GetKey(), Token: shd.GetToken(),
				})
			}
		}
		if len(refs) > 0 {
			src.session.Release(refs)
		}
		if src.session.Await(ctx, ver) != nil {
			return
		}
	}
}
