package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// TestPlannedStop guards against a planned stop that interrupts a request, or that sends new requests to the server
// after 3 s.
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
				rgg.ses.onRelease = rgg.grantAway
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			trf := &traffic{rig: rgg}
			trf.start(ctx, 4)
			time.Sleep(300 * time.Millisecond)
			begin := time.Now()
			stopped := make(chan error, 1)
			go func() { stopped <- rgg.srv.Stop(ctx) }()
			rgg.awaitState(t, controlpb.UpstreamState_UPSTREAM_STATE_DRAINING, time.Second)
			if tcs.moves {
				rgg.ses.change(func() { releaseAll(rgg.ses) })
				must.NoError(t, <-stopped)
				t.Logf("the server could stop after %v", time.Since(begin).Round(time.Millisecond))
			}
			time.Sleep(tcs.wait - time.Since(begin))
			rows := rgg.srv.Ledger(0, 10_000)
			time.Sleep(300 * time.Millisecond)
			must.Eq(t, len(rows), len(rgg.srv.Ledger(0, 10_000)), must.Sprint("requests ran after the limit"))
			cancel()
			trf.wait.Wait()
			must.Eq(t, 0, trf.interrupted.Load())
			must.Eq(t, trf.complete.Load(), int64(len(rows)))
		})
	}
}

// grantAway makes control grant the released rows to another session.
func (rgg *rig) grantAway(refs []*controlpb.ShardRef) {
	rgg.ses.change(func() {
		for _, ref := range refs {
			rgg.ses.rows[partName(ref.GetPartition())].Owner = peerNode
		}
	})
}

// traffic sends requests without a pause and counts their outcomes.
type traffic struct {
	*rig
	wait        sync.WaitGroup
	number      atomic.Uint64
	complete    atomic.Int64
	interrupted atomic.Int64
}

func (trf *traffic) start(ctx context.Context, callers int) {
	for range callers {
		trf.wait.Go(func() {
			for ctx.Err() == nil {
				num := trf.number.Add(1)
				_, err := trf.call(context.WithoutCancel(ctx), siskinrill.NewAttempt(open(num, keyText(int(num%8))), nil))
				switch {
				case err == nil:
					trf.complete.Add(1)
				case !refusalOf(err).NotRun():
					trf.interrupted.Add(1)
				default:
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}

// TestStopSteps guards against a stop that refuses requests waiting for a slot too early, or that leaves requests
// that have not started waiting until their deadlines.
func TestStopSteps(t *testing.T) {
	const run = 100 * time.Millisecond
	tests := map[string]struct {
		dismiss bool
		upload  bool // the second request is an upload whose body stalls, and does not wait for the slot
		reason  siskinrill.Reason
	}{
		"waits for the slot":            {},
		"waits for the slot, dismissed": {dismiss: true, reason: siskinrill.ReasonDraining},
		"waits for its body, dismissed": {dismiss: true, upload: true, reason: siskinrill.ReasonDraining},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				var runs atomic.Int32
				bnc.bck.do = runAfterBody(run, &runs)
				beg := time.Now()
				first := bnc.start(t.Context(), open(1, "ab"))
				synctest.Wait()
				var second <-chan error
				if tcs.upload {
					second = bnc.upload(t.Context(), 2, &fakeLink{}, 200<<10, func(opn *peerpb.Open, bdy *linkBody) { bdy.stallAt, opn.TimeoutMs = 100<<10, 12_000 })
				} else {
					second = bnc.start(t.Context(), open(2, "ab"))
				}
				synctest.Wait()
				bnc.own.Close()
				must.Eq(t, siskinrill.ReasonDraining, refusalOf(<-bnc.start(t.Context(), open(3, "ab"))).Reason())
				if tcs.dismiss {
					bnc.own.RefuseQueued()
				}
				must.NoError(t, <-first)
				err := <-second
				if tcs.reason == "" {
					must.NoError(t, err)
					must.Eq(t, 2*run, time.Since(beg))
					return
				}
				must.Eq(t, tcs.reason, refusalOf(err).Reason())
				must.True(t, refusalOf(err).NotRun())
				must.LessEq(t, run, time.Since(beg))
				must.Eq(t, 1, runs.Load())
			})
		})
	}
}

// TestStopMissesWaiting guards against a stop that considers an agent idle while a request waits for its key, and
// interrupts its run.
func TestStopMissesWaiting(t *testing.T) {
	for name, dismiss := range map[string]bool{"the key arrives": false, "dismissed": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				var runs atomic.Int32
				bnc.bck.do = runAfterBody(0, &runs)
				bnc.bck.noKeys.Store(true)
				req := bnc.start(t.Context(), open(1, "ab"))
				synctest.Wait()
				bnc.own.Close()
				must.Eq(t, 1, bnc.own.Attempts())
				must.False(t, bnc.own.Idle())
				if dismiss {
					bnc.own.RefuseQueued()
					must.True(t, refusalOf(<-req).NotRun())
				} else {
					bnc.bck.noKeys.Store(false)
					must.NoError(t, <-req)
				}
				must.Eq(t, 0, bnc.own.Attempts())
				must.Eq(t, !dismiss, runs.Load() == 1)
			})
		})
	}
}
