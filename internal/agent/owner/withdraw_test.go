package owner

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// runFor returns a backend server that runs each request for the given time and counts them.
func runFor(dur time.Duration, runs *int) func(context.Context, *siskinrill.Attempt, siskinrill.Grant) (*siskinrill.Answer, error) {
	return func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
		*runs++
		if att.Body() != nil {
			_, _ = io.Copy(io.Discard, att.Body())
		}
		select {
		case <-time.After(dur):
			return answerOK(ctx, att, grt)
		case <-ctx.Done():
			return nil, siskinrill.Unknown(siskinrill.ReasonBackendTimeout, ctx.Err())
		}
	}
}

// start handles an attempt in the background and sends its error, nil for an answer, once it has ended; an
// incomplete body is streamed.
func (bnc *bench) start(ctx context.Context, opn *peerpb.Open) <-chan error {
	att := siskinrill.NewAttempt(opn, nil)
	if !opn.BodyEnd {
		att = siskinrill.NewAttempt(opn, iotest.OneByteReader(bytes.NewReader(opn.Body)))
		opn.Body, opn.BodyLength = nil, -1
	}
	out := make(chan error, 1)
	go func() {
		_, err := bnc.own.Handle(ctx, att)
		out <- err
	}()
	synctest.Wait()
	return out
}

func reasonOf(err error) siskinrill.Reason {
	if err == nil {
		return ""
	}
	return refusalOf(err).Reason()
}

// TestWithdraw guards against reporting a request as not run that ran or may still run.
func TestWithdraw(t *testing.T) {
	type state struct {
		*bench
		runs int
		out  <-chan error
	}
	tests := map[string]struct {
		before func(ctx context.Context, sta *state)
		wait   uint32
		other  bool // withdrawn at another session
		want   peerpb.WithdrawResult
		kept   bool
		reason siskinrill.Reason // of the attempt, or of its delayed arrival
		runs   int
	}{
		"never arrived":   {want: peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN, reason: siskinrill.ReasonWithdrawn},
		"other session":   {other: true, want: peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN, runs: 1},
		"queued":          {before: func(ctx context.Context, sta *state) { sta.takeOnlySlot(ctx); sta.out = sta.start(ctx, open(1, "ab")) }, want: peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN, reason: siskinrill.ReasonWithdrawn, runs: 1},
		"running":         {before: func(ctx context.Context, sta *state) { sta.out = sta.start(ctx, open(1, "ab")) }, want: peerpb.WithdrawResult_WITHDRAW_RESULT_RUNNING, runs: 1},
		"running, waited": {before: func(ctx context.Context, sta *state) { sta.out = sta.start(ctx, open(1, "ab")) }, wait: 200, want: peerpb.WithdrawResult_WITHDRAW_RESULT_DONE, kept: true, runs: 1},
		"done": {before: func(ctx context.Context, sta *state) {
			sta.out = sta.start(ctx, open(1, "ab"))
			time.Sleep(time.Second)
		}, want: peerpb.WithdrawResult_WITHDRAW_RESULT_DONE, kept: true, runs: 1},
		"forgotten": {before: func(ctx context.Context, sta *state) {
			sta.out = sta.start(ctx, open(1, "ab"))
			time.Sleep(2 * time.Minute)
		}, want: peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN, runs: 1},
		"older than a dropped attempt": {before: func(ctx context.Context, sta *state) { <-sta.start(ctx, open(9, "ab")); time.Sleep(2 * time.Minute) }, want: peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN, reason: siskinrill.ReasonDuplicateAttempt, runs: 1},
		"waits for the same Idempotency-Key": {before: func(ctx context.Context, sta *state) {
			for _, num := range []uint64{80, 1} {
				opn := open(num, "ab")
				opn.IdempotencyKey = "pay-1"
				sta.out = sta.start(ctx, opn)
			}
		}, want: peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN, reason: siskinrill.ReasonWithdrawn, runs: 1},
		"caller gone": {before: func(ctx context.Context, sta *state) {
			ctx, cancel := context.WithCancel(ctx)
			out := sta.start(ctx, open(1, "ab"))
			cancel()
			<-out
		}, wait: 200, want: peerpb.WithdrawResult_WITHDRAW_RESULT_DONE, kept: true, reason: siskinrill.ReasonDuplicateAttempt, runs: 1},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sta := &state{bench: newBench(t.Context(), 1)}
				sta.bck.do = runFor(100*time.Millisecond, &sta.runs)
				synctest.Wait()
				if tcs.before != nil {
					tcs.before(t.Context(), sta)
				}
				req := withdrawal(1, tcs.wait)
				if tcs.other {
					req.OwnerSession = 39
				}
				ans, err := sta.own.Withdraw(t.Context(), req)
				must.NoError(t, err)
				must.Eq(t, tcs.want, ans.GetResult())
				must.Eq(t, tcs.kept, ans.GetResponse() != nil)
				if sta.out == nil {
					sta.out = sta.start(t.Context(), open(1, "ab"))
				}
				must.Eq(t, tcs.reason, reasonOf(<-sta.out))
				time.Sleep(time.Second)
				must.Eq(t, tcs.runs, sta.runs)
			})
		})
	}
}

