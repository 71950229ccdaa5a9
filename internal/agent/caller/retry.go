package caller

import (
	"context"
	"io"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// cancelOnCloseBody is the body of an answer; closing it cancels the answer's context.
type cancelOnCloseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body before it cancels the context, so that the end is not taken for a lost connection.
func (bdy *cancelOnCloseBody) Close() error {
	err := bdy.ReadCloser.Close()
	bdy.cancel()
	return err
}

// retryAction is what follows a refusal.
type retryAction int

const (
	noRetry                    retryAction = iota
	retryAfterWait                         // retry after a table update or a pause
	retryWithinBudget                      // retry if the budget allows it
	retryAfterWaitWithinBudget             // both, because the backend server itself received and refused the request
)

// retryActions maps reasons to actions; other reasons allow no retry. Reasons with retryAfterWait prove that
// the owner could not accept the request and cost it nothing, so these retries are limited by time, not by the budget.
var retryActions = map[siskinrill.Reason]retryAction{
	siskinrill.ReasonWrongOwner:         retryAfterWait,
	siskinrill.ReasonMoving:             retryAfterWait,
	siskinrill.ReasonDraining:           retryAfterWait,
	siskinrill.ReasonNoLease:            retryAfterWait,
	siskinrill.ReasonNoOwner:            retryAfterWait,
	siskinrill.ReasonUnreachable:        retryAfterWait,
	siskinrill.ReasonBackendUnreachable: retryAfterWait,
	siskinrill.ReasonNotHeld:            retryAfterWait,
	siskinrill.ReasonBackendFenced:      retryAfterWaitWithinBudget,
	siskinrill.ReasonBackendDeclined:    retryWithinBudget,
	siskinrill.ReasonWithdrawn:          retryWithinBudget,
	siskinrill.ReasonConnectionLost:     retryWithinBudget,
	siskinrill.ReasonBackendLost:        retryWithinBudget,
	siskinrill.ReasonBackendBadAnswer:   retryWithinBudget,
}

// prepareRetry prepares another attempt after a refusal, or returns the refusal for the caller.
func (cal *call) prepareRetry(tgt target, ref *siskinrill.Refusal) *siskinrill.Refusal {
	if !ref.NotRun() {
		cal.mayHaveRun = true
	}
	if err := cal.body.readError(); err != nil {
		return siskinrill.NewRefusal(bodyReason(cal.req.Context(), err), ref.Outcome(), err)
	}
	if cal.atMostOnce() && !ref.NotRun() {
		return ref
	}
	if cal.req.Context().Err() != nil || cal.han.stopping() || !cal.body.prepareResend() {
		return ref
	}
	if cal.tryOtherUpstream(tgt, ref) {
		cal.han.counters.Retried(ref.Reason())
		return nil
	}
	switch retryActions[ref.Reason()] {
	case retryAfterWait:
		cal.tries--
		if final := cal.waitForOwner(tgt, ref); final != nil {
			return final
		}
	case retryAfterWaitWithinBudget:
		if final := cal.spendRetry(ref); final != nil {
			return final
		}
		if final := cal.waitForOwner(tgt, ref); final != nil {
			return final
		}
	case retryWithinBudget:
		if cal.keyless() && ref.NotRun() {
			cal.refusedSessions = append(cal.refusedSessions, tgt.shard.GetOwner())
			if len(cal.candidates()) == 0 {
				cal.refusedSessions = nil
			}
		}
		if final := cal.spendRetry(ref); final != nil {
			return final
		}
	default:
		return ref
	}
	cal.han.counters.Retried(ref.Reason())
	return nil
}

// tryOtherUpstream reports whether another upstream of a service without keys can be tried immediately. The
// backend server of this one has not received the request, so the next attempt does not count as a retry.
func (cal *call) tryOtherUpstream(tgt target, ref *siskinrill.Refusal) bool {
	if !cal.keyless() || !ref.NotRun() {
		return false
	}
	if retryActions[ref.Reason()] != retryAfterWait && !refusedForLoad(ref.Reason()) {
		return false
	}
	cal.noteRefusal(tgt, ref)
	cal.refusedSessions = append(cal.refusedSessions, tgt.shard.GetOwner())
	cnds := cal.candidates()
	if len(cnds) == 0 || refusedForLoad(ref.Reason()) && !cal.mayTryOther(cnds) {
		cal.refusedSessions = nil
		return false
	}
	cal.tries--
	return true
}

// refusedForLoad reports whether an owner refused a request because it has too much work; another may have room.
func refusedForLoad(rsn siskinrill.Reason) bool {
	return rsn == siskinrill.ReasonQueueFull || rsn == siskinrill.ReasonBackendRateLimited
}

// waitForOwner waits for the table version that the owner reported, or for any newer one with a bounded pause.
func (cal *call) waitForOwner(tgt target, ref *siskinrill.Refusal) *siskinrill.Refusal {
	if ref.Version() > tgt.version {
		return cal.await(ref.Version()-1, ref.Reason(), false)
	}
	if ref.Reason() == siskinrill.ReasonMoving {
		// The owner finishes its running requests, so only a newer table helps.
		return cal.await(max(tgt.version, ref.Version()), ref.Reason(), false)
	}
	// Time spent on failed connection attempts counts as waiting for an owner.
	cal.ownerWait += time.Since(cal.attemptStart)
	return cal.await(tgt.version, ref.Reason(), true)
}

// maxTries returns the maximum number of attempts: one more than maxAttempts if no attempt can have run.
func (cal *call) maxTries(ref *siskinrill.Refusal) int {
	if ref.NotRun() && !cal.mayHaveRun {
		return cal.maxAttempts() + 1
	}
	return cal.maxAttempts()
}

// spendRetry takes one retry from the budget, or returns the refusal for the caller.
func (cal *call) spendRetry(ref *siskinrill.Refusal) *siskinrill.Refusal {
	if cal.tries >= cal.maxTries(ref) {
		return ref
	}
	if !cal.han.budgets.take(cal.service.GetName()) {
		cal.han.counters.Event(string(siskinrill.ReasonRetryBudget))
		return ref
	}
	return nil
}

// tryAtMostOnce makes an attempt that must not run twice; if the answer is lost, it withdraws the attempt.
func (cal *call) tryAtMostOnce(tgt target) (*siskinrill.Answer, *siskinrill.Refusal) {
	opn := cal.openMessage(tgt)
	// If the caller disconnects, a request that may have started runs to its end; only a queued attempt is withdrawn.
	detached := context.WithoutCancel(cal.req.Context())
	ctx, cancel := cal.han.attemptContext(detached, cal.attemptEnd(tgt))
	attemptCtx, endAttempt := context.WithCancel(detached)
	unregister := context.AfterFunc(cal.req.Context(), func() {
		cal.han.counters.Event("caller_gone")
		cal.withdrawUntil(attemptCtx, tgt, opn.GetAttempt())
	})
	ans, ref := cal.send(ctx, tgt, opn)
	unregister()
	endAttempt()
	if ref == nil || ref.NotRun() || !answerLost(ref.Reason()) {
		return cancelOnClose(ans, ref, cancel)
	}
	cancel()
	if cal.han.hooks.skipWithdraw {
		return nil, siskinrill.NewRefusal(siskinrill.ReasonWithdrawn, peerpb.Outcome_OUTCOME_NOT_RUN, ref)
	}
	return cal.resolveLost(detached, tgt, opn.GetAttempt(), ref)
}

// attemptEnd returns the time limit of an attempt: a remote owner gets half of the grace to report the outcome,
// the other half remains for a withdrawal.
func (cal *call) attemptEnd(tgt target) time.Time {
	if tgt.address == "" {
		return cal.deadline
	}
	return cal.deadline.Add(cal.han.opt.Grace / 2)
}

// answerLost reports whether the answer was lost in transit, so that the owner may know the outcome.
func answerLost(rsn siskinrill.Reason) bool {
	switch rsn {
	case siskinrill.ReasonConnectionLost, siskinrill.ReasonDeadline, siskinrill.ReasonInternal, siskinrill.ReasonCallerGone, siskinrill.ReasonUnreachable:
		return true
	}
	return false
}
