package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestPlannedStop guards against a planned stop that interrupts a request, or leaves the server with new work after 3 s.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		moves bool // control moves the shards away
		wait  time.Duration
	}{
		"moved":     {moves: true, wait: 2 * time.Second},
		"not moved": {wait: 3 * time.Second},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rgg := newRig(t, standin.Options{Slots: 4, Median: 150 * time.Millisecond})
			if tcs.moves {
				rgg.ses.onRel = rgg.grantAway
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			trf := &traffic{rig: rgg}
			trf.start(ctx, 4)
			time.Sleep(300 * time.Millisecond)
			begin := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- rgg.srv.Stop(ctx) }()
			rgg.await(t, controlpb.UpstreamState_UPSTREAM_STATE_DRAINING, time.Second)
			if tcs.moves {
				rgg.ses.change(func() { releaseAll(rgg.ses) })
				must.NoError(t, <-stopped)
				t.Logf("the server could stop after %v", time.Since(begin).Round(time.Millisecond))
			}
			time.Sleep(tcs.wait - time.Since(begin))
			rows := rgg.srv.Ledger(0, 10_000)
			time.Sleep(300 * time.Millisecond)
			must.Eq(t, len(rows), len(rgg.srv.Ledger(0, 10_000)), must.Sprint("new work after the limit"))
			cancel()
			trf.wait.Wait()
			must.SliceEmpty(t, trf.interrupted)
			must.Eq(t, trf.complete, len(rows))
		})
	}
}

// grantAway lets control grant the released rows to another session.
func (rgg *rig) grantAway(refs []*controlpb.ShardRef) {
	rgg.ses.change(func() {
		for _, ref := range refs {
			rgg.ses.rows[partName(ref.GetPartition())].Owner = peerNode
		}
	})
}

// traffic sends requests without a pause and sorts what became of them.
type traffic struct {
	*rig
	wait        sync.WaitGroup
	mu          sync.Mutex
	number      uint64
	complete    int
	interrupted []string
}

func (trf *traffic) start(ctx context.Context, callers int) {
	for range callers {
		trf.wait.Go(func() {
			for ctx.Err() == nil {
				trf.once()
			}
		})
	}
}

func (trf *traffic) once() {
	trf.mu.Lock()
	trf.number++
	num := trf.number
	trf.mu.Unlock()
	_, err := trf.call(context.Background(), siskinrill.NewAttempt(open(num, keyText(int(num%8))), nil))
	trf.mu.Lock()
	defer trf.mu.Unlock()
	switch {
	case err == nil:
		trf.complete++
	case !refusalOf(err).NotRun():
		trf.interrupted = append(trf.interrupted, err.Error())
	default:
		time.Sleep(time.Millisecond)
	}
}
