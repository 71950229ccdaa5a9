package raft

import (
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func (rft *Raft) becomeLeader() {
	rft.role, rft.leader = Leader, rft.opt.ID
	rft.votes, rft.transferee = nil, 0
	rft.progress = map[uint64]*progress{}
	rft.heartbeatRound++
	rft.commitAtTick = rft.log.lastIndex() + 1
	rft.termStart = rft.log.lastIndex() + 1
	rft.updateProgress()
	rft.appendEntry(controlpb.EntryKind_ENTRY_KIND_EMPTY, nil)
	rft.sendHeartbeats()
}

// updateProgress adds and removes progress entries after a membership change.
func (rft *Raft) updateProgress() {
	old := rft.progress
	rft.progress = map[uint64]*progress{}
	for _, mem := range rft.Members().GetMembers() {
		prg := old[mem.GetId()]
		if prg == nil {
			prg = &progress{nextIndex: rft.log.lastIndex() + 1, lastContact: rft.now}
		}
		rft.progress[mem.GetId()] = prg
	}
	if own := rft.progress[rft.opt.ID]; own != nil {
		own.matchIndex = rft.log.stable
	}
}

func (rft *Raft) appendEntry(knd controlpb.EntryKind, data []byte) uint64 {
	ent := &controlpb.Entry{Index: rft.log.lastIndex() + 1, Term: rft.term, Kind: knd, Data: data}
	rft.log.append(ent)
	return ent.GetIndex()
}

// Propose appends a command and returns its index; the error is a *NotLeaderError or a *TransferringError.
func (rft *Raft) Propose(data []byte) (uint64, error) {
	if err := rft.checkAccepting(); err != nil {
		return 0, err
	}
	return rft.appendEntry(controlpb.EntryKind_ENTRY_KIND_COMMAND, data), nil
}

func (rft *Raft) checkAccepting() error {
	if rft.role != Leader {
		return &NotLeaderError{leader: rft.leader}
	}
	if rft.transferee != 0 {
		return &TransferringError{target: rft.transferee}
	}
	return nil
}

func (rft *Raft) tickLeader() {
	if !rft.flw.noCheckQuorum && !rft.quorumActive() {
		rft.becomeFollower(rft.term, 0)
		return
	}
	if rft.transferee != 0 && rft.now >= rft.transferDeadline {
		rft.transferee = 0
	}
	for _, prg := range rft.progress {
		if prg.mode == installing && rft.now >= prg.snapshotDeadline {
			prg.startProbing(prg.matchIndex + 1)
		}
	}
	rft.commitAtTick = max(rft.log.commitIndex, rft.termStart)
	rft.heartbeatRound++
	rft.sendHeartbeats()
}

// quorumActive reports whether a majority was in contact within the maximum election timeout. A partitioned
// leader may remain leader for that long beside its successor, which is safe because reads and renewals need
// a confirmed round.
func (rft *Raft) quorumActive() bool {
	oldest := rft.quorumValue(func(prg *progress) uint64 { return prg.lastContact }, rft.now)
	return rft.now-oldest <= uint64(2*rft.opt.ElectionTicks)
}

// quorumValue returns the highest value that a majority of the voters has reached; own is the value of this
// member.
func (rft *Raft) quorumValue(value func(*progress) uint64, own uint64) uint64 {
	var vals []uint64
	for _, mem := range rft.Members().GetMembers() {
		switch {
		case mem.GetLearner():
		case mem.GetId() == rft.opt.ID:
			vals = append(vals, own)
		default:
			vals = append(vals, value(rft.progress[mem.GetId()]))
		}
	}
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[len(vals)-quorum(rft.Members())]
}

// StartRound sends heartbeats immediately and returns their round, or a *NotLeaderError.
func (rft *Raft) StartRound() (uint64, error) {
	if rft.role != Leader {
		return 0, &NotLeaderError{leader: rft.leader}
	}
	rft.heartbeatRound++
	rft.sendHeartbeats()
	return rft.heartbeatRound, nil
}

// ConfirmedRound returns the newest heartbeat round that a majority has answered, 0 if this member is not the
// leader.
func (rft *Raft) ConfirmedRound() uint64 {
	if rft.role != Leader {
		return 0
	}
	return rft.quorumValue(func(prg *progress) uint64 { return prg.ackedRound }, rft.heartbeatRound)
}

func (rft *Raft) sendHeartbeats() {
	for _, mem := range rft.Members().GetMembers() {
		if mem.GetId() == rft.opt.ID {
			continue
		}
		rft.sendBeforeSync(&controlpb.RaftMessage{
			Kind: controlpb.RaftKind_RAFT_KIND_HEARTBEAT, To: mem.GetId(), Round: rft.heartbeatRound,
			Commit: min(rft.log.commitIndex, rft.progress[mem.GetId()].matchIndex),
		})
	}
}

// replicate sends the missing entries to each follower, within its window.
func (rft *Raft) replicate() {
	for _, mem := range rft.Members().GetMembers() {
		if mem.GetId() == rft.opt.ID {
			continue
		}
		prg := rft.progress[mem.GetId()]
		for prg.canSend(rft.opt.Window) && (prg.nextIndex <= rft.log.lastIndex() || prg.mode == probing && prg.matchIndex < rft.log.lastIndex()) {
			rft.sendAppend(mem.GetId(), prg, rft.opt.MaxAppendEntries)
		}
	}
}

// sendAppend sends up to limit entries, or the snapshot if the entry before them is compacted.
func (rft *Raft) sendAppend(mid uint64, prg *progress, limit int) {
	prevLogIndex := prg.nextIndex - 1
	trm, kept := rft.log.term(prevLogIndex)
	if !kept {
		rft.sendSnapshot(mid, prg)
		return
	}
	var ents []*controlpb.Entry
	if limit > 0 {
		ents = rft.log.slice(prg.nextIndex, rft.log.lastIndex(), limit, rft.opt.MaxAppendBytes)
	}
	rft.sendBeforeSync(&controlpb.RaftMessage{
		Kind: controlpb.RaftKind_RAFT_KIND_APPEND, To: mid,
		LogIndex: prevLogIndex, LogTerm: trm, Entries: ents, Commit: rft.log.commitIndex,
	})
	prg.recordSent(prevLogIndex+uint64(len(ents)), len(ents))
}

func (rft *Raft) sendSnapshot(mid uint64, prg *progress) {
	prg.mode, prg.pendingSnapshot = installing, rft.log.snapshot.GetIndex()
	prg.snapshotDeadline = rft.now + snapshotTimeoutTicks
	prg.inflight = nil
	rft.sendBeforeSync(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_SNAPSHOT, To: mid, Snapshot: rft.log.snapshot})
}

// maybeCommit advances the commit index to what a majority has synced, but only if that entry is of the
// current term (thesis 3.6.2).
func (rft *Raft) maybeCommit() {
	own := uint64(0)
	if prg := rft.progress[rft.opt.ID]; prg != nil {
		own = prg.matchIndex
	}
	idx := rft.quorumValue(func(prg *progress) uint64 { return prg.matchIndex }, own)
	if idx <= rft.log.commitIndex {
		return
	}
	if rft.log.hasEntry(idx, rft.term) || rft.flw.commitEarlierTerm {
		rft.log.commitIndex = idx
	}
}
