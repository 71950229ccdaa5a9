package registry

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// findNode returns the position of a session; sessions are log indexes, so appending keeps the nodes sorted.
func (reg *Registry) findNode(ses uint64) (int, bool) {
	return slices.BinarySearchFunc(reg.state.GetNodes(), ses, func(nod *controlpb.Node, ses uint64) int {
		switch {
		case nod.GetSession() < ses:
			return -1
		case nod.GetSession() > ses:
			return 1
		}
		return 0
	})
}

func (reg *Registry) node(ses uint64) *controlpb.Node {
	if pos, ok := reg.findNode(ses); ok {
		return reg.state.GetNodes()[pos]
	}
	return nil
}

func (reg *Registry) register(idx uint64, cmd *controlpb.RegisterNode) {
	if cmd.GetReplaces() != 0 {
		reg.expire(idx, []uint64{cmd.GetReplaces()})
	}
	nod := &controlpb.Node{}
	proto.Merge(nod, cmd.GetNode())
	nod.Session = idx
	if nod.GetUpstream() != nil {
		nod.Upstream.SinceIndex = idx
		reg.keepLeaving(nod.GetUpstream())
	}
	reg.state.Nodes = append(reg.state.Nodes, nod)
	reg.emitNode(idx, nod)
	reg.recordLeaving(idx, nod.GetUpstream())
}

func (reg *Registry) emitNode(idx uint64, nod *controlpb.Node) {
	reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_SetNode{SetNode: nod}})
}

// expire removes sessions and revokes their rows; unknown sessions are skipped.
func (reg *Registry) expire(idx uint64, sessions []uint64) {
	gone := map[uint64]bool{}
	for _, ses := range sessions {
		pos, ok := reg.findNode(ses)
		if !ok {
			continue
		}
		gone[ses] = true
		reg.state.Nodes = slices.Delete(reg.state.Nodes, pos, pos+1)
		reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_RemoveNode{RemoveNode: ses}})
	}
	if len(gone) > 0 {
		reg.revokeRows(idx, gone)
	}
}

// setUpstream stores an announcement. An agent that reports its backend server as failed, gone or replaced
// has stopped dispatching to it, so its rows are revoked immediately, without a release. The new since_index
// confirms this to the agent, even if the registry already recorded an earlier failure.
func (reg *Registry) setUpstream(idx uint64, cmd *controlpb.SetUpstream) {
	pos, ok := reg.findNode(cmd.GetSession())
	if !ok {
		return
	}
	old := reg.state.GetNodes()[pos]
	nod := proto.Clone(old).(*controlpb.Node)
	nod.Upstream = proto.Clone(cmd.GetUpstream()).(*controlpb.Upstream)
	if nod.GetUpstream() != nil {
		nod.Upstream.SinceIndex = old.GetUpstream().GetSinceIndex()
	}
	reg.keepLeaving(nod.GetUpstream())
	if proto.Equal(old, nod) && siskinrill.HoldsRows(nod.GetUpstream()) {
		return
	}
	keepsRows := siskinrill.KeepsRows(old.GetUpstream(), nod.GetUpstream())
	if nod.GetUpstream() != nil && !keepsRows {
		nod.Upstream.SinceIndex = idx
	}
	reg.state.Nodes[pos] = nod
	if !keepsRows {
		reg.revokeRows(idx, map[uint64]bool{nod.GetSession(): true})
	}
	reg.replaceSessions(idx, nod, old.GetUpstream() == nil)
	reg.emitNode(idx, nod)
	reg.recordLeaving(idx, nod.GetUpstream())
}

// replaceSessions ends the earlier sessions of a restarted agent once it has announced its backend server's
// incarnation. If that server has not restarted, the new session takes over the rows, since the server is
// still the only holder of their keys. A session of another incarnation that served ends with its lease, and its rows are revoked
// then: the agent knows nothing from before its restart, and the announcement may be late or of another writer.
func (reg *Registry) replaceSessions(idx uint64, nod *controlpb.Node, first bool) {
	start := siskinrill.StartOf(nod.GetUpstream())
	if !start.IsStated() {
		return
	}
	var earlier []uint64
	for _, old := range reg.state.GetNodes() {
		ups := old.GetUpstream()
		same := siskinrill.StartOf(ups) == start
		if old.GetName() != nod.GetName() || old.GetSession() >= nod.GetSession() || !same && siskinrill.HoldsRows(ups) {
			continue
		}
		earlier = append(earlier, old.GetSession())
		if same && siskinrill.HoldsRows(nod.GetUpstream()) {
			reg.takeOver(idx, old, nod, first)
		}
	}
	if len(earlier) > 0 {
		reg.expire(idx, earlier)
	}
}

// takeOver gives the rows of an earlier session of a restarted agent to its new session. Unless this is the first announcement of
// that session, the since_index confirms to the agent that the rows of the one before are revoked, and stays.
func (reg *Registry) takeOver(idx uint64, old, nod *controlpb.Node, first bool) {
	ups := old.GetUpstream()
	if first {
		nod.Upstream.SinceIndex = ups.GetSinceIndex()
	}
	if ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING {
		// The restarted agent does not know yet that the server is leaving, and must not be given keys for it.
		nod.Upstream.State = ups.GetState()
	}
	reg.transferRows(idx, old.GetSession(), nod.GetSession())
}

// transferRows changes the owner and target of rows from one session to another; their tokens stay.
func (reg *Registry) transferRows(idx, from, to uint64) {
	for _, tab := range reg.state.GetTables() {
		for prt := range tab.GetOwners() {
			if row := partition(tab, uint32(prt)); row.GetOwner() == from || row.GetTarget() == from {
				reg.putRow(idx, tab, withSession(row, from, to))
			}
		}
		for _, old := range append([]*controlpb.Shard(nil), tab.GetOverrides()...) {
			if row := override(tab, old.GetKey()); row.GetOwner() == from || row.GetTarget() == from {
				reg.putRow(idx, tab, withSession(row, from, to))
			}
		}
	}
}

func withSession(row *controlpb.Shard, from, to uint64) *controlpb.Shard {
	if row.GetOwner() == from {
		row.Owner = to
	}
	if row.GetTarget() == from {
		row.Target = to
	}
	return row
}

func (reg *Registry) setDrain(cmd *controlpb.SetDrain) {
	pos, ok := slices.BinarySearchFunc(reg.state.GetDrains(), cmd.GetUpstream(), strings.Compare)
	switch {
	case cmd.GetDrain() && !ok:
		reg.state.Drains = slices.Insert(reg.state.Drains, pos, cmd.GetUpstream())
	case !cmd.GetDrain() && ok:
		reg.state.Drains = slices.Delete(reg.state.Drains, pos, pos+1)
	}
}

// canOwn reports whether a session may become the owner of rows of a service.
func (reg *Registry) canOwn(ses uint64, svc string) bool {
	nod := reg.node(ses)
	return nod != nil && nod.GetUpstream().GetService() == svc && siskinrill.HoldsRows(nod.GetUpstream())
}
