package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Handle runs an attempt; an error is always a *siskinrill.Refusal, and the answer must not be changed because it
// shares its slices with the stored one.
func (own *Owner) Handle(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	if ref := malformed(att.Open()); ref != nil {
		return nil, own.recordRefusal(ref)
	}
	if !siskinrill.RegionAllowed(att.Open().GetAllowedRegions(), own.opt.Region) {
		return nil, own.recordRefusal(own.refuseWithVersion(siskinrill.ReasonRegionNotAllowed))
	}
	if own.isClosed() {
		return nil, own.recordRefusal(own.refuseWithVersion(siskinrill.ReasonDraining))
	}
	if adv := att.Open().GetAdvice(); adv != nil {
		own.bck.AdoptAdvice(adv)
	}
	tck := newTicket(att)
	if ref := own.register(tck); ref != nil {
		return nil, own.recordRefusal(ref)
	}
	ctx, tck.cancel = context.WithDeadline(ctx, tck.deadline)
	ans, ref := own.prepare(ctx, tck)
	if ref != nil {
		own.end(tck, attemptEnd{outcome: ref.Outcome(), reason: ref.Reason()})
		return nil, own.recordRefusal(ref)
	}
	if ans != nil {
		own.end(tck, attemptEnd{outcome: peerpb.Outcome_OUTCOME_COMPLETE, response: ans})
		return siskinrill.NewAnswer(ans, nil), nil
	}
	return own.dispatch(ctx, tck)
}

func malformed(opn *peerpb.Open) *siskinrill.Refusal {
	switch {
	case opn.GetAttempt() == nil || opn.GetService() == "" || opn.GetMethod() == "":
		return siskinrill.NewRefusal(siskinrill.ReasonBadRequest, peerpb.Outcome_OUTCOME_NOT_RUN, errors.New("attempt, service and method are required"))
	case len(opn.GetKey()) > siskinrill.MaxKeyBytes:
		return siskinrill.NotRun(siskinrill.ReasonBadRequest)
	default:
		return nil
	}
}

// prepare gets an attempt ready for dispatch: it has a slot, and the grant has been reported to the backend server.
// It returns a stored answer to the same Idempotency-Key instead if there is one.
func (own *Owner) prepare(ctx context.Context, tck *ticket) (*peerpb.Response, *siskinrill.Refusal) {
	row, ref := own.checkArrival(ctx, tck)
	if ref != nil {
		return nil, ref
	}
	tck.shard = shardOf(row)
	tck.ttl = durationOr(own.ses.Service(tck.shard.service).GetIdempotencyTtlS(), time.Second, defaultTTL)
	if tck.usesIdempotencyKey() {
		if ref := own.fetchCopies(ctx, tck, row); ref != nil {
			return nil, ref
		}
		ans, ref := own.awaitClaim(ctx, tck)
		if ans != nil || ref != nil {
			return ans, ref
		}
	}
	keyless := own.keyless(tck.shard.service)
	if !keyless && !own.awaitHold(ctx, tck, row) {
		return nil, own.refuseWithVersion(own.notHeld(row))
	}
	if ref := own.receive(ctx, tck); ref != nil {
		return nil, ref
	}
	if ref := own.admit(ctx, tck); ref != nil {
		return nil, ref
	}
	if keyless {
		return nil, nil
	}
	if !own.reportGrants(ctx, []*controlpb.Shard{row}) {
		return nil, siskinrill.NotRun(waitReason(ctx))
	}
	return nil, own.copyPending(ctx, tck, row)
}

// awaitHold waits until the backend server holds the row; it returns false if that does not happen early enough for
// the expected run to end before the deadline.
func (own *Owner) awaitHold(ctx context.Context, tck *ticket, row *controlpb.Shard) bool {
	if own.bck.Held(row) {
		return true
	}
	own.mu.Lock()
	run := own.rts.estimate(tck.att.Open().GetRoute())
	own.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, tck.deadline.Add(-run))
	defer cancel()
	defer context.AfterFunc(own.startCtx, cancel)()
	return own.bck.AwaitHold(ctx, row)
}

// notHeld returns why the backend server does not hold a row: it has released it for another owner, or has not
// acquired it yet.
func (own *Owner) notHeld(row *controlpb.Shard) siskinrill.Reason {
	if row.GetPhase() == controlpb.Phase_PHASE_RELEASING {
		return siskinrill.ReasonMoving
	}
	return siskinrill.ReasonNotHeld
}

// dispatch checks row and lease as the last step and sends the attempt to the backend server.
func (own *Owner) dispatch(ctx context.Context, tck *ticket) (*siskinrill.Answer, error) {
	grt, ref := own.lastCheck(tck)
	if ref != nil {
		own.end(tck, attemptEnd{outcome: ref.Outcome(), reason: ref.Reason()})
		return nil, own.recordRefusal(ref)
	}
	if tck.atMostOnce {
		return own.runOnce(ctx, tck, grt)
	}
	return own.run(ctx, tck, grt)
}

// lastCheck counts the attempt as running before it reads the row. A release that sees no running attempt has
// already changed the row, so an attempt that starts later reads the changed row and is refused.
func (own *Owner) lastCheck(tck *ticket) (siskinrill.Grant, *siskinrill.Refusal) {
	if ref := own.markRunning(tck); ref != nil {
		return siskinrill.Grant{}, ref
	}
	if own.quarantined(tck) {
		return siskinrill.Grant{}, siskinrill.NotRun(siskinrill.ReasonQuarantined)
	}
	opn := tck.att.Open()
	if own.flt.noLastCheck {
		row := own.ses.Shard(opn.GetService(), opn.GetKey())
		exp, _ := own.ses.Expires()
		return siskinrill.NewGrant(refOf(row), exp), nil
	}
	row, exp, ref := own.check(opn, tck.reserve())
	if ref != nil {
		return siskinrill.Grant{}, ref
	}
	if !own.keyless(opn.GetService()) && !own.bck.Held(row) {
		return siskinrill.Grant{}, own.refuseWithVersion(own.notHeld(row))
	}
	return siskinrill.NewGrant(refOf(row), exp), nil
}

func (own *Owner) markRunning(tck *ticket) *siskinrill.Refusal {
	own.mu.Lock()
	defer own.mu.Unlock()
	if tck.rec.withdrawn {
		return siskinrill.NotRun(siskinrill.ReasonWithdrawn)
	}
	if own.startCtx.Err() != nil {
		return siskinrill.NotRun(siskinrill.ReasonDraining)
	}
	if !time.Now().Before(tck.deadline) {
		return siskinrill.NotRun(siskinrill.ReasonDeadlineInQueue)
	}
	tck.rec.phase = phaseDispatched
	tck.started = time.Now()
	return nil
}
