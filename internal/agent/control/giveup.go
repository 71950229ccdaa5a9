package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// giveUp is a report for which control takes all rows from this agent, because its backend server has failed or is another one now.
type giveUp struct {
	session  uint64
	since    uint64 // of the backend server in the agent's tables when the report was made
	upstream *controlpb.Upstream
}

// serving reports whether control leaves rows with a backend server in its state.
func serving(ups *controlpb.Upstream) bool {
	return ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING ||
		ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// continues reports whether two reports are of the same start of a backend server, which serves in both.
func continues(old, ups *controlpb.Upstream) bool {
	return serving(old) && serving(ups) && old.GetId() == ups.GetId() &&
		old.GetService() == ups.GetService() && old.GetIncarnation() == ups.GetIncarnation()
}

// noteGiveUp notes a report after which the rows of the agent's tables are void until these show what control made of it; the session's lock is held.
func (ses *Session) noteGiveUp(ups *controlpb.Upstream) {
	num := ses.lease.number()
	if num == 0 || !serving(ses.upstream) || continues(ses.upstream, ups) {
		return
	}
	since := ses.table.node(num).GetUpstream().GetSinceIndex()
	ses.givenUp = &giveUp{session: num, since: since, upstream: proto.CloneOf(ups)}
}

// pendingGiveUp returns the report that control has not confirmed, nil for none; the session's lock is held. It forgets nothing, so that confirm still finds what waits.
func (ses *Session) pendingGiveUp() *giveUp {
	gvu := ses.givenUp
	if gvu == nil || gvu.session != ses.lease.number() || gvu.confirmed(ses.table.node(gvu.session).GetUpstream()) {
		return nil
	}
	return gvu
}

// confirmed reports whether the agent's tables show that control has heard the report. A failure that they show may be an earlier one, but not if it is newer than what they showed then.
func (gvu *giveUp) confirmed(ups *controlpb.Upstream) bool {
	return ups.GetSinceIndex() > gvu.since && serving(ups) == serving(gvu.upstream) &&
		ups.GetId() == gvu.upstream.GetId() && ups.GetIncarnation() == gvu.upstream.GetIncarnation()
}

// wanted returns what control is to be told of the backend server: a report that it has to confirm comes before all later ones; the session's lock is held.
func (ses *Session) wanted() *controlpb.Upstream {
	if gvu := ses.pendingGiveUp(); gvu != nil {
		return gvu.upstream
	}
	return ses.upstream
}

// unconfirmed reports whether control may have granted rows of this agent's tables to others after a report of this agent.
func (ses *Session) unconfirmed() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.pendingGiveUp() != nil
}

// confirm lets the wishes be sent that wait for a confirmation which a change of the tables may have brought.
func (ses *Session) confirm() {
	ses.mu.Lock()
	confirmed := ses.givenUp != nil && ses.pendingGiveUp() == nil
	if confirmed {
		ses.givenUp = nil
	}
	ses.mu.Unlock()
	if confirmed {
		ses.notify()
	}
}
