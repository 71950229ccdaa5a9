package owner

import (
	"context"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
)

// Run watches the ownership rows, releases moved shards, and drops expired records, until the context ends.
func (own *Owner) Run(ctx context.Context) error {
	own.ses.SetLoadSource(own)
	changed := make(chan struct{}, 1)
	granted := make(chan struct{}, 1)
	go own.watchTables(ctx, changed, granted)
	go own.reportOwnership(ctx, granted)
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	swept := time.Now()
	rowsChanged := true
	for {
		own.step(ctx, rowsChanged)
		if time.Since(swept) >= sweepInterval {
			swept = time.Now()
			own.sweep(swept)
		}
		rowsChanged = false
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			rowsChanged = true
		case <-own.wake:
		case <-tck.C:
		}
	}
}

// watchTables signals each change of the agent's copy of the tables to all channels.
func (own *Owner) watchTables(ctx context.Context, outs ...chan<- struct{}) {
	for {
		ver := own.ses.Version()
		for _, out := range outs {
			select {
			case out <- struct{}{}:
			default:
			}
		}
		if own.ses.Await(ctx, ver) != nil && !sleep(ctx, tickInterval) {
			return
		}
	}
}

// step updates sessions, slots and drain, and releases rows after a change or while moves are in progress.
func (own *Owner) step(ctx context.Context, rowsChanged bool) {
	own.recordSession()
	own.refresh()
	own.refuseAfterGrace()
	if !rowsChanged && !own.moving() {
		return
	}
	own.release(ctx, own.ses.Owned())
}

// reportOwnership reports grants and revocations to the backend server. It runs in its own goroutine, because a slow
// server must not delay a release.
func (own *Owner) reportOwnership(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			rows := own.ses.Owned()
			own.reportGrants(ctx, rows)
			own.reportRevocations(ctx, rows)
			own.fch.forget(rows)
		}
	}
}

// refresh updates slots, warm-up and drain, and lets waiting attempts use a limit that has risen.
func (own *Owner) refresh() {
	slots := own.slots()
	remaining, known := own.warmup()
	draining := own.ses.Draining()
	adv, lmt := own.bck.Advice(), own.bck.StartLimit()
	own.mu.Lock()
	defer own.mu.Unlock()
	own.lim.setSlots(slots)
	if known {
		own.lim.setWarmup(remaining)
	}
	own.starts.set(lmt)
	own.assignSlots()
	// Another agent may have known of the drain before this one restarted.
	start := boottime.Mark().Add(-time.Duration(adv.GetLeavingMs()) * time.Millisecond)
	if draining && (!own.draining || start.Mono().Before(own.drainStart.Mono())) {
		own.drainStart = start
	}
	own.draining = draining
}

// refuseAfterGrace refuses all attempts that wait for slots or for their bodies once the grace of a drain is over. They
// could not start any more, and other upstreams may have room for them.
func (own *Owner) refuseAfterGrace() {
	if !own.drainGraceOver() {
		return
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, tck := range slices.Collect(own.queued()) {
		own.refuseWaiting(tck, siskinrill.ReasonDraining)
	}
}

func (own *Owner) sweep(now time.Time) {
	own.cps.sweep(now)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.past.sweep(now)
	own.whe.sweep(own, now)
}
