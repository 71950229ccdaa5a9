package owner

import (
	"context"
	"time"
)

// Run follows the ownership rows, releases what moves, and drops expired records, until the context ends.
func (own *Owner) Run(ctx context.Context) error {
	own.ses.SetLoadSource(own)
	changed := make(chan struct{}, 1)
	granted := make(chan struct{}, 1)
	go own.follow(ctx, changed, granted)
	go own.tellAll(ctx, granted)
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	swept := time.Now()
	fresh := true
	for {
		own.step(ctx, fresh)
		if time.Since(swept) >= sweepInterval {
			swept = time.Now()
			own.sweep(swept)
		}
		fresh = false
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			fresh = true
		case <-own.kick:
		case <-tck.C:
		}
	}
}

// follow signals each change of the agent's copy of the tables.
func (own *Owner) follow(ctx context.Context, outs ...chan<- struct{}) {
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

// step does what time or a change of the rows asks for.
func (own *Owner) step(ctx context.Context, fresh bool) {
	own.noteSession()
	own.refresh()
	if !fresh && !own.moving() {
		return
	}
	own.release(ctx, own.ses.Owned())
}

// tellAll tells the backend server of grants and revocations; it runs apart, because a slow server must not delay a release.
func (own *Owner) tellAll(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			rows := own.ses.Owned()
			own.tell(ctx, rows)
			own.untell(ctx, rows)
			own.fch.forget(rows)
		}
	}
}

// refresh follows slots and drain, and lets waiting attempts use a limit that has grown.
func (own *Owner) refresh() {
	slots := own.slots()
	left, told := own.warmup()
	draining := own.ses.Draining()
	own.mu.Lock()
	defer own.mu.Unlock()
	own.lim.setSlots(slots)
	if told {
		own.lim.warm(left)
	}
	own.pump()
	switch {
	case !draining:
		own.drainFrom = time.Time{}
	case own.drainFrom.IsZero():
		own.drainFrom = time.Now()
	}
}

func (own *Owner) sweep(now time.Time) {
	own.cps.sweep(now)
	own.mu.Lock()
	defer own.mu.Unlock()
	own.past.sweep(now)
	own.whe.sweep(own, now)
}
