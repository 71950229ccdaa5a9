package caller

import (
	"context"
	"io"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// boundBody is the body of an answer whose context ends when it is closed.
type boundBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body first, so that its end is not taken for a loss.
func (bdy *boundBody) Close() error {
	err := bdy.ReadCloser.Close()
	bdy.cancel()
	return err
}

// treatment tells what follows a refusal.
type treatment int

const (
	final   treatment = iota
	waiting           // ask again once the table is newer or after a pause
	failed            // ask again within the budget
	arrived           // both, because the backend server itself has received and refused the request
)

// treatments of the reasons; those left out are final. Waiting ones prove that the owner could not take the request, and cost it nothing, so that they are bounded by time and not by the budget.
var treatments = map[siskinrill.Reason]treatment{
	siskinrill.ReasonWrongOwner:         waiting,
	siskinrill.ReasonMoving:             waiting,
	siskinrill.ReasonDraining:           waiting,
	siskinrill.ReasonNoLease:            waiting,
	siskinrill.ReasonNoOwner:            waiting,
	siskinrill.ReasonUnreachable:        waiting,
	siskinrill.ReasonBackendUnreachable: waiting,
	siskinrill.ReasonNotHeld:            waiting,
	siskinrill.ReasonBackendFenced:      arrived,
	siskinrill.ReasonBackendDeclined:    failed,
	siskinrill.ReasonWithdrawn:          failed,
	siskinrill.ReasonConnectionLost:     failed,
	siskinrill.ReasonBackendLost:        failed,
	siskinrill.ReasonBackendBadAnswer:   failed,
}

// again prepares a further attempt after a refusal, or returns the refusal for the caller.
func (cal *call) again(tgt target, ref *siskinrill.Refusal) *siskinrill.Refusal {
	if !ref.NotRun() {
		cal.ran = true
	}
	if err := cal.body.failure(); err != nil {
		return siskinrill.NewRefusal(bodyReason(cal.req.Context(), err), ref.Outcome(), err)
	}
	if cal.atMostOnce() && !ref.NotRun() {
		return ref
	}
	if cal.req.Context().Err() != nil || cal.han.ending() || !cal.body.repeatable() {
		return ref
	}
	if cal.elsewhere(tgt, ref) {
		cal.han.counters.Retried(ref.Reason())
		return nil
	}
	switch treatments[ref.Reason()] {
	case waiting:
		cal.tries--
		if over := cal.wait(tgt, ref); over != nil {
			return over
		}
	case arrived:
		if over := cal.spend(ref); over != nil {
			return over
		}
		if over := cal.wait(tgt, ref); over != nil {
			return over
		}
	case failed:
		if cal.keyless() && ref.NotRun() {
			cal.avoid = append(cal.avoid, tgt.shard.GetOwner())
			if len(cal.candidates()) == 0 {
				cal.avoid = nil
			}
		}
		if over := cal.spend(ref); over != nil {
			return over
		}
	default:
		return ref
	}
	cal.han.counters.Retried(ref.Reason())
	return nil
}

// elsewhere reports whether another upstream of a service without keys can be asked at once: this one has refused before its backend server received the request, so that a further attempt costs no retry.
func (cal *call) elsewhere(tgt target, ref *siskinrill.Refusal) bool {
	if !cal.keyless() || !ref.NotRun() {
		return false
	}
	if treatments[ref.Reason()] != waiting && ref.Reason() != siskinrill.ReasonQueueFull {
		return false
	}
	cal.avoid = append(cal.avoid, tgt.shard.GetOwner())
	if len(cal.candidates()) == 0 {
		cal.avoid = nil
		return false
	}
	cal.tries--
	return true
}

// wait waits for the version that the owner told of, or for any newer one with a bounded pause.
func (cal *call) wait(tgt target, ref *siskinrill.Refusal) *siskinrill.Refusal {
	if ref.Version() > tgt.version {
		return cal.await(ref.Version()-1, ref.Reason(), false)
	}
	if ref.Reason() == siskinrill.ReasonMoving {
		// The owner finishes what it runs, so that only a newer table helps.
		return cal.await(max(tgt.version, ref.Version()), ref.Reason(), false)
	}
	// Time spent on connecting in vain is part of the wait for a new owner.
	cal.held += time.Since(cal.began)
	return cal.await(tgt.version, ref.Reason(), true)
}

// maxTries returns how many attempts the request may have; one that no backend server has run may be asked for once more than the upstreams that it may reach.
func (cal *call) maxTries(ref *siskinrill.Refusal) int {
	if ref.NotRun() && !cal.ran {
		return cal.maxAttempts() + 1
	}
	return cal.maxAttempts()
}

// spend takes a retry from the budget.
func (cal *call) spend(ref *siskinrill.Refusal) *siskinrill.Refusal {
	if cal.tries >= cal.maxTries(ref) {
		return ref
	}
	if !cal.han.budgets.take(cal.service.GetName()) {
		cal.han.counters.Event(string(siskinrill.ReasonRetryBudget))
		return ref
	}
	return nil
}

// tryOnce makes an attempt that must not run twice; a lost answer is followed by a withdrawal.
func (cal *call) tryOnce(tgt target) (*siskinrill.Answer, *siskinrill.Refusal) {
	opn := cal.open(tgt)
	// A request that may have started is left to finish when its caller is gone; only its queued attempt is withdrawn.
	base := context.WithoutCancel(cal.req.Context())
	ctx, cancel := cal.han.attemptContext(base, cal.sendUntil(tgt))
	gone := context.AfterFunc(cal.req.Context(), func() {
		cal.han.counters.Event("caller_gone")
		cal.leave(base, tgt, opn.GetAttempt())
	})
	ans, ref := cal.send(ctx, tgt, opn)
	gone()
	if ref == nil || ref.NotRun() || !lost(ref.Reason()) {
		return bound(ans, ref, cancel)
	}
	cancel()
	if cal.han.hooks.skipWithdraw {
		return nil, siskinrill.NewRefusal(siskinrill.ReasonWithdrawn, peerpb.Outcome_OUTCOME_NOT_RUN, ref)
	}
	return cal.settle(base, tgt, opn.GetAttempt(), ref)
}

// sendUntil returns the end of an attempt: a remote owner gets half of the grace to send its proof, the other half is left for a withdrawal.
func (cal *call) sendUntil(tgt target) time.Time {
	if tgt.address == "" {
		return cal.deadline
	}
	return cal.deadline.Add(cal.han.opt.Grace / 2)
}

// lost reports whether the answer was lost on the way, so that the owner may know more.
func lost(rsn siskinrill.Reason) bool {
	switch rsn {
	case siskinrill.ReasonConnectionLost, siskinrill.ReasonDeadline, siskinrill.ReasonInternal, siskinrill.ReasonCallerGone, siskinrill.ReasonUnreachable:
		return true
	}
	return false
}
