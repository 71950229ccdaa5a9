package backend

import (
	"context"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// revocation is the state of a partition that the server has to release.
type revocation struct {
	handover string
	excluded bool // no longer granted, so that the server releases it once it has finished its work
	released bool
	until    time.Time // end of the hold if the server does not release it
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

// Revoke stops granting rows, and returns them with their handovers once the server has released them or can
// no longer hold them; false if the context ends first.
func (cli *Client) Revoke(ctx context.Context, refs []*controlpb.ShardRef) ([]*controlpb.ShardRef, bool) {
	kys := &cli.keys
	cli.refreshService()
	if !kys.revoke(refs) {
		return refs, true
	}
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
		at, changed := kys.pending(refs)
		if changed == nil {
			return kys.withHandovers(refs), true
		}
		if !awaitChange(ctx, changed, at) {
			return nil, false
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
			if hld, ok := kys.held[ref.GetPartition()]; ok && hld.token <= ref.GetToken() {
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

// pending returns when the last row that is not yet free expires, and a channel closed at the next change,
// nil once all rows are free. A row that the server never held is free once an answer has omitted it.
func (kys *keys) pending(refs []*controlpb.ShardRef) (time.Time, <-chan struct{}) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	var last time.Time
	waits := false
	for _, ref := range refs {
		rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]
		end := kys.heldUntil(ref.GetPartition(), rev)
		if !time.Now().Before(end) {
			kys.exclude(rev)
			continue
		}
		waits = true
		last = later(last, end)
	}
	if !waits {
		return last, nil
	}
	return last, kys.changed
}

// exclude stops granting a row that is free: the agent's tables may list it for a while after control has
// assigned it to another owner.
func (kys *keys) exclude(rev *revocation) {
	if rev != nil && kys.direct {
		rev.excluded = true
	}
}

// heldUntil returns the time by which the server is guaranteed not to hold a revoked row. An unacknowledged
// grant may still apply a released row again, and while a grant is in flight no bound is known; the caller
// holds the mutex.
func (kys *keys) heldUntil(par uint32, rev *revocation) time.Time {
	if rev == nil {
		return time.Time{}
	}
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

func (kys *keys) withHandovers(refs []*controlpb.ShardRef) []*controlpb.ShardRef {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	out := make([]*controlpb.ShardRef, 0, len(refs))
	for _, ref := range refs {
		cpy := &controlpb.ShardRef{Service: ref.GetService(), Partition: ref.GetPartition(), Key: ref.GetKey(), Token: ref.GetToken()}
		if rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]; rev != nil {
			cpy.Handover = rev.handover
		}
		out = append(out, cpy)
	}
	return out
}
