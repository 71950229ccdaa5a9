package owner

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// check returns the row under which an attempt may run now and the end of the lease. The lease is checked last.
func (own *Owner) check(opn *peerpb.Open, reserve time.Duration) (*controlpb.Shard, time.Time, *siskinrill.Refusal) {
	ses := own.ses.Session()
	if ses == 0 {
		return nil, time.Time{}, own.refuseWithVersion(siskinrill.ReasonNoLease)
	}
	if own.keyless(opn.GetService()) {
		return own.checkKeyless(opn, ses)
	}
	row := own.ses.Shard(opn.GetService(), opn.GetKey())
	rsn := rowReason(row, opn, ses)
	if rsn == siskinrill.ReasonMoving && own.bck.HoldsKeys() && own.bck.Held(row) {
		// The backend server releases the row with its next heartbeat, and serves it until then.
		rsn = ""
	}
	if rsn == "" && own.drainGraceOver() {
		rsn = siskinrill.ReasonDraining
	}
	if rsn != "" {
		return nil, time.Time{}, own.refuseWithVersion(rsn)
	}
	exp, valid := own.ses.Expires()
	if !valid || time.Until(exp) < reserve || own.ses.Session() != ses {
		return nil, time.Time{}, own.refuseWithVersion(siskinrill.ReasonNoLease)
	}
	return row, exp, nil
}

// keyless reports whether any upstream may serve the requests of a service.
func (own *Owner) keyless(svc string) bool {
	return own.ses.Service(svc).GetKeyMode() == controlpb.KeyMode_KEY_MODE_NONE
}

// checkKeyless returns a row for an attempt that needs no ownership: it may run here while the backend server
// accepts work, with or without a lease.
func (own *Owner) checkKeyless(opn *peerpb.Open, ses uint64) (*controlpb.Shard, time.Time, *siskinrill.Refusal) {
	switch {
	case opn.GetOwnerSession() != ses:
		return nil, time.Time{}, own.refuseWithVersion(siskinrill.ReasonWrongOwner)
	case own.drainGraceOver():
		return nil, time.Time{}, own.refuseWithVersion(siskinrill.ReasonDraining)
	}
	row := &controlpb.Shard{Service: opn.GetService(), Owner: ses, Phase: controlpb.Phase_PHASE_OWNED}
	return row, time.Now().Add(keylessGrantDuration), nil
}

// rowReason returns the reason for which a row does not allow the attempt, empty if it does.
func rowReason(row *controlpb.Shard, opn *peerpb.Open, ses uint64) siskinrill.Reason {
	switch {
	case opn.GetOwnerSession() != ses || row == nil || row.GetOwner() != ses:
		return siskinrill.ReasonWrongOwner
	case row.GetPhase() == controlpb.Phase_PHASE_ORPHAN || row.GetToken() != opn.GetToken():
		return siskinrill.ReasonWrongOwner
	case row.GetPhase() == controlpb.Phase_PHASE_RELEASING:
		return siskinrill.ReasonMoving
	default:
		return ""
	}
}

func (own *Owner) refuseWithVersion(rsn siskinrill.Reason) *siskinrill.Refusal {
	return siskinrill.NotRun(rsn).WithVersion(own.ses.Version())
}

// drainGraceOver reports whether this upstream has been draining for longer than DrainGrace; it then accepts no new
// requests, even if control has not moved all shards. Time for which the host was suspended counts. The order to drain the
// zone is read from the session itself, so that an agent that has just started knows it with its first copy of the tables.
func (own *Owner) drainGraceOver() bool {
	if age, drained := own.ses.ZoneDrainAge(); drained && age >= min(own.opt.DrainGrace, drainGrace) {
		return true
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.draining && boottime.Mark().Since(own.drainStart) >= own.opt.DrainGrace
}

// checkArrival checks an attempt on arrival. The token is a log index, so a token above this agent's version means
// that its copy of the tables is behind; it then waits up to maxTableWait for an update.
func (own *Owner) checkArrival(ctx context.Context, tck *ticket) (*controlpb.Shard, *siskinrill.Refusal) {
	opn := tck.att.Open()
	row, _, ref := own.check(opn, tck.reserve())
	if ref == nil || opn.GetToken() <= own.ses.Version() || ref.Reason() != siskinrill.ReasonWrongOwner {
		return row, ref
	}
	ctx, cancel := context.WithTimeout(ctx, maxTableWait)
	defer cancel()
	if own.ses.Await(ctx, opn.GetToken()-1) != nil {
		return nil, ref
	}
	row, _, ref = own.check(opn, tck.reserve())
	return row, ref
}

func refOf(row *controlpb.Shard) *controlpb.ShardRef {
	return &controlpb.ShardRef{Service: row.GetService(), Partition: row.GetPartition(), Key: row.GetKey(), Token: row.GetToken()}
}
