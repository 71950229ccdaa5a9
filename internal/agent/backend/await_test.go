package backend

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestAwaitOutdatedRow guards against a request that waits until its deadline for a row under a token that control has
// replaced meanwhile, although the server holds the row under the newer one and the request could be sent again.
func TestAwaitOutdatedRow(t *testing.T) {
	for name, tcs := range map[string]struct {
		token uint64 // under which the server is granted the row
		want  bool
	}{
		"same token":  {token: 7, want: true},
		"newer token": {token: 8},
		"older token": {token: 6, want: true}, // a server that has not released a row also holds it under earlier tokens
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cli := New(Options{}, siskinrill.NewCounters())
				cli.keys.holdsKeys = true
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				time.AfterFunc(time.Second, func() {
					cli.keys.mu.Lock()
					defer cli.keys.mu.Unlock()
					cli.keys.held[3] = partitionHold{token: tcs.token, from: time.Now(), grantEnd: time.Now().Add(time.Minute), until: time.Now().Add(time.Minute)}
					cli.keys.wake()
				})
				beg := time.Now()
				must.Eq(t, tcs.want, cli.AwaitHold(ctx, &controlpb.Shard{Partition: 3, Token: 7}))
				must.Eq(t, time.Second, time.Since(beg))
			})
		})
	}
}
