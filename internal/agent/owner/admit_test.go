package owner

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// TestQueue guards against a queue that is unbounded, not ordered by deadline, or runs requests that are past their
// deadlines.
func TestQueue(t *testing.T) {
	bubble(t, 1, func(t *testing.T, bnc *bench) {
		var order []uint64
		runs := 0
		slow := runFor(100*time.Millisecond, &runs)
		bnc.bck.do = func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
			order = append(order, att.Open().GetAttempt().GetCounter())
			return slow(ctx, att, grt)
		}
		outs := map[uint64]<-chan error{0: bnc.takeOnlySlot(t.Context())}
		for num, timeout := range []uint32{2000, 900, 150, 1500} {
			opn := open(uint64(num+1), "ab")
			opn.TimeoutMs = timeout
			outs[uint64(num+1)] = bnc.start(t.Context(), opn)
		}
		full := <-bnc.start(t.Context(), open(9, "ab"))
		must.Eq(t, siskinrill.ReasonQueueFull, reasonOf(full))
		must.Positive(t, refusalOf(full).RetryAfter())
		rep := bnc.own.Load(time.Second)
		must.Eq(t, []uint32{4, 1}, []uint32{rep.GetQueued(), rep.GetInFlight()})
		must.Eq(t, map[string]uint64{"queue_full": 1}, rep.GetRefusals())
		must.Eq(t, siskinrill.ReasonBackendTimeout, reasonOf(<-outs[3]))
		must.NoError(t, <-outs[1])
		must.Eq(t, []uint64{80, 3, 2, 4, 1}, order)
	})
}

// TestCatchUp guards against refusing a request from an entry that learned of a grant before this agent did.
func TestCatchUp(t *testing.T) {
	tests := map[string]struct {
		delay  time.Duration
		reason siskinrill.Reason
	}{
		"within the limit": {delay: 50 * time.Millisecond},
		"after the limit":  {delay: 150 * time.Millisecond, reason: siskinrill.ReasonWrongOwner},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				opn := open(1, "ab")
				opn.Token = 101
				out := bnc.start(t.Context(), opn)
				time.Sleep(tcs.delay)
				bnc.ses.change(func() { bnc.ses.rows[partName(opn.Partition)].Token = 101 })
				must.Eq(t, tcs.reason, reasonOf(<-out))
			})
		})
	}
}

// TestBounds guards against memory use that grows with the number of requests.
func TestBounds(t *testing.T) {
	tests := map[string]struct {
		edit func(opt *Options)
		idem bool
	}{
		"attempt records":     {edit: func(opt *Options) { opt.MaxRecords = 3 }},
		"idempotency records": {edit: func(opt *Options) { opt.MaxIdempotency = 3 }, idem: true},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				tcs.edit(&bnc.own.opt)
				for num := range uint64(5) {
					opn := open(num+1, "ab")
					if tcs.idem {
						opn.IdempotencyKey = keyText(int(num))
					}
					_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(opn, nil))
					must.Eq(t, num >= 3, reasonOf(err) == siskinrill.ReasonRecordsFull)
				}
				time.Sleep(11 * time.Minute)
				_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(open(20, "ab"), nil))
				must.NoError(t, err)
				must.MapLen(t, 1, bnc.own.records)
				must.MapEmpty(t, bnc.own.claims)
			})
		})
	}
}

// TestEndedAttemptsAreBounded guards against tombstones that grow without bound, and against claims about attempts whose ids
// were dropped.
func TestEndedAttemptsAreBounded(t *testing.T) {
	pst := newEndedAttempts(10)
	for num := range uint64(100) {
		pst.add(attemptID{entry: 5, counter: num}, notRun)
	}
	must.LessEq(t, 20, len(pst.newer)+len(pst.older))
	for ses := range uint64(maxForgottenSessions + 10) {
		pst.forget(attemptID{entry: 10 + ses, counter: 1})
	}
	must.LessEq(t, maxForgottenSessions, len(pst.forgotten))
	for idt, want := range map[attemptID]struct {
		out  peerpb.Outcome
		seen bool
	}{{5, 3}: {unknown, true}, {5, 99}: {notRun, true}, {6, 1000}: {unknown, true}, {9000, 2}: {unknown, false}} {
		out, seen := pst.find(idt)
		must.Eq(t, want.out, out)
		must.Eq(t, want.seen, seen)
	}
}

