package raft

import (
	"math/rand/v2"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Role is what a member does in its term.
type Role int

// Roles of a member; a learner is a follower that never campaigns.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

const (
	// entryOverhead approximates the index, term, kind and framing of an encoded entry in bytes.
	entryOverhead = 16
	// snapshotTimeoutTicks is the wait for the answer to a snapshot before it is sent again; at 50 ms a tick it leaves 2 s for transfer and sync.
	snapshotTimeoutTicks = 40
)

// Options are the settings of a member; zero values mean the defaults.
type Options struct {
	ID               uint64 // of this member, never 0
	Seed             uint64 // of the election timeouts
	ElectionTicks    int    // shortest election timeout; the longest is twice as long; 5
	MaxAppendEntries int    // in one message; 512
	MaxAppendBytes   int    // in one message, exceeded only by a single entry; 256 KiB
	Window           int    // unanswered appends for each follower; 16
}

// Initial is the durable state that a member starts from.
type Initial struct {
	HardState *controlpb.HardState
	Snapshot  *controlpb.Snapshot // newest snapshot, its data is not used; nil for none
	Members   *controlpb.Members  // as of the formation, in force until the log or the snapshot holds a newer one
	Entries   []*controlpb.Entry  // contiguous; may begin before the end of the snapshot
}

// flaws switch off single rules, so that tests can show that the checks notice their absence; all are false outside tests.
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
	electionElapsed  int    // ticks since the leader was heard or the campaign began
	electionTimeout  int
	heartbeatRound   uint64
	termStart        uint64 // index of the first entry of the leader's term
	commitAtTick     uint64 // commit index at the previous tick, at least termStart
	transferee       uint64
	transferDeadline uint64 // tick at which a transfer is given up
	// timeoutNowTick is the tick of the newest request to campaign.
	timeoutNowTick uint64

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
		// The term before the first kept entry is not known, so this entry becomes the base.
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

// Role returns what this member does in its term.
func (rft *Raft) Role() Role { return rft.role }

// Term returns the current term.
func (rft *Raft) Term() uint64 { return rft.term }

// LeaderID returns the member id of the leader of the term, 0 while not known.
func (rft *Raft) LeaderID() uint64 { return rft.leader }

// Commit returns the newest committed index that is known here.
func (rft *Raft) Commit() uint64 { return rft.log.commitIndex }

// LastIndex returns the index of the newest entry.
func (rft *Raft) LastIndex() uint64 { return rft.log.lastIndex() }

// TermAt returns the term of an entry, false if it is compacted or absent.
func (rft *Raft) TermAt(idx uint64) (uint64, bool) { return rft.log.term(idx) }

// TermStart returns the index of the first entry of the leader's term; reads are valid once it is committed.
func (rft *Raft) TermStart() uint64 { return rft.termStart }

// Members returns the membership in force, which must not be changed.
func (rft *Raft) Members() *controlpb.Members {
	return rft.log.configs[len(rft.log.configs)-1].members
}

// MembersIndex returns the index of the entry that set the membership.
func (rft *Raft) MembersIndex() uint64 { return rft.log.configs[len(rft.log.configs)-1].index }

// MembersAt returns the membership in force at an index that is not compacted.
func (rft *Raft) MembersAt(idx uint64) *controlpb.Members { return rft.log.membersAt(idx) }

// Compact records a durable snapshot up to idx and forgets all but the newest keep entries of those it covers.
func (rft *Raft) Compact(snp *controlpb.Snapshot, keep uint64) {
	if cur := rft.log.snapshot; cur != nil && cur.GetIndex() >= snp.GetIndex() {
		return
	}
	rft.log.snapshot = metadata(snp)
	if snp.GetIndex() > keep {
		rft.log.compact(snp.GetIndex() - keep)
	}
}

// Tick tells that one tick has passed.
func (rft *Raft) Tick() {
	rft.now++
	rft.electionElapsed++
	if rft.role == Leader {
		rft.tickLeader()
		return
	}
	if rft.electionElapsed >= rft.electionTimeout {
		// A learner forgets the leader too, else it would go on refusing votes.
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

// sendBeforeSync queues a message of the leader that does not promise anything about its own disk, so that followers sync at the same time as the leader.
func (rft *Raft) sendBeforeSync(msg *controlpb.RaftMessage) {
	if rft.syncedState.GetTerm() != rft.term {
		rft.send(msg)
		return
	}
	msg.From, msg.Term = rft.opt.ID, rft.term
	rft.messagesBeforeSync = append(rft.messagesBeforeSync, msg)
}