// takeOnlySlot starts a request that takes the only slot.
func (bnc *bench) takeOnlySlot(ctx context.Context) <-chan error {
	return bnc.start(ctx, open(80, "ab"))
}

// TestIdempotencyKey guards against a second run, and against the answer to another request.
func TestIdempotencyKey(t *testing.T) {
	idem := func(num uint64, stream bool) *peerpb.Open {
		opn := open(num, "ab")
		opn.IdempotencyKey, opn.Body, opn.BodyEnd = "pay-1", []byte("12 rupees"), !stream
		return opn
	}
	tests := map[string]struct {
		edit   func(opn *peerpb.Open) // changes the second request
		pause  time.Duration          // time between the two requests
		size   int                    // size of the first answer's body
		fail   bool                   // the first request ends with an unknown outcome
		shed   bool                   // the first request is shed
		reason siskinrill.Reason
		not    bool // the refusal proves that the request did not run
		runs   int
		stream bool // both bodies are streamed
	}{
		"same streamed body":              {stream: true, pause: time.Second, runs: 1},
		"other streamed body":             {stream: true, edit: func(opn *peerpb.Open) { opn.Body = []byte("12 rupiah") }, pause: time.Second, reason: siskinrill.ReasonIdempotencyKeyReused, not: true, runs: 1},
		"idempotent kind":                 {edit: func(opn *peerpb.Open) { opn.Kind = 0 }, runs: 2},
		"same request":                    {pause: time.Second, runs: 1},
		"while the first runs":            {runs: 1},
		"other body":                      {edit: func(opn *peerpb.Open) { opn.Body = []byte("13 rupees") }, pause: time.Second, reason: siskinrill.ReasonIdempotencyKeyReused, not: true, runs: 1},
		"other body while the first runs": {edit: func(opn *peerpb.Open) { opn.Body = []byte("13 rupees") }, reason: siskinrill.ReasonIdempotencyKeyReused, not: true, runs: 1},
		"other target":                    {edit: func(opn *peerpb.Open) { opn.Target += "/x" }, pause: time.Second, reason: siskinrill.ReasonIdempotencyKeyReused, not: true, runs: 1},
		"other key":                       {edit: func(opn *peerpb.Open) { opn.Key = "cd"; opn.Partition = 0 }, pause: time.Second, runs: 2},
		"after its time to live":          {pause: 11 * time.Minute, runs: 2},
		"unknown outcome":                 {fail: true, pause: time.Second, reason: siskinrill.ReasonBackendLost, runs: 1},
		"first was not run":               {shed: true, runs: 2},
		"answer of 15 KB":                 {size: 15 << 10, pause: time.Second, runs: 1},
		"answer of 17 KB":                 {size: 17 << 10, pause: time.Second, reason: siskinrill.ReasonAnswerNotKept, runs: 1},
		"deadline while it waits":         {edit: func(opn *peerpb.Open) { opn.TimeoutMs = 50 }, reason: siskinrill.ReasonDeadlineInQueue, runs: 1},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 4, func(t *testing.T, bnc *bench) {
				runs := 0
				slow := runFor(100*time.Millisecond, &runs)
				bnc.bck.do = func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
					ans, err := slow(ctx, att, grt)
					switch {
					case tcs.fail:
						return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, nil)
					case tcs.shed && runs == 1:
						return nil, siskinrill.NotRun(siskinrill.ReasonBackendShed)
					case tcs.size > 0:
						ans.Head().Body = make([]byte, tcs.size)
					}
					return ans, err
				}
				first := bnc.start(t.Context(), idem(1, tcs.stream))
				time.Sleep(tcs.pause)
				opn := idem(2, tcs.stream)
				if tcs.edit != nil {
					tcs.edit(opn)
				}
				err := <-bnc.start(t.Context(), opn)
				<-first
				must.Eq(t, tcs.reason, reasonOf(err))
				if err != nil {
					must.Eq(t, tcs.not, refusalOf(err).NotRun())
				}
				must.Eq(t, tcs.runs, runs)
			})
		})
	}
}
