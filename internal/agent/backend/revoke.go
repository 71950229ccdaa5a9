package backend

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// revocation is a partition that the server is to give back.
type revocation struct {
	handover string
	excluded bool // an answer has left it out, so that the server gives it back once it has finished its work
	released bool
	until    time.Time // end of the hold, if the server gives nothing back
}

// pruneRevoked ends the revocations of rows that this agent owns no longer; until then they stay out of the answers.
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

// Revoke leaves rows out of the answers to heartbeats, and returns them with what the server left for their next owner once it has given them back or cannot hold them any more; false if the context ended first.
func (cli *Client) Revoke(ctx context.Context, refs []*controlpb.ShardRef) ([]*controlpb.ShardRef, bool) {
	kys := &cli.keys
	if !kys.revoke(refs) {
		return refs, true
	}
	if kys.grantedByCalls() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		cli.releaseKeys(ctx, refs)
	}
	for {
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

// revoke begins a revocation, false for a server that does not take its keys by heartbeats.
func (kys *keys) revoke(refs []*controlpb.ShardRef) bool {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.holdsKeys {
		return false
	}
	for _, ref := range refs {
		key := grantKey{ref.GetPartition(), ref.GetToken()}
		if kys.revoked[key] == nil {
			// A heartbeat may be seconds late, so the first one that this process hears need not name all that the server holds.
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

// pending returns when the last row that is not given back ends by itself, and a channel for changes; that is nil once none is left. What the server never held is given back once an answer has left it out.
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

// exclude ends the grants of a row that is free: the agent's tables may have it for a while after control has given it to another.
func (kys *keys) exclude(rev *revocation) {
	if rev != nil && kys.direct {
		rev.excluded = true
	}
}

// heldUntil returns when the server surely holds a revoked row no longer. A row that it has given back may still be taken by a grant that was sent before and had no answer, and while a grant is on its way nothing is known; the caller holds the mutex.
func (kys *keys) heldUntil(par uint32, rev *revocation) time.Time {
	if rev == nil {
		return time.Time{}
	}
	if kys.inFlight[par] > 0 && !kys.faults.releaseInFlight {
		return time.Now().Add(maxServerDirectHold)
	}
	end := kys.unacknowledged[par]
	if kys.direct {
		end = later(end, kys.priorHoldsUntil)
	}
	if rev.released {
		return end
	}
	if hld, ok := kys.held[par]; ok && hld.direct {
		end = later(end, hld.until)
	}
	return later(end, rev.until)
}

// grantedByCalls reports whether the server takes its keys from calls.
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