// TestRelease guards against a row that is reported as released too early or never, and against lost idempotency
// records.
func TestRelease(t *testing.T) {
	tests := map[string]struct {
		fail  int // number of transfers that fail
		recs  int
		event string
	}{
		"transferred":     {recs: 1},
		"first try fails": {fail: 1, recs: 1, event: "transfer_retried"},
		"all tries fail":  {fail: transferTries, event: "transfer_failed"},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				bnc.fwd.fail = tcs.fail
				runs := 0
				bnc.bck.do = runFor(100*time.Millisecond, &runs)
				opn := open(1, "ab")
				opn.IdempotencyKey = "pay-1"
				running := bnc.start(t.Context(), opn)
				queued := bnc.start(t.Context(), open(2, "ab"))
				bnc.ses.release(partName(opn.Partition))
				must.Eq(t, siskinrill.ReasonMoving, reasonOf(<-queued))
				synctest.Wait()
				must.SliceEmpty(t, bnc.ses.reported())
				must.NoError(t, <-running)
				time.Sleep(450 * time.Millisecond)
				synctest.Wait()
				must.Len(t, 1, bnc.ses.reported())
				must.Len(t, tcs.recs, bnc.fwd.transferred())
				must.Eq(t, tcs.event != "", counter(bnc.cnt, "events", tcs.event) != "")
				must.False(t, bnc.own.Idle())
				bnc.ses.change(func() { clear(bnc.ses.rows) })
				synctest.Wait()
				must.True(t, bnc.own.Idle())
			})
		})
	}
}

// TestTransferredRecord guards against a second run at the next owner after a planned move.
func TestTransferredRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, to := newBench(t.Context(), 1), newBench(t.Context(), 1)
		opn := open(1, "ab")
		opn.IdempotencyKey = "pay-1"
		must.NoError(t, <-from.start(t.Context(), opn))
		from.ses.release(partName(opn.Partition))
		synctest.Wait()
		for ses, kept := range map[uint64]uint32{ownSession: 1, 39: 0} {
			ans, err := to.own.Transfer(t.Context(), &peerpb.TransferRequest{ToSession: ses, Records: from.fwd.transferred()})
			must.NoError(t, err)
			must.Eq(t, kept, ans.GetKept())
		}
		runs := 0
		to.bck.do = runFor(0, &runs)
		again := open(2, "ab")
		again.IdempotencyKey = "pay-1"
		ans, err := to.own.Handle(t.Context(), siskinrill.NewAttempt(again, nil))
		must.NoError(t, err)
		must.Eq(t, "ok", string(ans.Head().GetBody()))
		must.Eq(t, 0, runs)
	})
}

// TestLimit guards against a limit above the number of slots, a skipped ramp, and a limit that ignores a slow or
// shedding server.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := &limiter{ramp: 5 * time.Second}
		lim.setSlots(16)
		must.Eq(t, 4, lim.current())
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, 10, lim.current())
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, 16, lim.current())
		feed := func(lat time.Duration) {
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				lim.observe(lat, lim.current())
			}
		}
		feed(10 * time.Millisecond)
		must.Eq(t, 16, lim.current())
		feed(200 * time.Millisecond)
		must.Less(t, 10, lim.current())
		must.GreaterEq(t, 4, lim.current())
		feed(10 * time.Millisecond)
		feed(10 * time.Millisecond)
		must.Eq(t, 16, lim.current())
		for range 10 {
			lim.shed()
		}
		must.Less(t, 8, lim.current())
		lim.setSlots(0)
		must.Eq(t, 0, lim.current())
		lim.setSlots(16)
		must.Eq(t, 4, lim.current())
	})
}

// TestWarmUp guards against limiting a warm server to a quarter of its slots for seconds because its agent has
// restarted, and against giving a cold server all slots immediately.
func TestWarmUp(t *testing.T) {
	for nam, tcs := range map[string]struct {
		left        time.Duration
		first, half int
	}{
		"warm": {first: 16, half: 16},
		"cold": {left: 2 * time.Second, first: 4, half: 10},
	} {
		t.Run(nam, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lim := &limiter{ramp: 5 * time.Second}
				end := time.Now().Add(tcs.left)
				lim.setSlots(16)
				lim.setWarmup(time.Until(end))
				must.Eq(t, tcs.first, lim.current())
				time.Sleep(time.Second)
				lim.setWarmup(time.Until(end))
				must.Eq(t, tcs.half, lim.current())
				time.Sleep(time.Second)
				lim.setWarmup(time.Until(end))
				must.Eq(t, 16, lim.current())
			})
		})
	}
}

