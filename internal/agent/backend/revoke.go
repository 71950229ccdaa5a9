package backend

import (
	"context"
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// revocation is the state of a partition that the server has to release.
type revocation struct {
	first, last uint32                   // keys of the partition
	handovers   map[uint32]ReleasedRange // parts that the server has released, by first key
	excluded    bool                     // no longer granted, so that the server releases it once it has finished its work
	released    bool
	until       time.Time // end of the hold if the server does not release it
}

// addHandover records the handover of released keys, of which those of the partition count.
func (rev *revocation) addHandover(rng ReleasedRange) {
	rng.First, rng.Last = max(rng.First, rev.first), min(rng.Last, rev.last)
	if rng.First > rng.Last {
		return
	}
	if rev.handovers == nil {
		rev.handovers = map[uint32]ReleasedRange{}
	}
	rev.handovers[rng.First] = rng
}

// handover returns the handover that covers the most keys of the partition; the next server accepts one for a range that it is granted.
func (rev *revocation) handover() string {
	keys := map[string]uint32{}
	best := ""
	for _, rng := range rev.handovers {
		keys[rng.Handover] += rng.Last - rng.First + 1
	}
	for text, num := range keys {
		if num > keys[best] || num == keys[best] && text < best {
			best = text
		}
	}
	return best
}

// listsKeyOf reports whether a heartbeat lists a key of a revoked partition, which may be one of an earlier number of partitions; the
// caller holds the mutex.
func (kys *keys) listsKeyOf(rev *revocation, rep reportedHolds) bool {
	if kys.partitions == 0 {
		return false
	}
	from, to := partitionsTouching(rev.first, rev.last, kys.partitions)
	return rep.listsAny(from, to)
}

// applyReleased records the handovers of the keys that a heartbeat lists as released; the caller holds the mutex.
func (kys *keys) applyReleased(rngs []ReleasedRange) {
	if kys.partitions == 0 || len(kys.revoked) == 0 || len(rngs) == 0 {
		return
	}
	revoked := map[uint32][]*revocation{}
	for _, rev := range kys.revoked {
		from, to := partitionsTouching(rev.first, rev.last, kys.partitions)
		for par := from; par <= to; par++ {
			revoked[par] = append(revoked[par], rev)
		}
	}
	// Of several ranges with the same keys, the last one has the handover that is valid now.
	cov := newCover(kys.partitions)
	for _, rng := range slices.Backward(rngs) {
		cov.visit(rng.First, rng.Last, func(par uint32, _ bool) {
			for _, rev := range revoked[par] {
				rev.addHandover(rng)
			}
		})
	}
}

// pruneRevoked removes the revocations of rows that this agent no longer owns; until then they stay excluded
// from the answers.
func (kys *keys) pruneRevoked(rows []*controlpb.Shard) {
	owned := make(map[grantKey]bool, len(rows))
	for _, row := range rows {
		owned[grantKey{row.GetPartition(), row.GetToken()}] = true
	}
	for key := range kys.revoked {
		if !owned[key] {
			delete(kys.revoked, key)
		}
	}
}

// Revoke stops granting rows, and yields them with their handovers as soon as the server has released them or can
// no longer hold them. It ends early if the context ends.
func (cli *Client) Revoke(ctx context.Context, refs []*controlpb.ShardRef) iter.Seq[[]*controlpb.ShardRef] {
	return func(yield func([]*controlpb.ShardRef) bool) {
		cli.refreshService()
		if !cli.keys.revoke(refs) {
			yield(refs)
			return
		}
		cli.awaitReleased(ctx, refs, yield)
	}
}

// awaitReleased yields revoked rows as they become free, until all are or the context ends.
func (cli *Client) awaitReleased(ctx context.Context, refs []*controlpb.ShardRef, yield func([]*controlpb.ShardRef) bool) {
	kys := &cli.keys
	var releases sync.WaitGroup
	defer releases.Wait()
	releaseCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	releasing := false
	for {
		// It may become known only now that the keys are granted by calls: the configuration may come after the first
		// heartbeat, and may change.
		if !releasing && kys.grantedByCalls() {
			releasing = true
			cli.releaseKeys(releaseCtx, refs, &releases)
		}
		free, rest, at, changed := kys.split(refs)
		if len(free) > 0 && !yield(free) || len(rest) == 0 {
			return
		}
		if refs = rest; !awaitChange(ctx, changed, at) {
			return
		}
	}
}

func (kys *keys) isRevoking() bool {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	return len(kys.revoked) > 0
}

// revoke starts revoking rows and returns false for a server without time-limited holds.
func (kys *keys) revoke(refs []*controlpb.ShardRef) bool {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.holdsKeys {
		return false
	}
	for _, ref := range refs {
		key := grantKey{ref.GetPartition(), ref.GetToken()}
		if kys.revoked[key] == nil {
			// A heartbeat may be delayed by seconds, so the first one that this process receives need not
			// list all keys that the server holds.
			rev := &revocation{until: kys.priorHoldsUntil}
			rev.first, rev.last = kys.keysOf(ref.GetPartition())
			if hld, ok := kys.held[ref.GetPartition()]; ok && (hld.partly || hld.token <= ref.GetToken()) {
				rev.until = hld.until
				if hld.direct {
					rev.until = later(rev.until, kys.priorHoldsUntil)
				}
			}
			kys.revoked[key] = rev
		}
	}
	return true
}

// split divides revoked rows into those that are free, with their handovers, and the others, with the first time at which one of these
// expires and a channel closed at the next change. A row that the server never held is free once an answer has omitted it. Rows that this
// agent no longer owns are neither: their release is no longer its to report.
func (kys *keys) split(refs []*controlpb.ShardRef) (free, rest []*controlpb.ShardRef, at time.Time, changed <-chan struct{}) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	for _, ref := range refs {
		rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]
		if rev == nil {
			continue
		}
		end := kys.heldUntil(ref.GetPartition(), rev)
		if !time.Now().Before(end) {
			kys.exclude(rev)
			free = append(free, withHandover(ref, rev))
			continue
		}
		rest = append(rest, ref)
		if at.IsZero() || end.Before(at) {
			at = end
		}
	}
	return free, rest, at, kys.changed
}

