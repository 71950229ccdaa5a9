package raft

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// Ready is the work due before Advance: store Snapshot, Entries and HardState with one sync, then send
// Messages and apply Committed.
type Ready struct {
	HardState          *controlpb.HardState     // nil if unchanged
	Snapshot           *controlpb.Snapshot      // received from the leader, replaces log and registry; nil for none
	Entries            []*controlpb.Entry       // to store; they replace the stored entries from the first index on
	MessagesBeforeSync []*controlpb.RaftMessage // may be sent before the sync
	Messages           []*controlpb.RaftMessage // to be sent only after the sync
	Committed          []*controlpb.Entry       // to apply, in order
	MustSync           bool                     // false if at most the commit index changed
}

// Empty reports whether there is nothing to do.
func (rdy *Ready) Empty() bool {
	return rdy.HardState == nil && rdy.Snapshot == nil && len(rdy.Entries)+len(rdy.MessagesBeforeSync)+len(rdy.Messages)+len(rdy.Committed) == 0
}

// Ready returns the pending work; all proposals since the previous call are sent in the same appends.
func (rft *Raft) Ready() *Ready {
	if rft.role == Leader {
		rft.replicate()
	}
	rdy := &Ready{
		Snapshot:           rft.receivedSnapshot,
		Entries:            rft.log.slice(rft.log.stable+1, rft.log.lastIndex(), len(rft.log.entries), maxInt),
		MessagesBeforeSync: rft.messagesBeforeSync,
		Messages:           rft.messages,
	}
	if hst := rft.hardState(); hst.GetTerm() != rft.syncedState.GetTerm() || hst.GetVote() != rft.syncedState.GetVote() || hst.GetCommit() != rft.syncedState.GetCommit() {
		rdy.HardState = hst
		rdy.MustSync = hst.GetTerm() != rft.syncedState.GetTerm() || hst.GetVote() != rft.syncedState.GetVote()
	}
	rdy.MustSync = rdy.MustSync || rdy.Snapshot != nil || len(rdy.Entries) > 0
	applied := rft.log.lastApplied
	if rft.receivedSnapshot != nil {
		applied = rft.receivedSnapshot.GetIndex()
	}
	rdy.Committed = rft.log.slice(applied+1, rft.log.commitIndex, len(rft.log.entries), maxInt)
	return rdy
}

// Advance confirms that the work of a Ready is done.
func (rft *Raft) Advance(rdy *Ready) {
	rft.messagesBeforeSync, rft.messages, rft.receivedSnapshot = nil, nil, nil
	if rdy.HardState != nil {
		rft.syncedState = rdy.HardState
	}
	rft.log.stable = rft.log.lastIndex()
	rft.log.lastApplied = max(rft.log.lastApplied, rft.log.commitIndex)
	if rft.role != Leader {
		return
	}
	if own := rft.progress[rft.opt.ID]; own != nil {
		own.matchIndex = max(own.matchIndex, rft.log.stable)
	}
	rft.maybeCommit()
	rft.maybeSendTimeoutNow()
	rft.stepDownIfRemoved()
}

func (rft *Raft) hardState() *controlpb.HardState {
	return &controlpb.HardState{Term: rft.term, Vote: rft.votedFor, Commit: rft.log.commitIndex}
}

const maxInt = int(^uint(0) >> 1)
