package owner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// limitedReplay replays arrivals at a server with a rate limit, in synctest's time.
type limitedReplay struct {
	limit   float64       // requests a second
	every   time.Duration // between two arrivals
	run     time.Duration // of a request
	aim     time.Duration // 0: none
	timeout time.Duration
	length  time.Duration
}

// replayedEnd is how a replayed request ended.
type replayedEnd struct {
	took time.Duration
	err  error
}

// play returns the start times of the requests that reached the server, and how all requests ended.
func (rpl limitedReplay) play(t *testing.T, bnc *bench) (starts []time.Duration, ends []replayedEnd) {
	var mu sync.Mutex
	begin := time.Now()
	bnc.bck.do = func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
		mu.Lock()
		starts = append(starts, time.Since(begin))
		mu.Unlock()
		time.Sleep(rpl.run)
		return answerOK(ctx, att, grt)
	}
	var callers sync.WaitGroup
	for num := range int(rpl.length / rpl.every) {
		callers.Go(func() {
			opn := open(uint64(num+1), "ab")
			opn.Kind = uint32(controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT)
			opn.TimeoutMs, opn.AimMs = uint32(rpl.timeout.Milliseconds()), uint32(rpl.aim.Milliseconds())
			beg := time.Now()
			_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(opn, nil))
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, replayedEnd{took: time.Since(beg), err: err})
		})
		time.Sleep(rpl.every)
	}
	callers.Wait()
	return starts, ends
}

// maxStarts returns the largest number of starts in any window of a length.
func maxStarts(starts []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for pos, at := range starts {
		for at-starts[first] >= window {
			first++
		}
		most = max(most, pos-first+1)
	}
	return most
}

// TestStartRate guards against exceeding the rate limit of a backend server, against using less than most of it while
// more requests arrive, and against holding requests that it leaves no room for.
func TestStartRate(t *testing.T) {
	for name, rpl := range map[string]limitedReplay{
		"four times the limit":        {limit: 15, every: 16 * time.Millisecond, run: 65 * time.Millisecond, aim: 200 * time.Millisecond, timeout: 1200 * time.Millisecond, length: 10 * time.Second},
		"slightly more":               {limit: 15, every: 60 * time.Millisecond, run: 65 * time.Millisecond, aim: 200 * time.Millisecond, timeout: 1200 * time.Millisecond, length: 10 * time.Second},
		"long runs":                   {limit: 6, every: 30 * time.Millisecond, run: 400 * time.Millisecond, aim: time.Second, timeout: 6 * time.Second, length: 20 * time.Second},
		"less than a request a time":  {limit: 0.5, every: 100 * time.Millisecond, run: 10 * time.Millisecond, aim: 200 * time.Millisecond, timeout: 2 * time.Second, length: 20 * time.Second},
		"without an aim":              {limit: 15, every: 16 * time.Millisecond, run: 65 * time.Millisecond, timeout: 1200 * time.Millisecond, length: 10 * time.Second},
		"slots are the tighter limit": {limit: 50, every: 10 * time.Millisecond, run: 400 * time.Millisecond, aim: time.Second, timeout: 3 * time.Second, length: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 13, func(t *testing.T, bnc *bench) {
				bnc.ses.svc.QueueLimit = 100
				bnc.bck.advice.Store(&peerpb.Advice{Limited: true, RateLimit: rpl.limit})
				starts, ends := rpl.play(t, bnc)
				for _, window := range []time.Duration{time.Second, 4 * time.Second} {
					allowed := rpl.limit*window.Seconds() + rpl.limit*startBurstTime.Seconds() + 2
					must.LessEq(t, allowed, float64(maxStarts(starts, window)), must.Sprintf("in %s", window))
				}
				possible := min(rpl.limit, 13/rpl.run.Seconds(), 1/rpl.every.Seconds()) * rpl.length.Seconds()
				must.GreaterEq(t, 0.8*possible-1, float64(len(starts)))
				for _, end := range ends {
					if end.err == nil {
						must.LessEq(t, rpl.timeout, end.took)
						continue
					}
					must.True(t, refusalOf(end.err).NotRun())
					must.SliceContains(t, []siskinrill.Reason{siskinrill.ReasonBackendRateLimited, siskinrill.ReasonQueueFull}, reasonOf(end.err))
				}
				atOnce := len(slices.DeleteFunc(slices.Clone(ends), func(end replayedEnd) bool { return end.err == nil || end.took > 0 }))
				refused := len(slices.DeleteFunc(slices.Clone(ends), func(end replayedEnd) bool { return end.err == nil }))
				t.Logf("%d of %d started, %d refused, %d of them at once", len(starts), len(ends), refused, atOnce)
				must.GreaterEq(t, 0.9*float64(refused), float64(atOnce))
			})
		})
	}
}

