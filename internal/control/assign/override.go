package assign

import (
	"slices"
	"strings"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxOverrides equals the registry's MaxOverrides.
const maxOverrides = 1024

// isolate creates overrides for hot keys and places them on the least loaded upstreams.
func (wrk *workspace) isolate() {
	if wrk.eligible < 2 {
		return
	}
	limit := min(wrk.limits.BalancePerTick, wrk.moveBudget(), maxOverrides-len(wrk.svc.Overrides))
	for pos := range wrk.svc.HotKeys {
		hot := &wrk.svc.HotKeys[pos]
		if limit <= 0 || hot.Load <= wrk.limits.HotShare*wrk.meanLoad() {
			return
		}
		if wrk.isolateOne(hot) {
			limit--
		}
	}
}

func (wrk *workspace) isolateOne(hot *siskinrill.HotKey) bool {
	if int(hot.Partition) >= len(wrk.svc.Partitions) || wrk.hasOverride(hot.Key) {
		return false
	}
	rwo := &wrk.rows[hot.Partition]
	src := rwo.source
	if src.Phase != controlpb.Phase_PHASE_OWNED || src.Owner != hot.Owner || rwo.owner == none {
		return false
	}
	if wrk.ups[rwo.owner].session != src.Owner {
		return false
	}
	load := min(hot.Load, rwo.load)
	own := &wrk.ups[rwo.owner]
	rwo.load -= load
	own.load -= load
	tgt := wrk.leastLoaded(load)
	wrk.ups[tgt].load += load
	if wrk.ups[tgt].session != src.Owner {
		wrk.inFlight++
	}
	key := &siskinrill.ShardRow{Partition: hot.Partition, Key: hot.Key, Token: src.Token}
	wrk.emit(controlpb.AssignmentKind_ASSIGNMENT_KIND_ISOLATE, key, wrk.ups[tgt].session)
	wrk.startCooldown(key)
	return true
}

func (wrk *workspace) hasOverride(key string) bool {
	_, ok := slices.BinarySearchFunc(wrk.svc.Overrides, key, func(ovr siskinrill.ShardRow, key string) int {
		return strings.Compare(ovr.Key, key)
	})
	return ok
}

// retire merges overrides back into their partitions once they have been cold for Limits.ColdFor.
func (wrk *workspace) retire() {
	limit := wrk.limits.BalancePerTick
	was := wrk.mem.coldSince
	wrk.mem.coldSince = map[string]time.Duration{}
	for pos := range wrk.svc.Overrides {
		ovr := &wrk.svc.Overrides[pos]
		if ovr.Load >= wrk.limits.ColdShare*wrk.meanLoad() || ovr.Phase != controlpb.Phase_PHASE_OWNED {
			continue
		}
		since, ok := was[ovr.Key]
		if !ok {
			since = wrk.now
		}
		wrk.mem.coldSince[ovr.Key] = since
		rwo := &wrk.rows[len(wrk.svc.Partitions)+pos]
		if wrk.now-since >= wrk.limits.ColdFor && limit > 0 && wrk.movable(rwo, rwo.owner) {
			wrk.emit(controlpb.AssignmentKind_ASSIGNMENT_KIND_RETIRE, ovr, 0)
			wrk.startCooldown(ovr)
			rwo.owner = none
			limit--
		}
	}
	wrk.dropExpiredCooldowns()
}

// dropExpiredCooldowns removes the ended cooldowns of keys.
func (wrk *workspace) dropExpiredCooldowns() {
	for key, end := range wrk.mem.keyCooldowns {
		if wrk.now >= end {
			delete(wrk.mem.keyCooldowns, key)
		}
	}
}
