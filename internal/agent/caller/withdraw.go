package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// A withdrawal waits at most this long for a running attempt, so that the next one detects an unresponsive connection.
const maxWithdrawWait = time.Second

// resolveLost queries the owner about an attempt whose answer was lost, until the owner knows the outcome or
// time runs out.
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

// withdrawnReason returns the reason of a refusal whose attempt has been withdrawn. One that is not about the lost answer is
// kept, for example a deadline or a body that is too long, because a retry does not help then.
func withdrawnReason(ref *siskinrill.Refusal) siskinrill.Reason {
	switch ref.Reason() {
	case siskinrill.ReasonConnectionLost, siskinrill.ReasonInternal, siskinrill.ReasonUnreachable:
		return siskinrill.ReasonWithdrawn
	}
	return ref.Reason()
}

// recordedAnswer returns the answer recorded by the owner, or the refusal if the record is incomplete.
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

// ownerGone reports whether the owner's session has ended, so that the outcome of the attempt cannot be determined.
func (cal *call) ownerGone(tgt target) bool {
	return cal.han.session.Node(tgt.shard.GetOwner()) == nil
}

// sleep pauses and reports whether the context is still active.
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