// TestLimitWhileWaiting guards against requests that wait until their deadlines although a rate limit that was stated in
// the meantime leaves them no start, and against a limit that outlasts its end.
func TestLimitWhileWaiting(t *testing.T) {
	bubble(t, 1, func(t *testing.T, bnc *bench) {
		bnc.ses.svc.QueueLimit = 100
		runs := 0
		bnc.bck.do = runFor(100*time.Millisecond, &runs)
		var outs []<-chan error
		for num := range uint64(10) {
			outs = append(outs, bnc.start(t.Context(), open(num+1, "ab"))) // timeout 2 s
		}
		synctest.Wait()
		bnc.bck.advice.Store(&peerpb.Advice{Limited: true, RateLimit: 2})
		time.Sleep(2 * tickInterval)
		synctest.Wait()
		refused := countRateLimited(t, outs)
		must.Between(t, 4, refused, 7)
		bnc.bck.advice.Store(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		must.Eq(t, 10-refused, runs)
	})
}

// TestStartRateModel guards against more starts than any sequence of limits and arrivals allows.
func TestStartRateModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(0, 0)
		srt := startRate{}
		allowed, started := 0.0, 0
		limit := 0.0
		for step := range rapid.IntRange(1, 200).Draw(rt, "steps") {
			if step == 0 || rapid.IntRange(0, 20).Draw(rt, "change") == 0 {
				limit = rapid.Float64Range(0, 100).Draw(rt, "limit")
				srt.set(siskinrill.StartLimit{Limited: true, PerSecond: limit})
				allowed += max(limit, minStartRate)*startBurstTime.Seconds() + 1
			}
			pause := time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond
			now = now.Add(pause)
			allowed += max(limit, minStartRate) * pause.Seconds()
			for range rapid.IntRange(0, 20).Draw(rt, "arrivals") {
				wait := srt.wait(1, now)
				if srt.ready(now) != (wait == 0) {
					rt.Fatalf("ready %v, wait %s", srt.ready(now), wait)
				}
				if srt.ready(now) {
					srt.take(now)
					started++
				}
			}
			if float64(started) > allowed+1e-6 {
				rt.Fatalf("%d starts, at most %f allowed", started, allowed)
			}
		}
	})
}

// TestColdAmidLoad guards against a cold server that gets more in a second than it tolerates because requests that were sent
// before its agent knew of it do not count, and against a server that gets nothing once they have left the second.
func TestColdAmidLoad(t *testing.T) {
	const limit, learnt = 12.0, 200 * time.Millisecond
	bubble(t, 12, func(t *testing.T, bnc *bench) {
		bnc.ses.svc.QueueLimit = 100
		turns := 3 * time.Second
		time.AfterFunc(turns+learnt, func() {
			bnc.bck.cold.Store(&siskinrill.StartLimit{Limited: true, PerSecond: limit, Cold: 3 * time.Second})
		})
		// 12 slots and runs of 180 ms are 66 requests a second.
		rpl := limitedReplay{every: 12 * time.Millisecond, run: 180 * time.Millisecond, aim: 500 * time.Millisecond, timeout: 4 * time.Second, length: 6 * time.Second}
		starts, _ := rpl.play(t, bnc)
		cold := slices.DeleteFunc(starts, func(at time.Duration) bool { return at < turns })
		t.Logf("most starts in a second: %d", maxStarts(cold, time.Second))
		must.LessEq(t, limit*1.5+8, float64(maxStarts(cold, time.Second)))
		must.GreaterEq(t, 24, len(cold))
	})
}

// TestColdElsewhere guards against requests that a cold server keeps until it is too late for their aims although a warm
// upstream may have room, and against refusing those for which there is no other.
func TestColdElsewhere(t *testing.T) {
	for name, tcs := range map[string]struct {
		before, others bool // the requests wait already when the server is found to be cold; the entry has other upstreams
		cold           time.Duration
		refused        int // of 12, at once
	}{
		"other upstreams":             {others: true, cold: time.Second, refused: 11},
		"no other upstream":           {cold: time.Second},
		"stated limit":                {others: true},
		"waiting, other upstreams":    {before: true, others: true, cold: time.Second, refused: 11},
		"waiting, no other upstreams": {before: true, cold: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				bnc.ses.svc.QueueLimit = 100
				runs := 0
				bnc.bck.do = runFor(50*time.Millisecond, &runs)
				lmt := &siskinrill.StartLimit{Limited: true, PerSecond: 2, Cold: tcs.cold}
				if !tcs.before {
					bnc.bck.cold.Store(lmt)
				}
				var outs []<-chan error
				for num := range uint64(12) {
					opn := open(num+1, "ab")
					opn.TimeoutMs, opn.AimMs, opn.HasAlternatives = 30000, 1000, tcs.others
					outs = append(outs, bnc.start(t.Context(), opn))
				}
				synctest.Wait()
				bnc.bck.cold.Store(lmt)
				time.Sleep(2 * tickInterval)
				synctest.Wait()
				refused := countRateLimited(t, outs)
				must.Between(t, tcs.refused-1, refused, tcs.refused)
				time.Sleep(time.Minute)
				synctest.Wait()
				must.Eq(t, 12-refused, runs)
			})
		})
	}
}

