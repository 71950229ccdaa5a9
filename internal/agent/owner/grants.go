package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Limits for reporting grants to the backend server.
const (
	// grantTries is how often a report is tried; after that requests are served anyway, since each one carries its
	// token.
	grantTries = 2
	// grantTimeout bounds all tries together, and with them the wait of the first request of a shard.
	grantTimeout = 700 * time.Millisecond
)

// grantReporter tracks which grants were reported to the backend server.
type grantReporter struct {
	mu       sync.RWMutex
	reported map[shardID]uint64
	sending  chan struct{} // semaphore, held during a report; unlike for a mutex, the wait for it ends with the context
}

// acquire waits until no other report is sent; false means that the context ended first.
func (rpt *grantReporter) acquire(ctx context.Context) bool {
	select {
	case rpt.sending <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (rpt *grantReporter) release() { <-rpt.sending }

// missing returns the rows whose grants were not reported.
func (rpt *grantReporter) missing(rows []*controlpb.Shard) []*controlpb.ShardRef {
	rpt.mu.RLock()
	defer rpt.mu.RUnlock()
	var refs []*controlpb.ShardRef
	for _, row := range rows {
		if rpt.reported[shardOf(row)] != row.GetToken() {
			refs = append(refs, refOf(row))
		}
	}
	return refs
}

// reportGrants reports the rows that the backend server does not know yet; false means that the context ended first.
func (own *Owner) reportGrants(ctx context.Context, rows []*controlpb.Shard) bool {
	if len(own.reporter.missing(rows)) == 0 {
		return true
	}
	if !own.reporter.acquire(ctx) {
		return false
	}
	defer own.reporter.release()
	refs := own.reporter.missing(rows)
	if len(refs) == 0 {
		return true
	}
	own.sendGrants(ctx, refs, nil)
	own.reporter.mu.Lock()
	defer own.reporter.mu.Unlock()
	for _, ref := range refs {
		own.reporter.reported[shardOfRef(ref)] = ref.GetToken()
	}
	return true
}

// reportRevocations reports the shards that are no longer owned.
func (own *Owner) reportRevocations(ctx context.Context, rows []*controlpb.Shard) {
	if !own.reporter.acquire(ctx) {
		return
	}
	defer own.reporter.release()
	refs := own.reporter.forget(rows)
	if len(refs) > 0 {
		own.sendGrants(ctx, nil, refs)
	}
}

// forget removes and returns the reported shards that are not among the rows.
func (rpt *grantReporter) forget(rows []*controlpb.Shard) []*controlpb.ShardRef {
	owned := make(map[shardID]bool, len(rows))
	for _, row := range rows {
		owned[shardOf(row)] = true
	}
	rpt.mu.Lock()
	defer rpt.mu.Unlock()
	var refs []*controlpb.ShardRef
	for shd, tok := range rpt.reported {
		if !owned[shd] {
			refs = append(refs, &controlpb.ShardRef{Service: shd.service, Partition: shd.partition, Key: shd.key, Token: tok})
			delete(rpt.reported, shd)
		}
	}
	return refs
}

func (own *Owner) sendGrants(ctx context.Context, granted, revoked []*controlpb.ShardRef) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	for range grantTries {
		err := own.bck.ReportGrants(ctx, granted, revoked)
		if err == nil {
			return
		}
		own.cnt.Event("grants_failed")
		logrus.Warnf("owner: reporting %d grants and %d revocations to the backend server failed: %v", len(granted), len(revoked), err)
	}
}
