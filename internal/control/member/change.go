package member

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	changeTimeout       = 60 * time.Second      // of a change whose context has no deadline; a learner may need a snapshot first
	changeRetryInterval = 20 * time.Millisecond // between attempts of a step that cannot be made yet
)

// ChangeMembers adds, removes or replaces a member or transfers leadership, and returns once the change is committed.
//
// A change that was interrupted may be requested again and continues where it stopped. The error may be a
// *siskinrill.NotLeaderError, a *ChangeError, a *raft.MembersError, an *UnknownOutcomeError or a *StoppedError.
func (grp *Group) ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error) {
	if !grp.changeLock.TryLock() {
		return nil, &ChangeError{name: req.GetName(), reason: "another change is under way"}
	}
	defer grp.changeLock.Unlock()
	ctx, cancel := withDefaultTimeout(ctx, changeTimeout)
	defer cancel()
	detail, err := grp.change(ctx, req)
	if err != nil {
		return nil, err
	}
	ans := &controlpb.MembersAnswer{Detail: detail}
	// This process may have transferred leadership or removed itself by this request.
	err = grp.callIfMember(ctx, func() error {
		ans.Members = grp.rft.Members()
		return nil
	})
	return ans, err
}

func (grp *Group) change(ctx context.Context, req *controlpb.MembersRequest) (string, error) {
	switch req.GetAction() {
	case controlpb.MemberAction_MEMBER_ACTION_ADD:
		_, err := grp.add(ctx, req.GetName(), req.GetAddress(), req.GetLearner())
		return "added " + req.GetName(), err
	case controlpb.MemberAction_MEMBER_ACTION_REMOVE:
		return "removed " + req.GetName(), grp.remove(ctx, req.GetName(), 0)
	case controlpb.MemberAction_MEMBER_ACTION_REPLACE:
		return grp.replace(ctx, req)
	case controlpb.MemberAction_MEMBER_ACTION_TRANSFER:
		return "leadership is with " + req.GetName(), grp.transferLeadership(ctx, req.GetName())
	default:
		return "", &ChangeError{name: req.GetName(), reason: fmt.Sprintf("action %d is not known", req.GetAction())}
	}
}

// replace adds the new member, promotes it and then removes the old one, so that the number of voters never falls
// below its previous value.
func (grp *Group) replace(ctx context.Context, req *controlpb.MembersRequest) (string, error) {
	old, err := grp.findMember(ctx, req.GetName())
	if err != nil {
		return "", err
	}
	mid, err := grp.add(ctx, "", req.GetAddress(), old.GetLearner())
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("replaced %s by member %d at %s", req.GetName(), mid, req.GetAddress()), grp.remove(ctx, req.GetName(), mid)
}

// add makes the process at an address a learner and, unless a learner is requested, promotes it to a voter once it
// has caught up; it returns the member id.
func (grp *Group) add(ctx context.Context, name, addr string, learner bool) (uint64, error) {
	if err := grp.callIfLeader(ctx, func() {}); err != nil {
		return 0, err
	}
	ans, err := identify(ctx, addr)
	if err != nil {
		return 0, errors.Wrapf(err, "identify the process at %s", addr)
	}
	if name != "" && ans.GetName() != name {
		return 0, &ChangeError{name: name, reason: fmt.Sprintf("the process at %s is %q", addr, ans.GetName())}
	}
	mid, err := grp.addLearner(ctx, ans, addr, name != "")
	if err != nil || learner {
		return mid, err
	}
	return mid, grp.commitMembers(ctx, func(mbs *controlpb.Members) bool { return promote(mbs, mid) })
}

// addLearner returns the member id of a store, adding the store as a learner if it is no member, or no longer one. With
// checkName, a name that another store's member uses is refused.
func (grp *Group) addLearner(ctx context.Context, ans *controlpb.IdentifyAnswer, addr string, checkName bool) (uint64, error) {
	mid, isMember, nameTaken, foreign := uint64(0), false, false, false
	err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool {
		if mem := memberOf(mbs, ans.GetStoreId()); mem != nil {
			mid, isMember = mem.GetId(), true
			return false
		}
		foreign = ans.GetFormed() && ans.GetClusterId() != mbs.GetClusterId()
		nameTaken = checkName && slices.ContainsFunc(mbs.GetMembers(), func(mem *controlpb.Member) bool { return mem.GetName() == ans.GetName() })
		if foreign || nameTaken {
			return false
		}
		mid = mbs.GetNextId()
		appendLearner(mbs, ans.GetName(), ans.GetStoreId(), addr)
		return true
	})
	switch {
	case err != nil || isMember:
	case nameTaken:
		err = &ChangeError{name: ans.GetName(), reason: "a member with another data directory has this name; replace it"}
	case foreign:
		err = &ChangeError{name: ans.GetName(), reason: "its data directory belongs to cluster " + ans.GetClusterId()}
	}
	return mid, err
}

