package member

import (
	"context"
	"slices"
	"time"

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
	member       *controlpb.Member
	unresponsive bool
}

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
func (grp *Group) admit(ctx context.Context, req *controlpb.JoinRequest) error {
	replaced := func(mem *controlpb.Member) bool {
		return mem.GetStoreId() != req.GetStoreId() && (mem.GetAddress() == req.GetAddress() || mem.GetName() == req.GetName())
	}
	for range grp.membersHealth(ctx) {
		removed := false
		err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool {
			pos := slices.IndexFunc(mbs.GetMembers(), replaced)
			if pos < 0 {
				return false
			}
			removed = true
			mbs.Members = slices.Delete(mbs.Members, pos, pos+1)
			return true
		})
		if err != nil {
			return err
		}
		if !removed {
			break
		}
		grp.opt.Logger.Warnf("member: removed the previous member of %s at %s, which lost its disk", req.GetName(), req.GetAddress())
	}
	ans := &controlpb.IdentifyAnswer{Name: req.GetName(), StoreId: req.GetStoreId()}
	if _, err := grp.addLearner(ctx, ans, req.GetAddress(), false); err != nil {
		return err
	}
	return grp.restoreVoters(ctx)
}

// membersHealth returns the health of all members, or nil if this process does not lead.
func (grp *Group) membersHealth(ctx context.Context) []memberHealth {
	var out []memberHealth
	_ = grp.callIfLeader(ctx, func() {
		for _, mem := range grp.rft.Members().GetMembers() {
			prg, known := grp.rft.Progress(mem.GetId())
			sinceContact := time.Duration(prg.TicksSinceContact()) * grp.opt.Tick
			out = append(out, memberHealth{member: mem, unresponsive: known && sinceContact > unresponsiveTimeout})
		}
	})
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
		err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool {
			if promotes {
				return promote(mbs, mid)
			}
			pos := slices.IndexFunc(mbs.GetMembers(), func(mem *controlpb.Member) bool { return mem.GetId() == mid })
			if pos < 0 {
				return false
			}
			mbs.Members = slices.Delete(mbs.Members, pos, pos+1)
			return true
		})
		if err != nil {
			return err
		}
		grp.opt.Logger.Infof("member: membership repaired: member %d, promoted %t", mid, promotes)
	}
}

// nextRepair returns the member to promote or remove next, 0 for none. A learner is promoted before an unresponsive
// voter is removed, unless there are more voters than wanted.
func nextRepair(sts []memberHealth, wantVoters int) (mid uint64, promotes bool) {
	voters, unresponsive, learner := 0, uint64(0), uint64(0)
	for _, sta := range sts {
		switch {
		case sta.member.GetLearner() && !sta.unresponsive:
			learner = sta.member.GetId()
		case sta.member.GetLearner():
		default:
			voters++
			if sta.unresponsive {
				unresponsive = sta.member.GetId()
			}
		}
	}
	switch {
	case voters > wantVoters && unresponsive != 0:
		return unresponsive, false
	case learner != 0 && (voters < wantVoters || unresponsive != 0):
		return learner, true
	default:
		return 0, false
	}
}
