package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// EncodeMembers returns the data of an entry that sets the membership.
func EncodeMembers(mbs *controlpb.Members) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(mbs)
	if err != nil {
		panic(fmt.Sprintf("raft: encode membership: %v", err))
	}
	return data
}

// decodeMembers returns the membership of an entry. It panics on a failure, which can only be a bug: entries
// are protected by checksums on disk and by gRPC on the network.
func decodeMembers(ent *controlpb.Entry) *controlpb.Members {
	mbs := &controlpb.Members{}
	if err := proto.Unmarshal(ent.GetData(), mbs); err != nil {
		panic(fmt.Sprintf("raft: decode membership of entry %d: %v", ent.GetIndex(), err))
	}
	return mbs
}

func isVoter(mbs *controlpb.Members, mid uint64) bool {
	mem := findMember(mbs, mid)
	return mem != nil && !mem.GetLearner()
}

func findMember(mbs *controlpb.Members, mid uint64) *controlpb.Member {
	for _, mem := range mbs.GetMembers() {
		if mem.GetId() == mid {
			return mem
		}
	}
	return nil
}

// quorum returns the size of a majority of the voters.
func quorum(mbs *controlpb.Members) int {
	num := 0
	for _, mem := range mbs.GetMembers() {
		if !mem.GetLearner() {
			num++
		}
	}
	return num/2 + 1
}

// ProposeMembers appends a membership, which is in force immediately, and returns its index.
//
// It may differ from the current one by one new learner, one learner that becomes a voter, or one removed
// member. The error is a *NotLeaderError, a *TransferringError or a *MembersError.
func (rft *Raft) ProposeMembers(mbs *controlpb.Members) (uint64, error) {
	if err := rft.checkAccepting(); err != nil {
		return 0, err
	}
	if rft.MembersIndex() > rft.log.commitIndex {
		return 0, &MembersError{reason: "the previous change is not committed", retry: true}
	}
	if rft.log.commitIndex < rft.termStart {
		return 0, &MembersError{reason: "no entry of this term is committed", retry: true}
	}
	if err := rft.checkChange(mbs); err != nil {
		return 0, err
	}
	idx := rft.appendEntry(controlpb.EntryKind_ENTRY_KIND_MEMBERS, EncodeMembers(mbs))
	rft.updateProgress()
	return idx, nil
}

// checkChange ensures that old and new majorities overlap, that a new voter has caught up, and that enough
// voters are active.
func (rft *Raft) checkChange(mbs *controlpb.Members) error {
	cur := rft.Members()
	changes := 0
	for _, mem := range cur.GetMembers() {
		if findMember(mbs, mem.GetId()) == nil {
			changes++
		}
	}
	for _, mem := range mbs.GetMembers() {
		old := findMember(cur, mem.GetId())
		switch {
		case old == nil && !mem.GetLearner():
			return &MembersError{reason: "a new member must be a learner first"}
		case old == nil:
			changes++
		case old.GetLearner() == mem.GetLearner():
		case mem.GetLearner():
			return &MembersError{reason: "a voter cannot become a learner"}
		case !rft.caughtUp(mem.GetId()):
			return &MembersError{reason: "the learner has not caught up", retry: true}
		default:
			changes++
		}
	}
	if changes != 1 {
		return &MembersError{reason: fmt.Sprintf("%d members differ, one may", changes)}
	}
	if rft.countActive(mbs) < quorum(mbs) {
		return &MembersError{reason: "too few of the remaining voters answer", retry: true}
	}
	return nil
}

// countActive counts the voters of a membership that were in contact within the minimum election timeout.
// With fewer than a majority of them the change would make the group unavailable.
func (rft *Raft) countActive(mbs *controlpb.Members) int {
	num := 0
	for _, mem := range mbs.GetMembers() {
		prg := rft.progress[mem.GetId()]
		if mem.GetLearner() || prg == nil {
			continue
		}
		if mem.GetId() == rft.opt.ID || rft.now-prg.lastContact <= uint64(rft.opt.ElectionTicks) {
			num++
		}
	}
	return num
}

// caughtUp reports whether a learner has synced everything that was committed at the previous tick; an exact
// match might never be reached under constant load.
func (rft *Raft) caughtUp(mid uint64) bool {
	return rft.flw.promoteUnsynced || rft.progress[mid].matchIndex >= rft.commitAtTick
}

// Transfer starts transferring leadership to a voter; it is abandoned after the minimum election timeout.
func (rft *Raft) Transfer(mid uint64) error {
	if err := rft.checkAccepting(); err != nil {
		return err
	}
	if mid == rft.opt.ID || !isVoter(rft.Members(), mid) {
		return &MembersError{reason: fmt.Sprintf("member %d is not another voter", mid)}
	}
	rft.transferee, rft.timeoutNowTick = mid, 0
	rft.transferDeadline = rft.now + uint64(rft.opt.ElectionTicks)
	rft.maybeSendTimeoutNow()
	return nil
}

// SetLeaving makes this member state in its answers to heartbeats that it is about to stop.
func (rft *Raft) SetLeaving() { rft.leaving = true }

// LeavingAnswers returns how many heartbeats were answered with that.
func (rft *Raft) LeavingAnswers() int { return rft.leavingAnswers }

// Transferring reports whether a leadership transfer is in progress.
func (rft *Raft) Transferring() bool { return rft.transferee != 0 }

// maybeSendTimeoutNow asks the next leader to campaign once it has the full log and all of it is committed,
// so that no proposal is left without an outcome.
func (rft *Raft) maybeSendTimeoutNow() {
	mid, last := rft.transferee, rft.log.lastIndex()
	if mid != 0 && rft.timeoutNowTick != rft.now && rft.progress[mid].matchIndex == last && rft.log.commitIndex == last {
		// At most once per tick, otherwise each Advance would produce further messages.
		rft.timeoutNowTick = rft.now
		rft.sendBeforeSync(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_TIMEOUT_NOW, To: mid})
	}
}

// Successor returns the voter with the longest synced log besides this member, 0 if there is none.
func (rft *Raft) Successor() uint64 {
	best, match := uint64(0), uint64(0)
	for _, mem := range rft.Members().GetMembers() {
		prg := rft.progress[mem.GetId()]
		if mem.GetLearner() || mem.GetId() == rft.opt.ID || prg == nil {
			continue
		}
		if best == 0 || prg.matchIndex > match {
			best, match = mem.GetId(), prg.matchIndex
		}
	}
	return best
}

// stepDownIfRemoved ends the leadership of this member once its removal is committed.
func (rft *Raft) stepDownIfRemoved() {
	if rft.role != Leader || isVoter(rft.Members(), rft.opt.ID) || rft.log.commitIndex < rft.MembersIndex() {
		return
	}
	if nxt := rft.Successor(); nxt != 0 {
		rft.send(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_TIMEOUT_NOW, To: nxt})
	}
	rft.becomeFollower(rft.term, 0)
}