// TestLoad guards against load figures that miss requests or report a cold key as hot.
func TestLoad(t *testing.T) {
	bubble(t, 4, func(t *testing.T, bnc *bench) {
		runs := 0
		bnc.bck.do = runFor(10*time.Millisecond, &runs)
		for num, key := range []string{"ab", "ab", "ab", "cd", "cd", "ef"} {
			must.NoError(t, <-bnc.start(t.Context(), open(uint64(num+1), key)))
		}
		rep := bnc.own.Load(time.Second)
		must.Eq(t, []uint32{6, 60, 4}, []uint32{rep.GetRequests(), rep.GetBusyMs(), rep.GetLimit()})
		must.Len(t, 2, rep.GetHotKeys())
		must.Eq(t, []any{"ab", uint32(3)}, []any{rep.GetHotKeys()[0].GetShard().GetKey(), rep.GetHotKeys()[0].GetRequests()})
		sum := uint32(0)
		for _, sld := range rep.GetShards() {
			sum += sld.GetRequests()
		}
		must.Eq(t, 6, sum)
		must.Eq(t, 0, bnc.own.Load(time.Second).GetRequests())
	})
}

// TestSketch guards against losing a hot key among many cold ones.
func TestSketch(t *testing.T) {
	skt := newSketch()
	for num := range 20_000 {
		skt.add("cold-"+strings.Repeat("x", num%500), 0)
		if num%20 == 0 {
			skt.add("hot", 1)
		}
	}
	must.Len(t, sketchCounters, skt.counters)
	must.MapContainsKey(t, skt.byKey, "hot")
	cnt := skt.byKey["hot"]
	must.GreaterEq(t, 1000, cnt.count)
	must.LessEq(t, 1000, cnt.count-cnt.maxError)
}

// TestStreamedAnswer guards against losing an answer whose caller disconnects midway, and against releasing the slot
// too early.
func TestStreamedAnswer(t *testing.T) {
	bubble(t, 1, func(t *testing.T, bnc *bench) {
		bnc.bck.do = func(ctx context.Context, _ *siskinrill.Attempt, _ siskinrill.Grant) (*siskinrill.Answer, error) {
			return siskinrill.NewAnswer(&peerpb.Response{Status: 200, BodyLength: -1}, &slowBody{ctx: ctx, done: func() {}}), nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		ans, err := bnc.own.Handle(ctx, siskinrill.NewAttempt(open(1, "ab"), nil))
		must.NoError(t, err)
		must.Eq(t, 1, bnc.own.Load(time.Second).GetInFlight())
		cancel()
		must.NoError(t, ans.Close())
		wth, err := bnc.own.Withdraw(t.Context(), withdrawal(1, 1000))
		must.NoError(t, err)
		must.Eq(t, peerpb.WithdrawResult_WITHDRAW_RESULT_DONE, wth.GetResult())
		must.Eq(t, "partpartpart", string(wth.GetResponse().GetBody()))
		must.Eq(t, 0, bnc.own.Load(time.Second).GetInFlight())
	})
}

// TestGrantsFirst guards against a request that reaches the backend server before the grant of its shard.
func TestGrantsFirst(t *testing.T) {
	bubble(t, 1, func(t *testing.T, bnc *bench) {
		synctest.Wait()
		bnc.bck.grantDelay = 100 * time.Millisecond
		bnc.ses.change(func() { bnc.ses.rows[partName(open(1, "ab").GetPartition())].Token = 101 })
		opn := open(1, "ab")
		opn.Token = 101
		begin := time.Now()
		must.NoError(t, <-bnc.start(t.Context(), opn))
		must.Eq(t, 100*time.Millisecond, time.Since(begin))
		opn.Attempt.Counter = 2
		must.NoError(t, <-bnc.start(t.Context(), opn))
		must.Eq(t, 100*time.Millisecond, time.Since(begin))
	})
}
