package raft

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// Ready is what the caller must do before it calls Advance: store Snapshot, Entries and HardState with one sync, then send Messages and apply Committed.
type Ready struct {
	HardState *controlpb.HardState     // nil when unchanged
	Snapshot  *controlpb.Snapshot      // received from the leader, replaces log and registry; nil for none
	Entries   []*controlpb.Entry       // to store; they replace stored entries from the first index on
	Early     []*controlpb.RaftMessage // may be sent before the sync
	Messages  []*controlpb.RaftMessage // only after the sync
	Committed []*controlpb.Entry       // to apply, in order
	MustSync  bool                     // false when only the commit index changed
}

// Empty reports whether there is nothing to do.
func (rdy *Ready) Empty() bool {
	return rdy.HardState == nil && rdy.Snapshot == nil && len(rdy.Entries)+len(rdy.Early)+len(rdy.Messages)+len(rdy.Committed) == 0
}

// Ready returns the pending work; all proposals since the last one leave in common appends.
func (rft *Raft) Ready() *Ready {
	if rft.role == Leader {
		rft.replicate()
	}
	rdy := &Ready{
		Snapshot: rft.installed,
		Entries:  rft.log.slice(rft.log.stable+1, rft.log.last(), len(rft.log.entries), maxInt),
		Early:    rft.early,
		Messages: rft.messages,
	}
	if hst := rft.hardState(); hst.GetTerm() != rft.synced.GetTerm() || hst.GetVote() != rft.synced.GetVote() || hst.GetCommit() != rft.synced.GetCommit() {
		rdy.HardState = hst
		rdy.MustSync = hst.GetTerm() != rft.synced.GetTerm() || hst.GetVote() != rft.synced.GetVote()
	}
	rdy.MustSync = rdy.MustSync || rdy.Snapshot != nil || len(rdy.Entries) > 0
	applied := rft.log.applied
	if rft.installed != nil {
		applied = rft.installed.GetIndex()
	}
	rdy.Committed = rft.log.slice(applied+1, rft.log.commit, len(rft.log.entries), maxInt)
	return rdy
}

// Advance tells that the work of a Ready is done.
func (rft *Raft) Advance(rdy *Ready) {
	rft.early, rft.messages, rft.installed = nil, nil, nil
	if rdy.HardState != nil {
		rft.synced = rdy.HardState
	}
	rft.log.stable = rft.log.last()
	rft.log.applied = max(rft.log.applied, rft.log.commit)
	if rft.role != Leader {
		return
	}
	if own := rft.progress[rft.opt.ID]; own != nil {
		own.match = max(own.match, rft.log.stable)
	}
	rft.maybeCommit()
	rft.handOver()
	rft.leaveIfRemoved()
}

func (rft *Raft) hardState() *controlpb.HardState {
	return &controlpb.HardState{Term: rft.term, Vote: rft.vote, Commit: rft.log.commit}
}

const maxInt = int(^uint(0) >> 1)
