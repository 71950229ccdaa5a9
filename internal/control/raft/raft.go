package raft

import (
	"math/rand/v2"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Role is the state of a member in its term.
type Role int

// Roles of a member; a learner is a follower that never campaigns.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

const (
	// entryOverhead is the approximate size of the index, term, kind and framing of an encoded entry in
	// bytes.
	entryOverhead = 16
	// snapshotTimeoutTicks is the time after which an unacknowledged snapshot is sent again; at 50 ms per
	// tick it allows 2 s for transfer and sync.
	snapshotTimeoutTicks = 40
)

// Options are the settings of a member; zero values mean the defaults.
type Options struct {
	ID               uint64 // of this member, never 0
	Seed             uint64 // of the random election timeouts
	ElectionTicks    int    // minimum election timeout, the maximum is twice as long; default 5
	MaxAppendEntries int    // entries in one message; default 512
	MaxAppendBytes   int    // in one message, exceeded only by a single entry; default 256 KiB
	Window           int    // unacknowledged appends per follower; default 16
}

// Initial is the durable state that a member starts from.
type Initial struct {
	HardState *controlpb.HardState
	Snapshot  *controlpb.Snapshot // newest snapshot, whose data is not used; nil for none
	Members   *controlpb.Members  // membership at the formation of the group, in force until the log or the snapshot contains a newer one
	Entries   []*controlpb.Entry  // contiguous; may start before the end of the snapshot
}

// Memberships returns the memberships that the state contains, the one at the formation first.
func (ini Initial) Memberships() []*controlpb.Members {
	out := []*controlpb.Members{ini.Members}
	for _, cfg := range loadLog(ini).configs {
		out = append(out, cfg.members)
	}
	return out
}

// flaws disable single rules, so that tests can show that the checks detect their absence; all are false
// outside tests.
type flaws struct {
	commitEarlierTerm bool
	noPreVote         bool
	noCheckQuorum     bool
	promoteUnsynced   bool
}

// Raft is one member's state; it is not safe for concurrent use.
type Raft struct {
	opt      Options
	rnd      *rand.Rand
	flw      flaws
	role     Role
	term     uint64
	votedFor uint64
	leader   uint64
	log      entryLog
	votes    map[uint64]bool
	progress map[uint64]*progress

	now              uint64 // ticks since the start, plus one
	electionElapsed  int    // ticks since the leader's latest message or the start of the campaign
	electionTimeout  int
	heartbeatRound   uint64
	termStart        uint64 // index of the first entry of this leader's term
	commitAtTick     uint64 // commit index at the previous tick, at least termStart
	transferee       uint64
	transferDeadline uint64 // tick at which a leadership transfer is abandoned
	// timeoutNowTick is the tick of the latest TimeoutNow message.
	timeoutNowTick uint64

	leaving        bool // this member is about to stop
	leavingAnswers int  // heartbeats that were answered with that

	syncedState        *controlpb.HardState
	receivedSnapshot   *controlpb.Snapshot
	messagesBeforeSync []*controlpb.RaftMessage
	messages           []*controlpb.RaftMessage
}

// New returns a follower with the given durable state.
func New(opt Options, ini Initial) *Raft {
	rft := &Raft{opt: withDefaults(opt), now: 1}
	rft.rnd = rand.New(rand.NewPCG(rft.opt.Seed, rft.opt.ID))
	rft.syncedState = &controlpb.HardState{}
	if ini.HardState != nil {
		rft.syncedState = ini.HardState
	}
	rft.term, rft.votedFor = rft.syncedState.GetTerm(), rft.syncedState.GetVote()
	rft.log = loadLog(ini)
	rft.log.commitIndex = max(rft.log.commitIndex, min(rft.syncedState.GetCommit(), rft.log.lastIndex()))
	rft.becomeFollower(rft.term, 0)
	return rft
}

func withDefaults(opt Options) Options {
	if opt.ElectionTicks == 0 {
		opt.ElectionTicks = 5
	}
	if opt.MaxAppendEntries == 0 {
		opt.MaxAppendEntries = 512
	}
	if opt.MaxAppendBytes == 0 {
		opt.MaxAppendBytes = 256 << 10
	}
	if opt.Window == 0 {
		opt.Window = 16
	}
	return opt
}

// loadLog builds the log; entries before the end of the snapshot are kept for followers that lag.
func loadLog(ini Initial) entryLog {
	mbs := ini.Members
	if mbs == nil {
		mbs = &controlpb.Members{}
	}
	elg := entryLog{configs: []configuration{{members: mbs}}}
	if ini.Snapshot != nil {
		elg.restore(ini.Snapshot)
		elg.lastApplied = ini.Snapshot.GetIndex()
	}
	ents := ini.Entries
	if len(ents) > 0 && ents[0].GetIndex() <= elg.baseIndex {
		// The term of the entry before the first kept one is unknown, so the first kept entry becomes the
		// base.
		elg.baseIndex, elg.baseTerm = ents[0].GetIndex(), ents[0].GetTerm()
		ents = ents[1:]
	}
	for _, ent := range ents {
		elg.entries = append(elg.entries, ent)
		if ent.GetKind() == controlpb.EntryKind_ENTRY_KIND_MEMBERS && ent.GetIndex() > elg.configs[0].index {
			elg.configs = append(elg.configs, configuration{index: ent.GetIndex(), members: decodeMembers(ent)})
		}
	}
	elg.stable = elg.lastIndex()
	return elg
}

// ID returns the id of this member.
func (rft *Raft) ID() uint64 { return rft.opt.ID }

// Role returns the state of this member in its term.
func (rft *Raft) Role() Role { return rft.role }

// Term returns the current term.
func (rft *Raft) Term() uint64 { return rft.term }

// LeaderID returns the member id of the leader of the term, 0 while not known.
func (rft *Raft) LeaderID() uint64 { return rft.leader }

// Commit returns the commit index known to this member.
func (rft *Raft) Commit() uint64 { return rft.log.commitIndex }

// LastIndex returns the index of the newest entry.
func (rft *Raft) LastIndex() uint64 { return rft.log.lastIndex() }

// TermAt returns the term of an entry, false if it is compacted or absent.
func (rft *Raft) TermAt(idx uint64) (uint64, bool) { return rft.log.term(idx) }

// TermStart returns the index of the first entry of the leader's term; reads are valid once it is committed.
func (rft *Raft) TermStart() uint64 { return rft.termStart }

// Members returns the membership in force, which the caller must not change.
func (rft *Raft) Members() *controlpb.Members {
	return rft.log.configs[len(rft.log.configs)-1].members
}

// MembersIndex returns the index of the entry that set the membership.
func (rft *Raft) MembersIndex() uint64 { return rft.log.configs[len(rft.log.configs)-1].index }

// MembersAt returns the membership in force at an index that is not compacted.
func (rft *Raft) MembersAt(idx uint64) *controlpb.Members { return rft.log.membersAt(idx) }

// Compact records a durable snapshot and discards the entries that it covers, except the newest keep of them.
func (rft *Raft) Compact(snp *controlpb.Snapshot, keep uint64) {
	if cur := rft.log.snapshot; cur != nil && cur.GetIndex() >= snp.GetIndex() {
		return
	}
	rft.log.snapshot = metadata(snp)
	if snp.GetIndex() > keep {
		rft.log.compact(snp.GetIndex() - keep)
	}
}

// Tick advances the time by one tick.
func (rft *Raft) Tick() {
	rft.now++
	rft.electionElapsed++
	if rft.role == Leader {
		rft.tickLeader()
		return
	}
	if rft.electionElapsed >= rft.electionTimeout {
		// A learner clears its leader too, otherwise it would keep rejecting votes.
		rft.leader = 0
		rft.resetElectionTimeout()
		rft.campaign(false)
	}
}

func (rft *Raft) send(msg *controlpb.RaftMessage) {
	msg.From = rft.opt.ID
	if msg.GetTerm() == 0 {
		msg.Term = rft.term
	}
	rft.messages = append(rft.messages, msg)
}

// sendBeforeSync queues a message of the leader that promises nothing about the leader's own disk, so that
// followers sync in parallel with the leader.
func (rft *Raft) sendBeforeSync(msg *controlpb.RaftMessage) {
	if rft.syncedState.GetTerm() != rft.term {
		rft.send(msg)
		return
	}
	msg.From, msg.Term = rft.opt.ID, rft.term
	rft.messagesBeforeSync = append(rft.messagesBeforeSync, msg)
}
