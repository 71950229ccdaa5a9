package backend

import (
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// setService records the configuration of the service, nil if it was never known.
func (kys *keys) setService(svc *controlpb.Service) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.serviceKnown = svc != nil
	kys.changePartitions(svc.GetPartitions())
}

// changePartitions records the configured number of partitions; 0 keeps the last one, because the server holds the keys that it was
// granted whether or not the service is configured with keys. With another number, what is held is carried over by key. The caller holds
// the mutex.
func (kys *keys) changePartitions(num uint32) {
	old := kys.partitions
	if num == 0 || num == old {
		return
	}
	kys.partitions = num
	if old == 0 {
		for key, rev := range kys.revoked {
			rev.first, rev.last = kys.keysOf(key.partition)
		}
		return
	}
	held := map[uint32]partitionHold{}
	for par, hld := range kys.held {
		from, to := partitionsOf(par, old, num)
		for now := from; now <= to; now++ {
			held[now] = longerHold(held[now], hld)
		}
	}
	kys.held = held
	kys.latestEnd = renumbered(kys.latestEnd, old, num)
	kys.unacknowledged = renumbered(kys.unacknowledged, old, num)
}

// renumbered returns times by partition for another number of partitions; one that shares keys with several gets the latest time.
func renumbered(ends map[uint32]time.Time, old, num uint32) map[uint32]time.Time {
	out := map[uint32]time.Time{}
	for par, end := range ends {
		from, to := partitionsOf(par, old, num)
		for now := from; now <= to; now++ {
			out[now] = later(out[now], end)
		}
	}
	return out
}

// longerHold returns a hold that covers two of one partition; it allows no request until the partition is granted again.
func longerHold(one, two partitionHold) partitionHold {
	both := partitionHold{token: max(one.token, two.token), direct: one.direct || two.direct, until: later(one.until, two.until)}
	return both.inPart()
}

// partitionsOf returns the first and the last partition of num that share a key with a partition of old.
func partitionsOf(par, old, num uint32) (from, to uint32) {
	first, last := siskinrill.KeyRange(par, old)
	return partitionsTouching(first, last, num)
}

// partitionsTouching returns the first and the last partition that share a key with a valid range of keys; partitions must not be 0.
func partitionsTouching(first, last, partitions uint32) (from, to uint32) {
	return siskinrill.NumericPartition(first, partitions), siskinrill.NumericPartition(last, partitions)
}

// containsPartition reports whether a range of keys contains all keys of a partition.
func containsPartition(first, last, par, partitions uint32) bool {
	fst, lst := siskinrill.KeyRange(par, partitions)
	return first <= fst && lst <= last
}

// keysOf returns the keys of a partition, all keys while the number of partitions is not known; the caller holds the mutex.
func (kys *keys) keysOf(par uint32) (first, last uint32) {
	if par >= kys.partitions {
		return 0, siskinrill.NumericKeyCount - 1
	}
	return siskinrill.KeyRange(par, kys.partitions)
}

// keyRange returns the keys of contiguous partitions.
func (kys *keys) keyRange(from, to uint32) (first, last uint32) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	first, _ = siskinrill.KeyRange(from, kys.partitions)
	_, last = siskinrill.KeyRange(to, kys.partitions)
	return first, last
}
