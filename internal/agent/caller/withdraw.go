package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// One withdrawal waits this long at most for a running attempt, so that a new one finds a silent connection.
const maxWithdrawWait = time.Second

// resolveLost asks the owner what became of an attempt whose answer was lost, until it knows or the time is up.
func (cal *call) resolveLost(ctx context.Context, tgt target, aid *peerpb.AttemptId, ref *siskinrill.Refusal) (*siskinrill.Answer, *siskinrill.Refusal) {
	cal.han.counters.Event("withdraw")
	cal.progress.setStage(stageSettle)
	ctx, cancel := cal.han.attemptContext(ctx, cal.deadline.Add(cal.han.opt.Grace))
	defer cancel()
	pause := cal.han.opt.Poll
	for ctx.Err() == nil {
		ans, err := cal.withdraw(ctx, tgt, aid, time.Until(cal.deadline))
		if err != nil {
			if cal.ownerGone(tgt) || !sleep(ctx, pause) {
				return nil, ref
			}
			pause = min(2*pause, 16*cal.han.opt.Poll)
			continue
		}
		switch ans.GetResult() {
		case peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN:
			return nil, siskinrill.NewRefusal(withdrawnReason(ref), peerpb.Outcome_OUTCOME_NOT_RUN, ref)
		case peerpb.WithdrawResult_WITHDRAW_RESULT_DONE:
			return recordedAnswer(ans, ref)
		case peerpb.WithdrawResult_WITHDRAW_RESULT_RUNNING:
			if time.Until(cal.deadline) <= 0 || !sleep(ctx, cal.han.opt.Poll) {
				return nil, ref
			}
		default:
			return nil, ref
		}
	}
	return nil, ref
}

// withdrawnReason keeps the deadline as the reason, for which no retry helps.
func withdrawnReason(ref *siskinrill.Refusal) siskinrill.Reason {
	if ref.Reason() == siskinrill.ReasonDeadline || ref.Reason() == siskinrill.ReasonCallerGone {
		return ref.Reason()
	}
	return siskinrill.ReasonWithdrawn
}

// recordedAnswer returns the answer that the owner kept.
func recordedAnswer(ans *peerpb.WithdrawAnswer, ref *siskinrill.Refusal) (*siskinrill.Answer, *siskinrill.Refusal) {
	rsp := ans.GetResponse()
	if rsp == nil || !rsp.GetBodyEnd() {
		return nil, ref
	}
	return siskinrill.NewAnswer(rsp, nil), nil
}

func (cal *call) withdraw(ctx context.Context, tgt target, aid *peerpb.AttemptId, wait time.Duration) (*peerpb.WithdrawAnswer, error) {
	req := &peerpb.WithdrawRequest{
		Attempt:      aid,
		OwnerSession: tgt.shard.GetOwner(),
		WaitMs:       uint32(max(0, min(wait, maxWithdrawWait)).Milliseconds()),
	}
	if tgt.address == "" {
		return cal.han.owner.Withdraw(ctx, req)
	}
	return cal.han.forwarder.Withdraw(ctx, tgt.address, req)
}

// ownerGone reports whether the owner's session is over, so that nobody knows what became of the attempt.
func (cal *call) ownerGone(tgt target) bool {
	return cal.han.session.Node(tgt.shard.GetOwner()) == nil
}

// withdrawQueued withdraws a queued attempt whose caller is gone; one that has started is left to finish.
func (cal *call) withdrawQueued(ctx context.Context, tgt target, aid *peerpb.AttemptId) {
	ctx, cancel := context.WithTimeout(ctx, maxWithdrawWait)
	defer cancel()
	_, _ = cal.withdraw(ctx, tgt, aid, 0)
}

// sleep pauses and reports whether the context still runs.
func sleep(ctx context.Context, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}
