package raft

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// progressMode is how the leader sends to a follower.
type progressMode int

const (
	probing     progressMode = iota // one append at a time, until the last matching entry is found
	replicating                     // pipelined appends, up to Options.Window
	installing                      // a snapshot is in transit
)

// progress is what the leader knows about a member.
type progress struct {
	mode             progressMode
	matchIndex       uint64   // newest index known to be synced by the member
	nextIndex        uint64   // first index of the next append
	inflight         []uint64 // last index of each unacknowledged append, oldest first
	paused           bool     // probing: an append is unacknowledged
	lastContact      uint64   // tick of the latest message from the member
	lastProbe        uint64   // tick of the latest append sent only to detect lost ones
	leaving          bool     // the member has stated that it is about to stop
	ackedRound       uint64   // newest heartbeat round that the member answered
	pendingSnapshot  uint64   // installing: index of the snapshot
	snapshotDeadline uint64   // installing: tick after which the snapshot is assumed lost
}

func (prg *progress) startProbing(next uint64) {
	prg.mode, prg.nextIndex = probing, max(next, prg.matchIndex+1)
	prg.inflight, prg.paused = nil, false
}

func (prg *progress) canSend(window int) bool {
	switch prg.mode {
	case probing:
		return !prg.paused
	case replicating:
		return len(prg.inflight) < window
	default:
		return false
	}
}

func (prg *progress) recordSent(last uint64, entries int) {
	switch prg.mode {
	case probing:
		prg.paused = true
	case replicating:
		if entries > 0 {
			prg.inflight = append(prg.inflight, last)
			prg.nextIndex = last + 1
		}
	}
}

// recordAck records that the follower has synced the log up to idx.
func (prg *progress) recordAck(idx uint64) {
	prg.matchIndex = max(prg.matchIndex, idx)
	prg.nextIndex = max(prg.nextIndex, prg.matchIndex+1)
	for len(prg.inflight) > 0 && prg.inflight[0] <= idx {
		prg.inflight = prg.inflight[1:]
	}
	switch {
	case prg.mode == probing, prg.mode == installing && prg.matchIndex >= prg.pendingSnapshot:
		prg.mode, prg.paused, prg.inflight = replicating, false, nil
		prg.nextIndex = prg.matchIndex + 1
	}
}

// ProgressStatus is what the leader knows about a member, for status output.
type ProgressStatus struct {
	matchIndex        uint64
	ticksSinceContact uint64
	leaving           bool
}

// Match returns the newest index known to be synced by the member.
func (pst ProgressStatus) Match() uint64 { return pst.matchIndex }

// TicksSinceContact returns the ticks since the latest message from the member.
func (pst ProgressStatus) TicksSinceContact() uint64 { return pst.ticksSinceContact }

// Leaving reports whether the member has stated that it is about to stop.
func (pst ProgressStatus) Leaving() bool { return pst.leaving }

// Progress returns what the leader knows about a member, false if this member is not the leader.
func (rft *Raft) Progress(mid uint64) (ProgressStatus, bool) {
	prg := rft.progress[mid]
	if prg == nil {
		return ProgressStatus{}, false
	}
	pst := ProgressStatus{matchIndex: prg.matchIndex, ticksSinceContact: rft.now - prg.lastContact, leaving: prg.leaving}
	if mid == rft.opt.ID {
		pst.ticksSinceContact = 0
	}
	return pst, true
}

func (rft *Raft) stepAnswer(msg *controlpb.RaftMessage) {
	prg := rft.progress[msg.GetFrom()]
	if rft.role != Leader || prg == nil {
		return
	}
	prg.lastContact = rft.now
	switch {
	case msg.GetKind() == controlpb.RaftKind_RAFT_KIND_HEARTBEAT_ANSWER:
		rft.stepHeartbeatAnswer(prg, msg)
	case msg.GetReject():
		rft.stepReject(prg, msg)
	default:
		prg.recordAck(msg.GetLogIndex())
		rft.maybeCommit()
		rft.maybeSendTimeoutNow()
	}
}

func (rft *Raft) stepHeartbeatAnswer(prg *progress, msg *controlpb.RaftMessage) {
	prg.ackedRound = max(prg.ackedRound, msg.GetRound())
	prg.leaving = msg.GetLeaving()
	if prg.matchIndex >= rft.log.lastIndex() || prg.lastProbe == rft.now || prg.mode == installing {
		return
	}
	// Detects lost appends that were not followed by another; once per tick bounds the cost.
	prg.lastProbe = rft.now
	prg.paused = false
	if prg.mode == replicating && (prg.nextIndex > rft.log.lastIndex() || len(prg.inflight) >= rft.opt.Window) {
		rft.sendAppend(msg.GetFrom(), prg, 0)
	}
}

// stepReject moves nextIndex back to just after the last entry that may match, using the terms of both logs
// to skip conflicting ones (thesis 3.5).
func (rft *Raft) stepReject(prg *progress, msg *controlpb.RaftMessage) {
	rejected := msg.GetLogIndex()
	stale := rejected <= prg.matchIndex || (prg.mode == probing && rejected != prg.nextIndex-1)
	if stale || prg.mode == installing {
		return
	}
	hint, _ := rft.log.conflict(msg.GetRejectHint(), msg.GetLogTerm())
	prg.startProbing(min(rejected, hint+1))
}