// remove removes the members with a name, except the one with exceptID.
func (grp *Group) remove(ctx context.Context, name string, exceptID uint64) error {
	if exceptID == 0 {
		if _, err := grp.findMember(ctx, name); err != nil {
			return err
		}
	}
	for {
		remaining := 0
		err := grp.commitMembers(ctx, func(mbs *controlpb.Members) bool {
			matches := func(mem *controlpb.Member) bool { return mem.GetName() == name && mem.GetId() != exceptID }
			if !removeFirst(mbs, matches) {
				return false
			}
			remaining = len(slices.DeleteFunc(slices.Clone(mbs.GetMembers()), func(mem *controlpb.Member) bool { return !matches(mem) }))
			return true
		})
		// Once it has removed itself, this process no longer leads, so another call would fail.
		if err != nil || remaining == 0 {
			return err
		}
	}
}

func (grp *Group) findMember(ctx context.Context, name string) (*controlpb.Member, error) {
	var fnd *controlpb.Member
	err := grp.callIfLeader(ctx, func() {
		for _, mem := range grp.rft.Members().GetMembers() {
			if mem.GetName() == name {
				fnd = mem
			}
		}
	})
	if err == nil && fnd == nil {
		err = &ChangeError{name: name, reason: "there is no such member"}
	}
	return fnd, err
}

// transferLeadership transfers leadership to the named member and returns once this process no longer leads.
func (grp *Group) transferLeadership(ctx context.Context, name string) error {
	mem, err := grp.findMember(ctx, name)
	if err != nil {
		return err
	}
	started := false
	for {
		done := false
		err := grp.callIfMember(ctx, func() error {
			switch {
			case grp.rft.LeaderID() == mem.GetId():
				done = true
			case grp.rft.Role() != raft.Leader:
				done = started && grp.rft.LeaderID() != 0
				return grp.notLeaderUnless(started)
			case !grp.rft.Transferring():
				started = true
				return grp.rft.Transfer(mem.GetId())
			}
			return nil
		})
		if err != nil || done {
			return err
		}
		if err := waitChangeRetry(ctx); err != nil {
			return err
		}
	}
}

// notLeaderUnless returns the error of a process that does not lead, or nil while an expected election runs.
func (grp *Group) notLeaderUnless(electionExpected bool) error {
	if electionExpected {
		return nil
	}
	return grp.notLeader()
}

// commitMembers applies edit to a copy of the membership, proposes it and waits until it is committed; edit returns
// false if there is nothing to change.
func (grp *Group) commitMembers(ctx context.Context, edit func(*controlpb.Members) bool) error {
	for {
		prp, err := grp.proposeMembers(ctx, edit)
		if err == nil {
			return grp.awaitCommit(ctx, prp)
		}
		var mbe *raft.MembersError
		var tre *raft.TransferringError
		if !(errors.As(err, &mbe) && mbe.Retry()) && !errors.As(err, &tre) {
			return err
		}
		if waitErr := waitChangeRetry(ctx); waitErr != nil {
			return errors.Wrap(waitErr, err.Error())
		}
	}
}

// proposeMembers returns a nil proposal if there is nothing to change.
func (grp *Group) proposeMembers(ctx context.Context, edit func(*controlpb.Members) bool) (*proposal, error) {
	var prp *proposal
	err := grp.callIfMember(ctx, func() error {
		if grp.rft.Role() != raft.Leader {
			return grp.notLeader()
		}
		mbs := proto.CloneOf(grp.rft.Members())
		if !edit(mbs) {
			return nil
		}
		idx, err := grp.rft.ProposeMembers(mbs)
		if err != nil {
			return err
		}
		prp = &proposal{index: idx, term: grp.rft.Term(), done: make(chan outcome, 1), appended: make(chan struct{})}
		close(prp.appended)
		grp.pendingProposals[idx] = prp
		return nil
	})
	return prp, err
}

func (grp *Group) awaitCommit(ctx context.Context, prp *proposal) error {
	if prp == nil {
		return nil
	}
	select {
	case out := <-prp.done:
		return out.err
	case <-grp.stopped:
		_, err := grp.outcomeAfterStop(prp)
		return err
	case <-ctx.Done():
		return prp.unknownOutcome(ctx.Err())
	}
}

// callIfLeader runs fn in the loop if this process leads.
func (grp *Group) callIfLeader(ctx context.Context, fn func()) error {
	return grp.callIfMember(ctx, func() error {
		if grp.rft.Role() != raft.Leader {
			return grp.notLeader()
		}
		fn()
		return nil
	})
}

// callIfMember runs fn in the loop if this process belongs to a cluster.
func (grp *Group) callIfMember(ctx context.Context, fn func() error) error {
	err := error(siskinrill.NewNotLeaderError(""))
	cerr := grp.call(ctx, func() {
		if grp.rft != nil {
			err = fn()
		}
	})
	if cerr != nil {
		return cerr
	}
	return err
}

func waitChangeRetry(ctx context.Context) error {
	sleep(ctx, changeRetryInterval)
	return ctx.Err()
}
