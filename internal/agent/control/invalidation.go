package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// rowInvalidation is a report for which control takes all rows from this agent, because its backend server has failed or is another one now.
type rowInvalidation struct {
	session    uint64
	sinceIndex uint64 // of the backend server in the agent's tables when the report was made
	upstream   *controlpb.Upstream
}

// holdsRows reports whether control leaves rows with a backend server in its state.
func holdsRows(ups *controlpb.Upstream) bool {
	return ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING ||
		ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// sameIncarnation reports whether two reports are of the same start of a backend server, which serves in both.
func sameIncarnation(old, ups *controlpb.Upstream) bool {
	return holdsRows(old) && holdsRows(ups) && old.GetId() == ups.GetId() &&
		old.GetService() == ups.GetService() && old.GetIncarnation() == ups.GetIncarnation()
}

// recordInvalidation notes a report after which the rows of the agent's tables are void until these show what control made of it; the session's lock is held.
func (ses *Session) recordInvalidation(ups *controlpb.Upstream) {
	num := ses.lease.number()
	if num == 0 || !holdsRows(ses.upstream) || sameIncarnation(ses.upstream, ups) {
		return
	}
	since := ses.table.node(num).GetUpstream().GetSinceIndex()
	ses.invalidation = &rowInvalidation{session: num, sinceIndex: since, upstream: proto.CloneOf(ups)}
}

// pendingInvalidation returns the report that control has not confirmed, nil for none; the session's lock is held. It forgets nothing, so that confirm still finds what waits.
func (ses *Session) pendingInvalidation() *rowInvalidation {
	inv := ses.invalidation
	if inv == nil || inv.session != ses.lease.number() || inv.confirmed(ses.table.node(inv.session).GetUpstream()) {
		return nil
	}
	return inv
}

// confirmed reports whether the agent's tables show that control has heard the report. A failure that they show may be an earlier one, but not if it is newer than what they showed then.
func (inv *rowInvalidation) confirmed(ups *controlpb.Upstream) bool {
	return ups.GetSinceIndex() > inv.sinceIndex && holdsRows(ups) == holdsRows(inv.upstream) &&
		ups.GetId() == inv.upstream.GetId() && ups.GetIncarnation() == inv.upstream.GetIncarnation()
}

// upstreamToSend returns what control is to be told of the backend server: a report that it has to confirm comes before all later ones; the session's lock is held.
func (ses *Session) upstreamToSend() *controlpb.Upstream {
	if inv := ses.pendingInvalidation(); inv != nil {
		return inv.upstream
	}
	return ses.upstream
}

// hasPendingInvalidation reports whether control may have granted rows of this agent's tables to others after a report of this agent.
func (ses *Session) hasPendingInvalidation() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.pendingInvalidation() != nil
}

// clearConfirmed lets the wishes be sent that wait for a confirmation which a change of the tables may have brought.
func (ses *Session) clearConfirmed() {
	ses.mu.Lock()
	confirmed := ses.invalidation != nil && ses.pendingInvalidation() == nil
	if confirmed {
		ses.invalidation = nil
	}
	ses.mu.Unlock()
	if confirmed {
		ses.notify()
	}
}
