package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// rowInvalidation is a report that makes control take all rows from this agent, because its backend server has
// failed or was replaced by another one.
type rowInvalidation struct {
	session    uint64
	sinceIndex uint64 // since_index of the upstream in the agent's tables when the report was made
	upstream   *controlpb.Upstream
}

// recordInvalidation records a report that invalidates the rows in the agent's tables until the tables show
// that control has processed it; the session's lock is held.
func (ses *Session) recordInvalidation(ups *controlpb.Upstream) {
	num := ses.lease.number()
	if num == 0 || !siskinrill.HoldsRows(ses.upstream) || siskinrill.KeepsRows(ses.upstream, ups) {
		return
	}
	since := ses.table.node(num).GetUpstream().GetSinceIndex()
	ses.invalidation = &rowInvalidation{session: num, sinceIndex: since, upstream: proto.CloneOf(ups)}
}

// pendingInvalidation returns the unconfirmed report, nil for none; the session's lock is held. It does not
// clear a confirmed one, so that clearConfirmed still finds it and wakes the sender.
func (ses *Session) pendingInvalidation() *rowInvalidation {
	inv := ses.invalidation
	if inv == nil || inv.session != ses.lease.number() || inv.confirmed(ses.table.node(inv.session).GetUpstream()) {
		return nil
	}
	return inv
}

// confirmed reports whether the agent's tables show that control has received the report. A failure in the
// tables may be an earlier one, unless its since_index is newer than when the report was made.
func (inv *rowInvalidation) confirmed(ups *controlpb.Upstream) bool {
	return ups.GetSinceIndex() > inv.sinceIndex && siskinrill.HoldsRows(ups) == siskinrill.HoldsRows(inv.upstream) &&
		siskinrill.StartOf(ups) == siskinrill.StartOf(inv.upstream)
}

// upstreamToSend returns the upstream state to send to control. An unconfirmed invalidation is sent before all
// later states; the session's lock is held.
func (ses *Session) upstreamToSend() *controlpb.Upstream {
	if inv := ses.pendingInvalidation(); inv != nil {
		return inv.upstream
	}
	return ses.upstream
}

// hasPendingInvalidation reports whether control may have granted rows of this agent's tables to others after
// an invalidation.
func (ses *Session) hasPendingInvalidation() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.pendingInvalidation() != nil
}

// clearConfirmed drops the invalidation if the tables confirm it, and wakes the sender for the states held back
// until then.
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
