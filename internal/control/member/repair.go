package member

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	repairInterval = 200 * time.Millisecond // between checks of the membership by the leader
	// unresponsiveTimeout is the time without contact after which a voter may be replaced by a responsive learner.
	// It is short because a second failure may follow 4 s after the first.
	unresponsiveTimeout = 1500 * time.Millisecond
	// repairTimeout limits one repair step, so that a process that failed while joining does not block the next step.
	repairTimeout = 3 * time.Second
)

// memberHealth is a member with its state as the leader sees it.
type memberHealth struct {
	member *controlpb.Member
	silent time.Duration // since its latest message; over unresponsiveTimeout if it has said that it stops
	match  uint64        // newest entry that it is known to have synced
}

// unresponsive reports whether a learner may replace the member.
func (hea memberHealth) unresponsive() bool { return hea.silent > unresponsiveTimeout }

// repair admits processes that request to join and replaces failed voters, while this process leads.
func (grp *Group) repair(ctx context.Context) {
	tck := time.NewTicker(repairInterval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-grp.joinRequests:
			grp.repairStep(ctx, func(ctx context.Context) error { return grp.admit(ctx, req) })
		case <-tck.C:
			grp.repairStep(ctx, grp.restoreVoters)
		}
	}
}

// repairStep runs one repair step with a timeout, or skips it while an operator changes the membership.
func (grp *Group) repairStep(ctx context.Context, fn func(ctx context.Context) error) {
	if !grp.changeLock.TryLock() {
		return
	}
	defer grp.changeLock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if err := fn(ctx); err != nil {
		grp.opt.Logger.Warnf("member: membership repair failed: %v", err)
	}
}

// admit makes a process that requested to join a learner; restoreVoters promotes it. A member with the same address
// or name but another store has lost its disk for good, so it is removed first, which lowers the quorum.
//
// The process at the address is asked first whether it has the store, since the request may be older than the loss of its disk.
func (grp *Group) admit(ctx context.Context, req *controlpb.JoinRequest) error {
	ans, err := grp.identifyJoining(ctx, req.GetAddress())
	if err != nil || ans.GetStoreId() != req.GetStoreId() {
		grp.opt.Logger.Infof("member: ignored the join request of %s: the process at %s has store %q: %v", req.GetName(), req.GetAddress(), ans.GetStoreId(), err)
		return nil
	}
	for range grp.membersHealth(ctx) {
		removed := false
		err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool {
			removed = removeReplaced(mbs, req)
			return removed
		})
		if err != nil {
			return err
		}
		if !removed {
			break
		}
		grp.opt.Logger.Warnf("member: removed the previous member of %s at %s, which lost its disk", req.GetName(), req.GetAddress())
	}
	if _, err := grp.addLearner(ctx, ans, req.GetAddress(), false); err != nil {
		return err
	}
	return grp.restoreVoters(ctx)
}

func (grp *Group) identifyJoining(ctx context.Context, addr string) (*controlpb.IdentifyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return identify(ctx, addr)
}

// membersHealth returns the health of all members, or nil if this process does not lead.
func (grp *Group) membersHealth(ctx context.Context) []memberHealth {
	var out []memberHealth
	_ = grp.callIfLeader(ctx, func() { out = healthOf(grp.rft, grp.opt.Tick) })
	return out
}

// healthOf returns the health of all members as a leader sees it.
func healthOf(rft *raft.Raft, tick time.Duration) []memberHealth {
	var out []memberHealth
	for _, mem := range rft.Members().GetMembers() {
		prg, _ := rft.Progress(mem.GetId())
		hea := memberHealth{member: mem, silent: time.Duration(prg.TicksSinceContact()) * tick, match: prg.Match()}
		if prg.Leaving() {
			hea.silent += unresponsiveTimeout + tick // it may be gone before it is silent for so long
		}
		out = append(out, hea)
	}
	return out
}

// restoreVoters promotes a learner if a voter is missing or unresponsive, and removes unresponsive voters in excess
// of the configured number.
func (grp *Group) restoreVoters(ctx context.Context) error {
	for {
		mid, promotes := nextRepair(grp.membersHealth(ctx), grp.opt.Voters)
		if mid == 0 {
			return nil
		}
		err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool { return applyRepair(mbs, mid, promotes) })
		if err != nil {
			return err
		}
		grp.opt.Logger.Infof("member: membership repaired: member %d, promoted %t", mid, promotes)
	}
}

// applyRepair promotes or removes a member and reports whether there was one with the id.
func applyRepair(mbs *controlpb.Members, mid uint64, promotes bool) bool {
	if promotes {
		return promote(mbs, mid)
	}
	return removeFirst(mbs, func(mem *controlpb.Member) bool { return mem.GetId() == mid })
}

// nextRepair returns the member to promote or remove next, 0 for none. A learner, the one that has synced most, is promoted
// before an unresponsive voter, the one silent for longest, is removed, unless there are more voters than wanted. A voter that
// was removed although it returns requests to join again, see Group.join.
func nextRepair(sts []memberHealth, wantVoters int) (mid uint64, promotes bool) {
	voters := 0
	var silentest, learner memberHealth
	for _, sta := range sts {
		switch {
		case sta.member.GetLearner():
			if !sta.unresponsive() && (learner.member == nil || sta.match > learner.match) {
				learner = sta
			}
		default:
			voters++
			if sta.unresponsive() && sta.silent > silentest.silent {
				silentest = sta
			}
		}
	}
	switch {
	case voters > wantVoters && silentest.member != nil:
		return silentest.member.GetId(), false
	case learner.member != nil && (voters < wantVoters || silentest.member != nil):
		return learner.member.GetId(), true
	default:
		return 0, false
	}
}
