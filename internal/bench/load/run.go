package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run sends requests for the configured duration, waits for their answers, checks them against the ledgers and
// returns the report.
func Run(ctx context.Context, opt Options) (*Report, error) {
	opt.setDefaults()
	if err := opt.validate(); err != nil {
		return nil, err
	}
	led := newLedgerReader(opt.Standins, opt.LedgerFiles)
	if err := led.skipEarlier(ctx); err != nil {
		return nil, err
	}
	run := newRunner(&opt)
	run.sendAll(ctx)
	rows, err := led.readNew(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	return newReport(&opt, run.start, run.calls, rows), nil
}

// runner sends requests at their intended times regardless of pending answers (open loop).
type runner struct {
	opt         *Options
	snd         *sender
	gen         *generator
	start       time.Time
	outstanding atomic.Int64
	grp         sync.WaitGroup
	calls       []*call
}

func newRunner(opt *Options) *runner {
	// The random prefix makes request ids unique across runs that use the same ledgers.
	idPrefix := strconv.FormatUint(rand.Uint64(), 36)
	return &runner{opt: opt, snd: newSender(opt), gen: newGenerator(opt, idPrefix)}
}

func (run *runner) sendAll(ctx context.Context) {
	run.start = time.Now()
	for num := 0; ctx.Err() == nil; num++ {
		pln := run.gen.next()
		if pln.due > run.opt.Duration {
			break
		}
		time.Sleep(time.Until(run.start.Add(pln.due)))
		run.dispatch(ctx, num, pln)
	}
	run.grp.Wait()
}

func (run *runner) dispatch(ctx context.Context, num int, pln *plan) {
	cal := &call{plan: pln, intendedAt: run.start.Add(pln.due)}
	run.calls = append(run.calls, cal)
	if run.outstanding.Load() >= int64(run.opt.MaxOutstanding) {
		cal.outcome, cal.reason, cal.endedAt = outcomeNotSent, "max_outstanding", time.Now()
		return
	}
	run.outstanding.Add(1)
	run.grp.Add(1)
	go func() {
		defer run.grp.Done()
		defer run.outstanding.Add(-1)
		run.snd.send(ctx, cal, run.baseURL(num, pln))
		run.resend(ctx, num, cal)
	}()
}

func (run *runner) baseURL(num int, pln *plan) string {
	if pln.direct {
		return run.opt.Direct[num%len(run.opt.Direct)]
	}
	return run.opt.Targets[num%len(run.opt.Targets)]
}

// resend sends a non-idempotent request with an unknown outcome once more, with its Idempotency-Key and to another entry.
func (run *runner) resend(ctx context.Context, num int, cal *call) {
	if !run.opt.ResendUnknown || cal.plan.class.kind != kindNonIdempotent {
		return
	}
	if cal.outcome != outcomeUnknown && cal.outcome != outcomeNoAnswer {
		return
	}
	cal.resends++
	run.snd.send(ctx, cal, run.baseURL(num+1, cal.plan))
	if cal.outcome == outcomeNotRun {
		// The resend did not run, but the first attempt may have.
		cal.outcome = outcomeUnknown
	}
}
