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
		return
	}
	held, unacknowledged := kys.held, kys.unacknowledged
	kys.held, kys.unacknowledged = map[uint32]partitionHold{}, map[uint32]time.Time{}
	for par, hld := range held {
		for _, now := range partitionsOf(par, old, num) {
			kys.held[now] = longerHold(kys.held[now], hld)
		}
	}
	for par, until := range unacknowledged {
		for _, now := range partitionsOf(par, old, num) {
			kys.unacknowledged[now] = later(kys.unacknowledged[now], until)
		}
	}
}

// longerHold returns a hold that covers two of one partition; it allows no request until the partition is granted again.
func longerHold(one, two partitionHold) partitionHold {
	return partitionHold{token: max(one.token, two.token), direct: one.direct || two.direct, until: later(one.until, two.until)}
}

// partitionsOf returns the partitions of num that share a key with a partition of old.
func partitionsOf(par, old, num uint32) []uint32 {
	first, last := siskinrill.KeyRange(par, old)
	return partitionsTouching(first, last, num)
}

// partitionsTouching returns the partitions that share a key with a valid range of keys, in order.
func partitionsTouching(first, last, partitions uint32) []uint32 {
	var out []uint32
	for par := uint32(uint64(first) * uint64(partitions) / siskinrill.NumericKeyCount); par < partitions; par++ {
		fst, lst := siskinrill.KeyRange(par, partitions)
		if fst > last {
			break
		}
		if lst >= first {
			out = append(out, par)
		}
	}
	return out
}

// partitionsWithin returns the partitions that lie entirely within a range of keys. Of those that share a key with it, only the first
// and the last may not.
func partitionsWithin(first, last, partitions uint32) []uint32 {
	if partitions == 0 || !siskinrill.ValidKeyRange(first, last) {
		return nil
	}
	out := partitionsTouching(first, last, partitions)
	if len(out) > 0 {
		if fst, _ := siskinrill.KeyRange(out[0], partitions); fst < first {
			out = out[1:]
		}
	}
	if num := len(out); num > 0 {
		if _, lst := siskinrill.KeyRange(out[num-1], partitions); lst > last {
			out = out[:num-1]
		}
	}
	return out
}

// keyRange returns the keys of contiguous partitions.
func (kys *keys) keyRange(from, to uint32) (first, last uint32) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	first, _ = siskinrill.KeyRange(from, kys.partitions)
	_, last = siskinrill.KeyRange(to, kys.partitions)
	return first, last
}
