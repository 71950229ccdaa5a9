package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Bounds of the report of a grant to the backend server.
const (
	// tellTries is how often a report is tried; after that requests go on, since each one carries its token.
	tellTries = 2
	// tellTimeout bounds all tries, and with them the wait of the first request of a shard.
	tellTimeout = 700 * time.Millisecond
)

// teller knows which shards the backend server was told of.
type teller struct {
	mu   sync.RWMutex
	told map[shardID]uint64
	busy chan struct{} // holds one item during a report; unlike a mutex, a request can give up waiting for it
}

// begin waits for the end of another report; false means that the context ended first.
func (tld *teller) begin(ctx context.Context) bool {
	select {
	case tld.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (tld *teller) end() { <-tld.busy }

// missing returns the rows that the backend server was not told of.
func (tld *teller) missing(rows []*controlpb.Shard) []*controlpb.ShardRef {
	tld.mu.RLock()
	defer tld.mu.RUnlock()
	var refs []*controlpb.ShardRef
	for _, row := range rows {
		if tld.told[shardOf(row)] != row.GetToken() {
			refs = append(refs, refOf(row))
		}
	}
	return refs
}

// tell reports the rows that the backend server does not know; false means that the context ended first.
func (own *Owner) tell(ctx context.Context, rows []*controlpb.Shard) bool {
	if len(own.tld.missing(rows)) == 0 {
		return true
	}
	if !own.tld.begin(ctx) {
		return false
	}
	defer own.tld.end()
	refs := own.tld.missing(rows)
	if len(refs) == 0 {
		return true
	}
	own.grants(ctx, refs, nil)
	own.tld.mu.Lock()
	defer own.tld.mu.Unlock()
	for _, ref := range refs {
		own.tld.told[shardID{service: ref.GetService(), partition: ref.GetPartition(), key: ref.GetKey()}] = ref.GetToken()
	}
	return true
}

// untell reports the shards that are no longer owned.
func (own *Owner) untell(ctx context.Context, rows []*controlpb.Shard) {
	if !own.tld.begin(ctx) {
		return
	}
	defer own.tld.end()
	refs := own.tld.forget(rows)
	if len(refs) > 0 {
		own.grants(ctx, nil, refs)
	}
}

// forget drops the shards that are not among the rows.
func (tld *teller) forget(rows []*controlpb.Shard) []*controlpb.ShardRef {
	owned := make(map[shardID]bool, len(rows))
	for _, row := range rows {
		owned[shardOf(row)] = true
	}
	tld.mu.Lock()
	defer tld.mu.Unlock()
	var refs []*controlpb.ShardRef
	for shd, tok := range tld.told {
		if !owned[shd] {
			refs = append(refs, &controlpb.ShardRef{Service: shd.service, Partition: shd.partition, Key: shd.key, Token: tok})
			delete(tld.told, shd)
		}
	}
	return refs
}

func (own *Owner) grants(ctx context.Context, granted, revoked []*controlpb.ShardRef) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	for range tellTries {
		err := own.bck.Grants(ctx, granted, revoked)
		if err == nil {
			return
		}
		own.cnt.Event("grants_failed")
		logrus.Warnf("owner: the backend server was not told of %d grants and %d revocations: %v", len(granted), len(revoked), err)
	}
}
