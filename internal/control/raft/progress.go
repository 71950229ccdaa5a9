package raft

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// mode is how the leader sends to a follower.
type mode int

const (
	probing     mode = iota // one append at a time, until the end of the common log is found
	replicating             // pipelined appends within the window
	installing              // a snapshot is on its way
)

// progress is what the leader knows about a member.
type progress struct {
	mode     mode
	match    uint64   // newest index known to be synced there
	next     uint64   // first index of the next append
	inflight []uint64 // last index of each unanswered append, oldest first
	paused   bool     // probing: one append is unanswered
	heard    uint64   // tick of the newest message
	probed   uint64   // tick of the newest append that was sent only to find lost ones
	round    uint64   // newest heartbeat round answered
	pending  uint64   // installing: index of the snapshot
	giveUp   uint64   // installing: tick at which the snapshot counts as lost
}

func (prg *progress) probe(next uint64) {
	prg.mode, prg.next = probing, max(next, prg.match+1)
	prg.inflight, prg.paused = nil, false
}

func (prg *progress) ready(window int) bool {
	switch prg.mode {
	case probing:
		return !prg.paused
	case replicating:
		return len(prg.inflight) < window
	default:
		return false
	}
}

func (prg *progress) sent(last uint64, entries int) {
	switch prg.mode {
	case probing:
		prg.paused = true
	case replicating:
		if entries > 0 {
			prg.inflight = append(prg.inflight, last)
			prg.next = last + 1
		}
	}
}

// acknowledged records that the follower has synced the log up to idx.
func (prg *progress) acknowledged(idx uint64) {
	prg.match = max(prg.match, idx)
	prg.next = max(prg.next, prg.match+1)
	for len(prg.inflight) > 0 && prg.inflight[0] <= idx {
		prg.inflight = prg.inflight[1:]
	}
	switch {
	case prg.mode == probing, prg.mode == installing && prg.match >= prg.pending:
		prg.mode, prg.paused, prg.inflight = replicating, false, nil
		prg.next = prg.match + 1
	}
}

// ProgressStatus is what the leader knows about a member, for status output.
type ProgressStatus struct {
	match uint64
	quiet uint64
}

// Match returns the newest index known to be synced at the member.
func (pst ProgressStatus) Match() uint64 { return pst.match }

// Quiet returns the ticks since the member was heard.
func (pst ProgressStatus) Quiet() uint64 { return pst.quiet }

// Progress returns what the leader knows about a member, false at other members.
func (rft *Raft) Progress(mid uint64) (ProgressStatus, bool) {
	prg := rft.progress[mid]
	if prg == nil {
		return ProgressStatus{}, false
	}
	pst := ProgressStatus{match: prg.match, quiet: rft.now - prg.heard}
	if mid == rft.opt.ID {
		pst.quiet = 0
	}
	return pst, true
}

func (rft *Raft) stepAnswer(msg *controlpb.RaftMessage) {
	prg := rft.progress[msg.GetFrom()]
	if rft.role != Leader || prg == nil {
		return
	}
	prg.heard = rft.now
	switch {
	case msg.GetKind() == controlpb.RaftKind_RAFT_KIND_HEARTBEAT_ANSWER:
		rft.stepHeartbeatAnswer(prg, msg)
	case msg.GetReject():
		rft.stepReject(prg, msg)
	default:
		prg.acknowledged(msg.GetLogIndex())
		rft.maybeCommit()
		rft.handOver()
	}
}

func (rft *Raft) stepHeartbeatAnswer(prg *progress, msg *controlpb.RaftMessage) {
	prg.round = max(prg.round, msg.GetRound())
	if prg.match >= rft.log.last() || prg.probed == rft.now || prg.mode == installing {
		return
	}
	// Finds appends that were lost with nothing sent after them; once a tick bounds the cost.
	prg.probed = rft.now
	prg.paused = false
	if prg.mode == replicating && (prg.next > rft.log.last() || len(prg.inflight) >= rft.opt.Window) {
		rft.sendAppend(msg.GetFrom(), prg, 0)
	}
}

// stepReject moves back to the last index that may match, by the terms on both sides (thesis 3.5).
func (rft *Raft) stepReject(prg *progress, msg *controlpb.RaftMessage) {
	rejected := msg.GetLogIndex()
	stale := rejected <= prg.match || (prg.mode == probing && rejected != prg.next-1)
	if stale || prg.mode == installing {
		return
	}
	hint, _ := rft.log.conflict(msg.GetRejectHint(), msg.GetLogTerm())
	prg.probe(min(rejected, hint+1))
}
