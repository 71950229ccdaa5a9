package raft

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

const (
	// minCampaignTicks is the minimum time between two campaigns of a member; votes are sent and synced
	// within it.
	minCampaignTicks = 2
	// campaignJitterTicks is the number of ticks over which campaigns are randomized, so that candidates that
	// split the votes do not collide again.
	campaignJitterTicks = 4
)

func (rft *Raft) becomeFollower(trm, ldr uint64) {
	if trm > rft.term {
		rft.term, rft.votedFor = trm, 0
	}
	rft.role, rft.leader = Follower, ldr
	rft.votes, rft.progress = nil, nil
	rft.transferee = 0
	rft.resetElectionTimeout()
}

func (rft *Raft) resetElectionTimeout() {
	rft.electionElapsed = 0
	rft.electionTimeout = rft.opt.ElectionTicks + rft.rnd.IntN(rft.opt.ElectionTicks+1)
}

// resetCampaignTimeout sets a random time until a candidate's next campaign. It is shorter than an election
// timeout, because there is no leader to disturb, and a split vote or a pre-vote rejected by a member that
// had just received a leader's message should be repeated soon.
func (rft *Raft) resetCampaignTimeout() {
	rft.electionElapsed = 0
	rft.electionTimeout = min(minCampaignTicks+rft.rnd.IntN(campaignJitterTicks), rft.opt.ElectionTicks)
}

// campaign requests pre-votes, or directly votes if the leader transfers its leadership to this member.
func (rft *Raft) campaign(transfer bool) {
	if !rft.canCampaign() {
		return
	}
	rft.resetCampaignTimeout()
	if transfer || rft.flw.noPreVote {
		rft.becomeCandidate(transfer)
		return
	}
	rft.role, rft.leader = PreCandidate, 0
	rft.votes = map[uint64]bool{rft.opt.ID: true}
	if rft.electionWon() {
		rft.becomeCandidate(false)
		return
	}
	rft.requestVotes(controlpb.RaftKind_RAFT_KIND_PRE_VOTE, rft.term+1, false)
}

// canCampaign reports whether this member is a voter, or was one before a membership change that is not known
// to be committed. Such a member may be the only one with the newest log, and must then be able to lead until
// its removal is committed (thesis 4.2.2).
func (rft *Raft) canCampaign() bool {
	cfg := rft.log.configs
	if isVoter(rft.Members(), rft.opt.ID) {
		return true
	}
	return len(cfg) > 1 && rft.MembersIndex() > rft.log.commitIndex && isVoter(cfg[len(cfg)-2].members, rft.opt.ID)
}

func (rft *Raft) becomeCandidate(transfer bool) {
	rft.role, rft.leader = Candidate, 0
	rft.term++
	rft.votedFor = rft.opt.ID
	rft.votes = map[uint64]bool{rft.opt.ID: true}
	rft.resetCampaignTimeout()
	if rft.electionWon() {
		rft.becomeLeader()
		return
	}
	rft.requestVotes(controlpb.RaftKind_RAFT_KIND_VOTE, rft.term, transfer)
}

func (rft *Raft) requestVotes(knd controlpb.RaftKind, trm uint64, transfer bool) {
	for _, mem := range rft.Members().GetMembers() {
		if mem.GetLearner() || mem.GetId() == rft.opt.ID {
			continue
		}
		rft.send(&controlpb.RaftMessage{
			Kind: knd, To: mem.GetId(), Term: trm, Transfer: transfer,
			LogIndex: rft.log.lastIndex(), LogTerm: rft.log.lastTerm(),
		})
	}
}

// hasRecentLeader reports whether this member leads or received a message of the leader within the minimum
// election timeout, so that a vote would only disrupt the leader.
func (rft *Raft) hasRecentLeader() bool {
	return rft.role == Leader || (rft.leader != 0 && rft.electionElapsed < rft.opt.ElectionTicks)
}

func (rft *Raft) stepPreVote(msg *controlpb.RaftMessage) {
	ans := &controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER, To: msg.GetFrom(), Term: msg.GetTerm()}
	if msg.GetTerm() <= rft.term || rft.hasRecentLeader() || !rft.log.upToDate(msg.GetLogIndex(), msg.GetLogTerm()) {
		ans.Term, ans.Reject = rft.term, true
	} else {
		rft.yieldTo(msg.GetFrom())
	}
	rft.send(ans)
}

// yieldTo delays this member's next campaign after it granted a pre-vote. It also ends its own pre-vote if
// the other id is higher, since two candidates of one term would split the votes.
func (rft *Raft) yieldTo(mid uint64) {
	rft.electionTimeout = max(rft.electionTimeout, rft.electionElapsed+minCampaignTicks)
	if rft.role == PreCandidate && mid > rft.opt.ID {
		rft.role, rft.votes = Follower, nil
	}
}

func (rft *Raft) stepVote(msg *controlpb.RaftMessage) {
	free := rft.votedFor == 0 || rft.votedFor == msg.GetFrom()
	grant := free && rft.leader == 0 && rft.log.upToDate(msg.GetLogIndex(), msg.GetLogTerm())
	if grant {
		rft.votedFor = msg.GetFrom()
		rft.resetElectionTimeout()
	}
	rft.send(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_VOTE_ANSWER, To: msg.GetFrom(), Reject: !grant})
}

func (rft *Raft) stepVoteAnswer(msg *controlpb.RaftMessage) {
	if _, done := rft.votes[msg.GetFrom()]; done {
		return
	}
	rft.votes[msg.GetFrom()] = !msg.GetReject()
	switch {
	case rft.electionWon() && rft.role == PreCandidate:
		rft.becomeCandidate(false)
	case rft.electionWon():
		rft.becomeLeader()
	case rft.electionLost():
		rft.becomeFollower(rft.term, 0)
	}
}

func (rft *Raft) electionWon() bool  { return rft.countVotes(true) >= quorum(rft.Members()) }
func (rft *Raft) electionLost() bool { return rft.countVotes(false) >= quorum(rft.Members()) }

func (rft *Raft) countVotes(granted bool) int {
	num := 0
	for mid, grt := range rft.votes {
		if grt == granted && isVoter(rft.Members(), mid) {
			num++
		}
	}
	return num
}
