package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// checks records what the simulation observed of all members, and the first violation.
type checks struct {
	violation          error
	leaders            map[uint64]uint64    // by term
	entryContents      map[[2]uint64]string // by index and term: previous term, kind and data
	committed          map[uint64]commitment
	digests            map[uint64]uint64 // by index: digest of all entries applied up to it
	lastCommitted      uint64            // highest committed index
	elections          int
	changes            int
	promotions         int
	reads              int
	snapshotsInstalled int
}

// commitment is a committed entry with the term in which it was first seen applied.
type commitment struct {
	entry *controlpb.Entry
	term  uint64
}

func newChecks() *checks {
	return &checks{
		leaders: map[uint64]uint64{}, entryContents: map[[2]uint64]string{},
		committed: map[uint64]commitment{}, digests: map[uint64]uint64{},
	}
}

func (chk *checks) fail(format string, args ...any) {
	if chk.violation == nil {
		chk.violation = fmt.Errorf(format, args...)
	}
}

// leader checks election safety and leader completeness: a term has one leader, and it holds what earlier
// terms committed. A leader whose own vote is not synced has sent nothing yet and does not count.
func (chk *checks) leader(sim *simulation, nod *node) {
	if nod.rft.Role() != Leader || nod.rft.syncedState.GetTerm() != nod.rft.Term() {
		return
	}
	mid, trm := nod.rft.ID(), nod.rft.Term()
	if nod.answersTerm != trm || nod.lastAnswers == nil {
		nod.lastAnswers, nod.answersTerm, nod.membersIndex = map[uint64]uint64{}, trm, nod.rft.MembersIndex()
		nod.commitAtTick = nod.rft.TermStart()
		nod.pendingReads = nil
	}
	old, known := chk.leaders[trm]
	if known && old != mid {
		chk.fail("election safety: members %d and %d lead term %d", old, mid, trm)
	}
	chk.leaders[trm] = mid
	if !known {
		chk.elections++
		for idx, com := range chk.committed {
			own, kept := nod.rft.TermAt(idx)
			if com.term < trm && (idx > nod.rft.LastIndex() || (kept && own != com.entry.GetTerm())) {
				chk.fail("leader completeness: leader %d of term %d lacks committed entry %d", mid, trm, idx)
			}
		}
	}
	chk.promoted(sim, nod)
}

// promoted checks that a new voter has synced what the leader had committed at its latest tick.
func (chk *checks) promoted(sim *simulation, nod *node) {
	cur := nod.rft.MembersIndex()
	if cur <= nod.membersIndex {
		return
	}
	chk.changes++
	before := nod.rft.MembersAt(nod.membersIndex)
	nod.membersIndex = cur
	for _, mem := range nod.rft.Members().GetMembers() {
		old := findMember(before, mem.GetId())
		if mem.GetLearner() || old == nil || !old.GetLearner() {
			continue
		}
		chk.promotions++
		if own := sim.nodes[mem.GetId()].dsk.last(); own < nod.commitAtTick {
			chk.fail("membership: member %d became a voter with entries synced up to %d, %d was committed", mem.GetId(), own, nod.commitAtTick)
		}
	}
}

// entries checks log matching: an index and term identify one content and one predecessor.
func (chk *checks) entries(nod *node, ents []*controlpb.Entry) {
	for _, ent := range ents {
		prev, kept := nod.rft.TermAt(ent.GetIndex() - 1)
		if !kept {
			continue
		}
		key, val := [2]uint64{ent.GetIndex(), ent.GetTerm()}, fmt.Sprintf("%d %d %x", prev, ent.GetKind(), ent.GetData())
		if old, known := chk.entryContents[key]; known && old != val {
			chk.fail("log matching: entry %d of term %d has the contents %q and %q", key[0], key[1], old, val)
		}
		chk.entryContents[key] = val
	}
}

// apply checks that members apply the same entries in order.
func (chk *checks) apply(nod *node, ents []*controlpb.Entry) {
	for _, ent := range ents {
		if ent.GetIndex() != nod.applied+1 {
			chk.fail("apply: member %d applied entry %d after entry %d", nod.rft.ID(), ent.GetIndex(), nod.applied)
		}
		nod.applied, nod.digest = ent.GetIndex(), addDigest(nod.digest, ent)
		com, known := chk.committed[ent.GetIndex()]
		if !known {
			chk.committed[ent.GetIndex()] = commitment{entry: ent, term: nod.rft.Term()}
			chk.digests[ent.GetIndex()] = nod.digest
			chk.lastCommitted = max(chk.lastCommitted, ent.GetIndex())
			continue
		}
		if com.entry.GetTerm() != ent.GetTerm() || string(com.entry.GetData()) != string(ent.GetData()) {
			chk.fail("state machine safety: entry %d was applied with terms %d and %d", ent.GetIndex(), com.entry.GetTerm(), ent.GetTerm())
		}
		if chk.digests[ent.GetIndex()] != nod.digest {
			chk.fail("state machine equality: member %d differs at entry %d", nod.rft.ID(), ent.GetIndex())
		}
	}
}

