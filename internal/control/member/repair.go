package member

import (
	"context"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	repairEvery = 200 * time.Millisecond // between two looks of the leader at the membership
	// silentAfter is the silence after which a voter may be replaced by a learner that is there; a second loss may follow 4 s after the first.
	silentAfter = 1500 * time.Millisecond
	// repairTimeout bounds one step, so that a process that vanished while it joined does not stop the next one.
	repairTimeout = 3 * time.Second
)

// standing is a member as the leader sees it.
type standing struct {
	member *controlpb.Member
	silent bool
}

// repair admits processes that ask to join, and replaces voters that are lost, while this process leads.
func (grp *Group) repair(ctx context.Context) {
	tck := time.NewTicker(repairEvery)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case req := <-grp.joins:
			grp.repairStep(ctx, func(ctx context.Context) error { return grp.admit(ctx, req) })
		case <-tck.C:
			grp.repairStep(ctx, grp.restoreVoters)
		}
	}
}

// repairStep runs one bounded step of the repair unless an operator changes the membership.
func (grp *Group) repairStep(ctx context.Context, fn func(ctx context.Context) error) {
	if !grp.changing.TryLock() {
		return
	}
	defer grp.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	if err := fn(ctx); err != nil {
		grp.opt.Logger.Warnf("member: repair of the membership: %v", err)
	}
}

// admit makes a process that asked to join a learner; restoreVoters promotes it. A member of the same address or name with another store has lost its disk for good, so it leaves first, which lowers the quorum that must answer.
func (grp *Group) admit(ctx context.Context, req *controlpb.JoinRequest) error {
	replaced := func(mem *controlpb.Member) bool {
		return mem.GetStoreId() != req.GetStoreId() && (mem.GetAddress() == req.GetAddress() || mem.GetName() == req.GetName())
	}
	for range grp.standings(ctx) {
		gone := false
		err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool {
			pos := slices.IndexFunc(mbs.GetMembers(), replaced)
			if pos < 0 {
				return false
			}
			gone = true
			mbs.Members = slices.Delete(mbs.Members, pos, pos+1)
			return true
		})
		if err != nil {
			return err
		}
		if !gone {
			break
		}
		grp.opt.Logger.Warnf("member: %s at %s lost its disk and leaves", req.GetName(), req.GetAddress())
	}
	ans := &controlpb.IdentifyAnswer{Name: req.GetName(), StoreId: req.GetStoreId()}
	if _, err := grp.addLearner(ctx, ans, req.GetAddress(), false); err != nil {
		return err
	}
	return grp.restoreVoters(ctx)
}

// standings returns the members, nil at a process that does not lead.
func (grp *Group) standings(ctx context.Context) []standing {
	var out []standing
	_ = grp.inspect(ctx, func() {
		for _, mem := range grp.rft.Members().GetMembers() {
			prg, known := grp.rft.Progress(mem.GetId())
			quiet := time.Duration(prg.Quiet()) * grp.opt.Tick
			out = append(out, standing{member: mem, silent: known && quiet > silentAfter})
		}
	})
	return out
}

// restoreVoters promotes a learner when a voter is missing or silent, and removes silent voters beyond the wanted number.
func (grp *Group) restoreVoters(ctx context.Context) error {
	for {
		mid, promotes := nextRepair(grp.standings(ctx), grp.opt.Voters)
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
		grp.opt.Logger.Infof("member: repaired the membership, member %d, promoted: %t", mid, promotes)
	}
}

// nextRepair returns the member to promote or to remove next, 0 for none. A learner is promoted before a silent voter leaves, unless the voters are already enough.
func nextRepair(sts []standing, want int) (mid uint64, promotes bool) {
	voters, silent, learner := 0, uint64(0), uint64(0)
	for _, sta := range sts {
		switch {
		case sta.member.GetLearner() && !sta.silent:
			learner = sta.member.GetId()
		case sta.member.GetLearner():
		default:
			voters++
			if sta.silent {
				silent = sta.member.GetId()
			}
		}
	}
	switch {
	case voters > want && silent != 0:
		return silent, false
	case learner != 0 && (voters < want || silent != 0):
		return learner, true
	default:
		return 0, false
	}
}
