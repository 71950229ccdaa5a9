package registry

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// MaxLeaving is the number of backend servers that are remembered as leaving; the oldest is forgotten first.
const MaxLeaving = 1024

// covers reports whether the statement of a server holds for a start of it.
func covers(lvg *controlpb.LeavingServer, ups *controlpb.Upstream) bool {
	return siskinrill.StartOf(ups).UpTo(siskinrill.StartOf(lvg))
}

// keepLeaving keeps a backend server draining that has stated that it is leaving. An agent that has restarted announces it as
// serving until it hears the statement again, after its lease or long after, and repeats that to each new leader.
func (reg *Registry) keepLeaving(ups *controlpb.Upstream) {
	if slices.ContainsFunc(reg.state.GetLeaving(), func(lvg *controlpb.LeavingServer) bool { return covers(lvg, ups) }) {
		drain(ups)
	}
}

func drain(ups *controlpb.Upstream) {
	ups.Leaving = true
	if ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING {
		ups.State = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
}

// recordLeaving remembers that a server has stated that it is leaving, and drains it in the other sessions of its agent.
func (reg *Registry) recordLeaving(idx uint64, ups *controlpb.Upstream) {
	if !ups.GetLeaving() || !siskinrill.StartOf(ups).IsStated() {
		return
	}
	lvg := &controlpb.LeavingServer{Id: ups.GetId(), Incarnation: ups.GetIncarnation()}
	all := reg.state.GetLeaving()
	if pos := slices.IndexFunc(all, func(old *controlpb.LeavingServer) bool { return old.GetId() == lvg.GetId() }); pos >= 0 {
		if covers(all[pos], ups) {
			return
		}
		all = slices.Delete(all, pos, pos+1)
	}
	all = append(all, lvg)
	reg.state.Leaving = all[max(len(all)-MaxLeaving, 0):]
	for pos, nod := range reg.state.GetNodes() {
		if !covers(lvg, nod.GetUpstream()) || nod.GetUpstream().GetLeaving() {
			continue
		}
		cpy := proto.CloneOf(nod)
		drain(cpy.GetUpstream())
		reg.state.Nodes[pos] = cpy
		reg.emitNode(idx, cpy)
	}
}
