package raft

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// Step handles a message from another member to this member's store; messages to an earlier id of the store are ignored.
func (rft *Raft) Step(msg *controlpb.RaftMessage) {
	rft.adoptNewerID(msg)
	if msg.GetTo() != rft.opt.ID || msg.GetFrom() == rft.opt.ID {
		return
	}
	switch {
	case msg.GetTerm() > rft.term:
		if !rft.stepNewerTerm(msg) {
			return
		}
	case msg.GetTerm() < rft.term:
		rft.stepOlderTerm(msg)
		return
	}
	rft.stepTerm(msg)
}

// adoptNewerID makes this member continue under the id that a leader addresses it by. Ids only grow, so a leader that uses a
// newer one has removed the store's earlier member, which is committed, and added the store again. Term, vote and log belong
// to the store and stay, so that it still votes once per term.
func (rft *Raft) adoptNewerID(msg *controlpb.RaftMessage) {
	if msg.GetTo() <= rft.opt.ID || msg.GetTerm() < rft.term || !isLeaderMessage(msg) {
		return
	}
	rft.opt.ID = msg.GetTo()
	rft.becomeFollower(rft.term, 0)
}

// stepNewerTerm adopts the term of a message and reports whether the message is to be handled further.
func (rft *Raft) stepNewerTerm(msg *controlpb.RaftMessage) bool {
	switch msg.GetKind() {
	case controlpb.RaftKind_RAFT_KIND_PRE_VOTE:
		return true
	case controlpb.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER:
		if !msg.GetReject() {
			// A granted pre-vote carries the term of the campaign that would follow.
			return msg.GetTerm() == rft.term+1
		}
	case controlpb.RaftKind_RAFT_KIND_VOTE:
		if rft.hasRecentLeader() && !msg.GetTransfer() {
			return false
		}
	}
	ldr := uint64(0)
	if isLeaderMessage(msg) {
		ldr = msg.GetFrom()
	}
	rft.becomeFollower(msg.GetTerm(), ldr)
	return true
}

// stepOlderTerm sends the current term to a deposed leader or a candidate that lags.
func (rft *Raft) stepOlderTerm(msg *controlpb.RaftMessage) {
	switch {
	case isLeaderMessage(msg):
		rft.send(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_APPEND_ANSWER, To: msg.GetFrom(), Reject: true})
	case msg.GetKind() == controlpb.RaftKind_RAFT_KIND_PRE_VOTE:
		rft.stepPreVote(msg)
	}
}

func isLeaderMessage(msg *controlpb.RaftMessage) bool {
	switch msg.GetKind() {
	case controlpb.RaftKind_RAFT_KIND_APPEND, controlpb.RaftKind_RAFT_KIND_HEARTBEAT, controlpb.RaftKind_RAFT_KIND_SNAPSHOT:
		return true
	default:
		return false
	}
}

func (rft *Raft) stepTerm(msg *controlpb.RaftMessage) {
	switch msg.GetKind() {
	case controlpb.RaftKind_RAFT_KIND_PRE_VOTE:
		rft.stepPreVote(msg)
	case controlpb.RaftKind_RAFT_KIND_VOTE:
		rft.stepVote(msg)
	case controlpb.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER:
		if rft.role == PreCandidate {
			rft.stepVoteAnswer(msg)
		}
	case controlpb.RaftKind_RAFT_KIND_VOTE_ANSWER:
		if rft.role == Candidate {
			rft.stepVoteAnswer(msg)
		}
	case controlpb.RaftKind_RAFT_KIND_APPEND_ANSWER, controlpb.RaftKind_RAFT_KIND_HEARTBEAT_ANSWER:
		rft.stepAnswer(msg)
	case controlpb.RaftKind_RAFT_KIND_TIMEOUT_NOW:
		if rft.role == Follower {
			rft.campaign(true)
		}
	default:
		rft.stepLeaderMessage(msg)
	}
}

// stepLeaderMessage handles appends, heartbeats and snapshots of the leader of this term.
func (rft *Raft) stepLeaderMessage(msg *controlpb.RaftMessage) {
	if rft.role == Leader {
		return
	}
	if rft.role != Follower || rft.leader == 0 {
		rft.becomeFollower(rft.term, msg.GetFrom())
	}
	rft.electionElapsed = 0
	switch msg.GetKind() {
	case controlpb.RaftKind_RAFT_KIND_APPEND:
		rft.stepAppend(msg)
	case controlpb.RaftKind_RAFT_KIND_SNAPSHOT:
		rft.stepSnapshot(msg.GetSnapshot(), msg.GetFrom())
	default:
		rft.commitTo(msg.GetCommit())
		rft.send(&controlpb.RaftMessage{
			Kind: controlpb.RaftKind_RAFT_KIND_HEARTBEAT_ANSWER, To: msg.GetFrom(), Round: msg.GetRound(), Leaving: rft.leaving,
		})
		if rft.leaving {
			rft.leavingAnswers++
		}
	}
}

func (rft *Raft) stepAppend(msg *controlpb.RaftMessage) {
	ans := &controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_APPEND_ANSWER, To: msg.GetFrom()}
	prevLogIndex := msg.GetLogIndex()
	switch {
	case prevLogIndex < rft.log.baseIndex:
		// Everything before the base is committed and therefore equal to the leader's.
		ans.LogIndex = rft.log.commitIndex
	case rft.log.hasEntry(prevLogIndex, msg.GetLogTerm()):
		rft.log.merge(msg.GetEntries())
		ans.LogIndex = prevLogIndex + uint64(len(msg.GetEntries()))
		rft.commitTo(min(msg.GetCommit(), ans.GetLogIndex()))
	default:
		ans.Reject, ans.LogIndex = true, prevLogIndex
		ans.RejectHint, ans.LogTerm = rft.log.conflict(prevLogIndex, msg.GetLogTerm())
	}
	rft.send(ans)
}

func (rft *Raft) commitTo(idx uint64) {
	rft.log.commitIndex = max(rft.log.commitIndex, min(idx, rft.log.lastIndex()))
}

func (rft *Raft) stepSnapshot(snp *controlpb.Snapshot, from uint64) {
	switch {
	case snp.GetIndex() <= rft.log.commitIndex:
	case rft.log.hasEntry(snp.GetIndex(), snp.GetTerm()):
		rft.commitTo(snp.GetIndex())
	default:
		rft.log.restore(snp)
		rft.receivedSnapshot = snp
	}
	rft.send(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_APPEND_ANSWER, To: from, LogIndex: rft.log.commitIndex})
}
