package raft

import (
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func (rft *Raft) becomeLeader() {
	rft.role, rft.leader = Leader, rft.opt.ID
	rft.votes, rft.transferee = nil, 0
	rft.progress = map[uint64]*progress{}
	rft.round++
	rft.tickCommit = rft.log.last() + 1
	rft.termStart = rft.log.last() + 1
	rft.syncProgress()
	rft.appendOwn(controlpb.EntryKind_ENTRY_KIND_EMPTY, nil)
	rft.heartbeat()
}

// syncProgress follows a change of the membership.
func (rft *Raft) syncProgress() {
	old := rft.progress
	rft.progress = map[uint64]*progress{}
	for _, mem := range rft.Members().GetMembers() {
		prg := old[mem.GetId()]
		if prg == nil {
			prg = &progress{next: rft.log.last() + 1, heard: rft.now}
		}
		rft.progress[mem.GetId()] = prg
	}
	if own := rft.progress[rft.opt.ID]; own != nil {
		own.match = rft.log.stable
	}
}

func (rft *Raft) appendOwn(knd controlpb.EntryKind, data []byte) uint64 {
	ent := &controlpb.Entry{Index: rft.log.last() + 1, Term: rft.term, Kind: knd, Data: data}
	rft.log.append(ent)
	return ent.GetIndex()
}

// Propose appends a command and returns its index; the error is a *NotLeaderError or a *TransferringError.
func (rft *Raft) Propose(data []byte) (uint64, error) {
	if err := rft.accepting(); err != nil {
		return 0, err
	}
	return rft.appendOwn(controlpb.EntryKind_ENTRY_KIND_COMMAND, data), nil
}

func (rft *Raft) accepting() error {
	if rft.role != Leader {
		return &NotLeaderError{leader: rft.leader}
	}
	if rft.transferee != 0 {
		return &TransferringError{target: rft.transferee}
	}
	return nil
}

func (rft *Raft) tickLeader() {
	if !rft.flw.noCheckQuorum && !rft.quorumHeard() {
		rft.becomeFollower(rft.term, 0)
		return
	}
	if rft.transferee != 0 && rft.now >= rft.transferBy {
		rft.transferee = 0
	}
	for _, prg := range rft.progress {
		if prg.mode == installing && rft.now >= prg.giveUp {
			prg.probe(prg.match + 1)
		}
	}
	rft.tickCommit = max(rft.log.commit, rft.termStart)
	rft.round++
	rft.heartbeat()
}

// quorumHeard reports whether a majority was heard within the longest election timeout. A leader that is cut off may lead on for that long beside its successor, which is safe because reads and renewals need a confirmed round.
func (rft *Raft) quorumHeard() bool {
	oldest := rft.quorumValue(func(prg *progress) uint64 { return prg.heard }, rft.now)
	return rft.now-oldest <= uint64(2*rft.opt.ElectionTicks)
}

// quorumValue returns the highest value that a majority of the voters reaches; own is the value of this member.
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

// StartRound sends a heartbeat at once and returns its round, or a *NotLeaderError.
func (rft *Raft) StartRound() (uint64, error) {
	if rft.role != Leader {
		return 0, &NotLeaderError{leader: rft.leader}
	}
	rft.round++
	rft.heartbeat()
	return rft.round, nil
}

// ConfirmedRound returns the newest heartbeat round that a majority has answered, 0 at other members than the leader.
func (rft *Raft) ConfirmedRound() uint64 {
	if rft.role != Leader {
		return 0
	}
	return rft.quorumValue(func(prg *progress) uint64 { return prg.round }, rft.round)
}

func (rft *Raft) heartbeat() {
	for _, mem := range rft.Members().GetMembers() {
		if mem.GetId() == rft.opt.ID {
			continue
		}
		rft.sendEarly(&controlpb.RaftMessage{
			Kind: controlpb.RaftKind_RAFT_KIND_HEARTBEAT, To: mem.GetId(), Round: rft.round,
			Commit: min(rft.log.commit, rft.progress[mem.GetId()].match),
		})
	}
}

// replicate sends what each follower lacks, within its window.
func (rft *Raft) replicate() {
	for _, mem := range rft.Members().GetMembers() {
		if mem.GetId() == rft.opt.ID {
			continue
		}
		prg := rft.progress[mem.GetId()]
		for prg.ready(rft.opt.Window) && (prg.next <= rft.log.last() || prg.mode == probing && prg.match < rft.log.last()) {
			rft.sendAppend(mem.GetId(), prg, rft.opt.MaxAppendEntries)
		}
	}
}

// sendAppend sends up to limit entries, or the snapshot when the entries before them are compacted.
func (rft *Raft) sendAppend(mid uint64, prg *progress, limit int) {
	prev := prg.next - 1
	trm, kept := rft.log.term(prev)
	if !kept {
		rft.sendSnapshot(mid, prg)
		return
	}
	var ents []*controlpb.Entry
	if limit > 0 {
		ents = rft.log.slice(prg.next, rft.log.last(), limit, rft.opt.MaxAppendBytes)
	}
	rft.sendEarly(&controlpb.RaftMessage{
		Kind: controlpb.RaftKind_RAFT_KIND_APPEND, To: mid,
		LogIndex: prev, LogTerm: trm, Entries: ents, Commit: rft.log.commit,
	})
	prg.sent(prev+uint64(len(ents)), len(ents))
}

func (rft *Raft) sendSnapshot(mid uint64, prg *progress) {
	prg.mode, prg.pending = installing, rft.log.snapshot.GetIndex()
	prg.giveUp = rft.now + snapshotTicks
	prg.inflight = nil
	rft.sendEarly(&controlpb.RaftMessage{Kind: controlpb.RaftKind_RAFT_KIND_SNAPSHOT, To: mid, Snapshot: rft.log.snapshot})
}

// maybeCommit commits what a majority has synced, but only by an entry of the own term (thesis 3.6.2).
func (rft *Raft) maybeCommit() {
	own := uint64(0)
	if prg := rft.progress[rft.opt.ID]; prg != nil {
		own = prg.match
	}
	idx := rft.quorumValue(func(prg *progress) uint64 { return prg.match }, own)
	if idx <= rft.log.commit {
		return
	}
	if rft.log.matches(idx, rft.term) || rft.flw.commitEarlierTerm {
		rft.log.commit = idx
	}
}