// TestAdviceFromEntry guards against a restarted owner that ignores what the entry of a request knows of its server.
func TestAdviceFromEntry(t *testing.T) {
	bubble(t, 18, func(t *testing.T, bnc *bench) {
		runs := atomic.Int32{}
		bnc.bck.do = func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
			runs.Add(1)
			time.Sleep(time.Second)
			return answerOK(ctx, att, grt)
		}
		for num := range uint64(10) {
			opn := open(num+1, "ab")
			opn.Advice = &peerpb.Advice{Limited: true, RateLimit: 1}
			bnc.start(t.Context(), opn)
		}
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 1, runs.Load())
		time.Sleep(3 * time.Second) // all deadlines have passed
	})
}

// TestDrainCountsSuspension guards against a drain whose grace stands still while the host is suspended, so that the
// server receives requests for longer.
func TestDrainCountsSuspension(t *testing.T) {
	bubble(t, 4, func(t *testing.T, bnc *bench) {
		bnc.ses.change(func() { bnc.ses.drain = true })
		time.Sleep(tickInterval)
		synctest.Wait()
		_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(open(1, "ab"), nil))
		must.NoError(t, err)
		bnc.own.mu.Lock()
		// A suspension moves the time since boot, not the monotonic clock.
		bnc.own.drainStart = boottime.NewInstant(time.Now(), boottime.Now()-drainGrace)
		bnc.own.mu.Unlock()
		_, err = bnc.own.Handle(t.Context(), siskinrill.NewAttempt(open(2, "ab"), nil))
		must.Eq(t, siskinrill.ReasonDraining, reasonOf(err))
	})
}

// TestDrainKnownBefore guards against a restarted owner that counts the grace of a leaving server from its own start.
func TestDrainKnownBefore(t *testing.T) {
	bubble(t, 4, func(t *testing.T, bnc *bench) {
		bnc.bck.advice.Store(&peerpb.Advice{Leaving: true, LeavingMs: uint32(drainGrace.Milliseconds()) - 500})
		bnc.ses.change(func() { bnc.ses.drain = true })
		time.Sleep(tickInterval)
		synctest.Wait()
		_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(open(1, "ab"), nil))
		must.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
		_, err = bnc.own.Handle(t.Context(), siskinrill.NewAttempt(open(2, "ab"), nil))
		must.Eq(t, siskinrill.ReasonDraining, reasonOf(err))
	})
}

// TestNoRateLimit guards against refusals because of a rate limit that the backend server does not state: a request
// without an aim runs although runs of its route take longer than it has left.
func TestNoRateLimit(t *testing.T) {
	bubble(t, 4, func(t *testing.T, bnc *bench) {
		opn := open(1, "ab")
		opn.TimeoutMs = 500
		bnc.own.mu.Lock()
		bnc.own.rts.observe(opn.GetRoute(), time.Second)
		bnc.own.mu.Unlock()
		_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(opn, nil))
		must.NoError(t, err)
	})
}

// TestYieldUnderStartRate guards against less urgent requests that the rate limit of the server will serve last, because they
// yield to the waiting ones, and that are admitted as if they were first.
func TestYieldUnderStartRate(t *testing.T) {
	bubble(t, 4, func(t *testing.T, bnc *bench) {
		own := bnc.own
		own.mu.Lock()
		defer own.mu.Unlock()
		own.starts.set(siskinrill.StartLimit{PerSecond: 10, Limited: true})
		for range 3 {
			own.starts.take(time.Now())
		}
		bnc.urgentCalls(1, 700*ms, 50*ms)
		for num := range uint64(5) {
			tck := bnc.queuedOf(num+1, 0, 50*ms)
			tck.aim = time.Now().Add(650 * ms)
		}
		less := open(9, "ab")
		less.Route, less.Priority, less.TimeoutMs, less.AimMs = "less", 1, 1500, 400
		tck := newTicket(siskinrill.NewAttempt(less, nil))
		must.NotNil(t, own.forecast(tck), must.Sprintf("admitted, starts in %v", own.starts.wait(6, time.Now())))
	})
}

// countRateLimited returns how many of the attempts that have ended were refused, all of them for the rate limit.
func countRateLimited(t *testing.T, outs []<-chan error) int {
	refused := 0
	for _, out := range outs {
		select {
		case err := <-out:
			if err != nil {
				must.Eq(t, siskinrill.ReasonBackendRateLimited, reasonOf(err))
				refused++
			}
		default:
		}
	}
	return refused
}