// exclude stops granting a row that is free: the agent's tables may list it for a while after control has
// assigned it to another owner.
func (kys *keys) exclude(rev *revocation) {
	if kys.direct {
		rev.excluded = true
	}
}

// heldUntil returns the time by which the server is guaranteed not to hold a revoked row. An unacknowledged
// grant may still apply a released row again, and while a grant is in flight no bound is known; the caller
// holds the mutex.
func (kys *keys) heldUntil(par uint32, rev *revocation) time.Time {
	if kys.inFlight[par] > 0 && !kys.faults.releaseInFlight {
		return time.Now().Add(maxServerDirectHold)
	}
	end := kys.unacknowledged[par]
	switch {
	case kys.direct:
		end = later(end, kys.priorHoldsUntil)
	case kys.everDirect:
		// Heartbeats don't include keys that a previous agent process granted by calls.
		end = later(end, kys.started.Add(maxServerDirectHold))
	}
	if rev.released {
		return end
	}
	if hld, ok := kys.held[par]; ok && hld.direct {
		end = later(end, hld.until)
	}
	return later(end, rev.until)
}

// grantedByCalls reports whether the server is granted its keys by calls.
func (kys *keys) grantedByCalls() bool {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	return kys.direct
}

// withHandover returns a copy of a reference with the handover of its revocation.
func withHandover(ref *controlpb.ShardRef, rev *revocation) *controlpb.ShardRef {
	return &controlpb.ShardRef{
		Service: ref.GetService(), Partition: ref.GetPartition(), Key: ref.GetKey(), Token: ref.GetToken(), Handover: rev.handover(),
	}
}
