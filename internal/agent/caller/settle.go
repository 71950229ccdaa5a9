package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// lostAttempt is an attempt of an idempotent request whose answer was lost, so that its owner may know the outcome.
type lostAttempt struct {
	target target
	id     *peerpb.AttemptId
}

// noteUnknown records an attempt of an idempotent request that may have run.
func (cal *call) noteUnknown(tgt target, aid *peerpb.AttemptId, ref *siskinrill.Refusal) {
	if ref == nil || ref.NotRun() {
		return
	}
	cal.unknowns++
	if answerLost(ref.Reason()) {
		cal.lost = append(cal.lost, lostAttempt{target: tgt, id: aid})
	}
}

// settleLost queries the owners of an idempotent request's lost attempts before the request is refused. If none of the
// attempts started, which each owner then prevents, it returns a refusal that proves it, so that the caller may repeat
// the request.
func (cal *call) settleLost(ref *siskinrill.Refusal) *siskinrill.Refusal {
	if cal.atMostOnce() || len(cal.lost) == 0 || len(cal.lost) < cal.unknowns || cal.req.Context().Err() != nil {
		return ref
	}
	cal.progress.setStage(stageSettle)
	ctx, cancel := context.WithTimeout(cal.req.Context(), min(cal.han.opt.Grace, time.Until(cal.deadline)+cal.han.opt.Grace))
	defer cancel()
	defer context.AfterFunc(cal.han.stop.aborted, cancel)()
	for _, att := range cal.lost {
		ans, err := cal.withdraw(ctx, att.target, att.id, 0)
		if err != nil || ans.GetResult() != peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN {
			return ref
		}
	}
	cal.mayHaveRun = false
	if ref.NotRun() {
		return ref
	}
	return siskinrill.NewRefusal(withdrawnReason(ref), peerpb.Outcome_OUTCOME_NOT_RUN, ref)
}
