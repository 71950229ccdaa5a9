package owner

import (
	"context"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// maxWithdrawWait bounds the wait for a running attempt.
const maxWithdrawWait = 30 * time.Second

// Withdraw cancels an attempt that has not started, or returns its outcome; it waits up to req.WaitMs for a running
// one.
func (own *Owner) Withdraw(ctx context.Context, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error) {
	own.recordSession()
	rec, ans := own.withdraw(req)
	if rec == nil {
		return ans, nil
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxWithdrawWait)
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	select {
	case <-rec.done:
		return own.endedRecordAnswer(rec), nil
	case <-tmr.C:
	case <-ctx.Done():
	}
	return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_RUNNING), nil
}

// withdraw returns the answer, or the record of a running attempt to wait for.
func (own *Owner) withdraw(req *peerpb.WithdrawRequest) (*record, *peerpb.WithdrawAnswer) {
	own.mu.Lock()
	defer own.mu.Unlock()
	idt := idOf(req.GetAttempt())
	rec := own.records[idt]
	switch {
	case rec == nil:
		return nil, own.withdrawAbsent(idt, req.GetOwnerSession())
	case rec.phase == phaseDone:
		return nil, endedAnswer(rec)
	case rec.phase == phaseQueued:
		return nil, own.withdrawQueued(rec)
	}
	if rec.done == nil {
		rec.done = make(chan struct{})
	}
	return rec, nil
}

// withdrawAbsent leaves a tombstone for an attempt that has not arrived. Only the session that it was sent to can
// prove that it will never run.
func (own *Owner) withdrawAbsent(idt attemptID, ses uint64) *peerpb.WithdrawAnswer {
	out, ok := own.past.find(idt)
	if ok && out == peerpb.Outcome_OUTCOME_NOT_RUN {
		return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN)
	}
	if ok || !slices.Contains(own.sessions, ses) {
		return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN)
	}
	if !own.flt.noTombstone {
		own.past.add(idt, peerpb.Outcome_OUTCOME_NOT_RUN)
	}
	return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN)
}

// withdrawQueued cancels a waiting attempt. One that waits for another with the same Idempotency-Key proves nothing
// about that one.
func (own *Owner) withdrawQueued(rec *record) *peerpb.WithdrawAnswer {
	rec.withdrawn = true
	ref := siskinrill.NotRun(siskinrill.ReasonWithdrawn)
	if rec.duplicate {
		ref = siskinrill.Unknown(siskinrill.ReasonWithdrawn, nil)
	}
	rec.tck.dequeue()
	rec.tck.signal(ref)
	if rec.duplicate {
		return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN)
	}
	return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN)
}

func (own *Owner) endedRecordAnswer(rec *record) *peerpb.WithdrawAnswer {
	own.mu.Lock()
	defer own.mu.Unlock()
	return endedAnswer(rec)
}

func endedAnswer(rec *record) *peerpb.WithdrawAnswer {
	switch rec.outcome {
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN)
	case peerpb.Outcome_OUTCOME_COMPLETE:
		ans := withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_DONE)
		ans.Response = rec.kept
		return ans
	default:
		return withdrawAnswer(peerpb.WithdrawResult_WITHDRAW_RESULT_UNKNOWN)
	}
}

func withdrawAnswer(res peerpb.WithdrawResult) *peerpb.WithdrawAnswer {
	return &peerpb.WithdrawAnswer{Result: res}
}
