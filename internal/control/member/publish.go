package member

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Leadership returns the current leadership and a channel that is closed when it changes.
func (grp *Group) Leadership() (siskinrill.Leadership, <-chan struct{}) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.leadership, grp.pub.changed
}

// Members returns the members as of the last applied entry; at the leader, with their replication progress.
func (grp *Group) Members() []*controlpb.MemberStatus {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return slices.Clone(grp.pub.members)
}

// ClusterID returns the id of the cluster, empty while this process belongs to none.
func (grp *Group) ClusterID() string {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.clusterID
}

// Commit returns the highest committed index known to this process.
func (grp *Group) Commit() uint64 {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.commit
}

// publish copies the loop's state for other goroutines.
func (grp *Group) publish() {
	leading := grp.rft.Role() == raft.Leader && grp.applied >= grp.rft.TermStart() && !grp.stopping
	addr := grp.addressOf(grp.rft.LeaderID())
	if grp.stopping && grp.rft.Role() == raft.Leader {
		addr = ""
	}
	ldr := siskinrill.NewLeadership(grp.rft.Term(), leading, addr, time.Now())
	mbs := grp.memberStatuses()
	grp.mu.Lock()
	defer grp.mu.Unlock()
	if leading != grp.pub.leadership.Leading() {
		grp.logf("leadership changed: leading %t, term %d", leading, grp.rft.Term())
	}
	grp.pub.members, grp.pub.commit = mbs, grp.rft.Commit()
	grp.pub.setLeadership(ldr)
}

func (grp *Group) memberStatuses() []*controlpb.MemberStatus {
	var out []*controlpb.MemberStatus
	for _, mem := range grp.rft.MembersAt(grp.applied).GetMembers() {
		sta := &controlpb.MemberStatus{Member: mem, Leader: mem.GetId() == grp.rft.LeaderID()}
		if prg, known := grp.rft.Progress(mem.GetId()); known {
			sta.Match = prg.Match()
			sta.Lag = grp.rft.LastIndex() - min(prg.Match(), grp.rft.LastIndex())
			sta.SilentMs = int64(prg.TicksSinceContact()) * grp.opt.Tick.Milliseconds()
		}
		out = append(out, sta)
	}
	return out
}

// addressOf returns the address of a member, from the membership or, if it is not listed there,
// from the messages it sent.
func (grp *Group) addressOf(mid uint64) string {
	if mid == grp.rft.ID() {
		return grp.opt.Address
	}
	if mem := memberWithID(grp.rft.Members(), mid); mem != nil {
		return mem.GetAddress()
	}
	return grp.endpoints[mid].address
}