// majority checks, right after a leader advanced its commit index, that a majority of the voters has synced
// the entry.
func (chk *checks) majority(sim *simulation, nod *node) {
	old, idx, wasLeading := nod.checkedCommit, nod.rft.Commit(), nod.leadingTerm == nod.rft.Term()
	nod.checkedCommit, nod.leadingTerm = idx, 0
	if nod.rft.Role() == Leader {
		nod.leadingTerm = nod.rft.Term()
	}
	if !wasLeading || nod.leadingTerm == 0 || idx <= old {
		return
	}
	held, mbs := 0, nod.rft.Members()
	trm, _ := nod.rft.TermAt(idx)
	for _, mem := range mbs.GetMembers() {
		if !mem.GetLearner() && sim.nodes[mem.GetId()].dsk.holds(idx, trm) {
			held++
		}
	}
	if held <= countVoters(mbs)/2 {
		chk.fail("durability: entry %d is committed but synced by only %d of %d voters", idx, held, countVoters(mbs))
	}
}

// recordAnswer records the tick at which a leader received an answer from a member in its term.
func (chk *checks) recordAnswer(nod *node, msg *controlpb.RaftMessage) {
	answer := msg.GetKind() == controlpb.RaftKind_RAFT_KIND_APPEND_ANSWER || msg.GetKind() == controlpb.RaftKind_RAFT_KIND_HEARTBEAT_ANSWER
	if answer && nod.lastAnswers != nil && msg.GetTerm() == nod.answersTerm {
		nod.lastAnswers[msg.GetFrom()] = nod.rft.now
	}
}

// checkQuorum checks that a leader without answers from a majority for the maximum election timeout has
// stepped down.
func (chk *checks) checkQuorum(nod *node) {
	if nod.rft.Role() != Leader || nod.answersTerm != nod.rft.Term() {
		return
	}
	ticks := []uint64{}
	for _, mem := range nod.rft.Members().GetMembers() {
		if _, known := nod.lastAnswers[mem.GetId()]; !known {
			nod.lastAnswers[mem.GetId()] = nod.rft.now
		}
		if mem.GetId() == nod.rft.ID() {
			nod.lastAnswers[mem.GetId()] = nod.rft.now
		}
		if !mem.GetLearner() {
			ticks = append(ticks, nod.lastAnswers[mem.GetId()])
		}
	}
	slices.Sort(ticks)
	if len(ticks) == 0 {
		return
	}
	if ticksWithoutQuorum := nod.rft.now - ticks[(len(ticks)-1)/2]; ticksWithoutQuorum > uint64(2*nod.rft.opt.ElectionTicks)+1 {
		chk.fail("check-quorum: member %d leads after %d ticks without a majority", nod.rft.ID(), ticksWithoutQuorum)
	}
}

// confirmedReads checks that a confirmed read sees everything that was committed when it started.
func (chk *checks) confirmedReads(nod *node) {
	done := nod.rft.ConfirmedRound()
	kept := nod.pendingReads[:0]
	for _, cfm := range nod.pendingReads {
		if nod.rft.Role() != Leader || cfm.term != nod.rft.Term() {
			continue
		}
		if cfm.round > done {
			kept = append(kept, cfm)
			continue
		}
		chk.reads++
		if cfm.index < cfm.committed {
			chk.fail("read index: leader %d read at index %d, %d was already committed", nod.rft.ID(), cfm.index, cfm.committed)
		}
	}
	nod.pendingReads = kept
}

func addDigest(dig uint64, ent *controlpb.Entry) uint64 {
	hsh := fnv.New64a()
	fmt.Fprintf(hsh, "%d %d %x", dig, ent.GetIndex(), ent.GetData())
	return hsh.Sum64()
}

func encodeDigest(dig uint64) []byte              { return binary.BigEndian.AppendUint64(nil, dig) }
func decodeDigest(snp *controlpb.Snapshot) uint64 { return binary.BigEndian.Uint64(snp.GetData()) }
