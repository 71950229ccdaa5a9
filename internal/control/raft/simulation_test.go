package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// faults are the probabilities of each event in one round, in percent, and the rules that a broken variant
// omits.
type faults struct {
	drop, duplicate, delay    int // of each message
	crash, restart, loseDisk  int
	cut, heal                 int
	targetLeaders             int // a fault hits a member that leads or campaigns
	propose, change, transfer int
	compact, confirm          int

	flw               flaws
	unsyncedVote      bool // term and vote are not stored
	answersBeforeSync bool // answers are sent before the sync
	keepsIdentity     bool // a member restarts with an empty disk under its old id
}

// disk is what a member has synced.
type disk struct {
	hardState *controlpb.HardState
	snapshot  *controlpb.Snapshot
	members   *controlpb.Members
	entries   []*controlpb.Entry
}

// holds reports whether the disk has the entry, or a snapshot that covers it.
func (dsk *disk) holds(idx, trm uint64) bool {
	if dsk.snapshot.GetIndex() >= idx {
		return true
	}
	for _, own := range dsk.entries {
		if own.GetIndex() == idx {
			return own.GetTerm() == trm
		}
	}
	return false
}

func (dsk *disk) last() uint64 {
	if len(dsk.entries) == 0 {
		return dsk.snapshot.GetIndex()
	}
	return dsk.entries[len(dsk.entries)-1].GetIndex()
}

func (dsk *disk) store(rdy *Ready, unsyncedVote bool) {
	if rdy.HardState != nil && !unsyncedVote {
		dsk.hardState = rdy.HardState
	}
	if rdy.Snapshot != nil {
		dsk.snapshot, dsk.entries = rdy.Snapshot, nil
	}
	for _, ent := range rdy.Entries {
		for len(dsk.entries) > 0 && dsk.entries[len(dsk.entries)-1].GetIndex() >= ent.GetIndex() {
			dsk.entries = dsk.entries[:len(dsk.entries)-1]
		}
		dsk.entries = append(dsk.entries, ent)
	}
}

// node is a simulated member. A node whose disk was lost keeps its state for the checks and never runs again.
type node struct {
	rft     *Raft // nil while it is down
	dsk     disk
	lost    bool
	applied uint64
	digest  uint64 // of all applied entries

	lastAnswers   map[uint64]uint64 // by member: leader's tick of the latest answer in its term
	answersTerm   uint64
	commitAtTick  uint64 // at the latest tick
	membersIndex  uint64 // index of the newest membership seen while leading
	checkedCommit uint64 // newest commit index seen by the check of majorities
	leadingTerm   uint64 // term in which this node led then, 0 if it did not lead
	pendingReads  []pendingRead
}

// pendingRead is a read that waits for a heartbeat round to be confirmed.
type pendingRead struct {
	term, round, index, committed uint64
}

// simulation is a group of members, their disks and the network between them.
type simulation struct {
	flt     faults
	rnd     *rand.Rand
	seed    uint64 // of the next member to start
	group   uint64 // varies the options
	nodes   map[uint64]*node
	ids     []uint64 // sorted
	network []*controlpb.RaftMessage
	cuts    map[[2]uint64]bool // by sender and receiver
	data    uint64
	chk     *checks
}

func newSimulation(flt faults, size int, seed uint64) *simulation {
	sim := &simulation{flt: flt, seed: seed, group: seed, nodes: map[uint64]*node{}, cuts: map[[2]uint64]bool{}, chk: newChecks()}
	mbs := &controlpb.Members{ClusterId: "sim", NextId: uint64(size) + 1}
	for num := range size {
		mbs.Members = append(mbs.Members, &controlpb.Member{Id: uint64(num) + 1})
	}
	first := &controlpb.Entry{Index: 1, Term: 1, Kind: controlpb.EntryKind_ENTRY_KIND_MEMBERS, Data: EncodeMembers(mbs)}
	for num := range size {
		dsk := disk{hardState: &controlpb.HardState{Term: 1, Commit: 1}, members: mbs, entries: []*controlpb.Entry{first}}
		sim.add(uint64(num)+1, dsk)
	}
	return sim
}

func (sim *simulation) add(mid uint64, dsk disk) {
	sim.nodes[mid] = &node{dsk: dsk}
	sim.ids = append(sim.ids, mid)
	slices.Sort(sim.ids)
	sim.start(mid)
}

// start starts a member from its disk.
func (sim *simulation) start(mid uint64) {
	nod := sim.nodes[mid]
	nod.applied, nod.digest = 0, 0
	if snp := nod.dsk.snapshot; snp != nil {
		nod.applied, nod.digest = snp.GetIndex(), decodeDigest(snp)
	}
	sim.seed++
	nod.rft = New(Options{ID: mid, Seed: sim.seed, Window: 3, MaxAppendEntries: 1 + int(sim.group%3)}, Initial{
		HardState: nod.dsk.hardState, Snapshot: nod.dsk.snapshot, Members: nod.dsk.members, Entries: slices.Clone(nod.dsk.entries),
	})
	nod.rft.flw = sim.flt.flw
	nod.pendingReads, nod.lastAnswers, nod.answersTerm, nod.membersIndex, nod.leadingTerm = nil, nil, 0, 0, 0
}

func (sim *simulation) chance(percent int) bool { return sim.rnd.IntN(100) < percent }

// run runs one round: a tick of the members, messages, and at random one of each other event.
func (sim *simulation) run(seed uint64) {
	sim.rnd = rand.New(rand.NewPCG(seed, 1))
	for _, mid := range sim.ids {
		if nod := sim.nodes[mid]; nod.rft != nil && sim.chance(90) {
			sim.tick(nod)
			sim.flush(mid)
		}
	}
	sim.deliverMessages()
	sim.injectFaults()
	sim.issueRequests()
	sim.deliverMessages()
	for _, mid := range sim.ids {
		sim.flush(mid)
	}
}

func (sim *simulation) tick(nod *node) {
	trm, voters := nod.rft.Term(), countVoters(nod.rft.Members())
	nod.rft.Tick()
	if voters > 1 && nod.rft.Term() != trm {
		sim.chk.fail("pre-vote: member %d raised its term to %d without an answer", nod.rft.ID(), nod.rft.Term())
	}
	sim.chk.checkQuorum(nod)
	nod.commitAtTick = nod.rft.Commit()
}

func (sim *simulation) deliverMessages() {
	for range len(sim.network) {
		if len(sim.network) == 0 {
			return
		}
		// Mostly in order, as over one connection, but any order is possible.
		pos := 0
		if sim.chance(30) {
			pos = sim.rnd.IntN(len(sim.network))
		}
		msg := sim.network[pos]
		if sim.chance(sim.flt.delay) {
			continue
		}
		if !sim.chance(sim.flt.duplicate) {
			sim.network = slices.Delete(sim.network, pos, pos+1)
		}
		if sim.chance(sim.flt.drop) || sim.cuts[[2]uint64{msg.GetFrom(), msg.GetTo()}] {
			continue
		}
		sim.deliver(msg)
	}
}

func (sim *simulation) deliver(msg *controlpb.RaftMessage) {
	nod := sim.nodes[msg.GetTo()]
	if nod == nil || nod.rft == nil {
		return
	}
	nod.rft.Step(proto.CloneOf(msg))
	sim.chk.recordAnswer(nod, msg)
	sim.chk.majority(sim, nod)
	sim.chk.confirmedReads(nod)
	if sim.chance(60) {
		sim.flush(msg.GetTo())
	}
}

// flush handles the pending work of a member, which may crash before the sync.
func (sim *simulation) flush(mid uint64) {
	nod := sim.nodes[mid]
	for nod.rft != nil {
		sim.chk.leader(sim, nod)
		rdy := nod.rft.Ready()
		if rdy.Empty() {
			return
		}
		sim.send(rdy.MessagesBeforeSync)
		if sim.flt.answersBeforeSync {
			sim.send(rdy.Messages)
		}
		if rdy.MustSync && sim.chance(sim.flt.crash) {
			nod.rft = nil
			return
		}
		if rdy.MustSync {
			nod.dsk.store(rdy, sim.flt.unsyncedVote)
		}
		sim.chk.entries(nod, rdy.Entries)
		sim.send(rdy.Messages)
		if rdy.Snapshot != nil {
			nod.applied, nod.digest = rdy.Snapshot.GetIndex(), decodeDigest(rdy.Snapshot)
			sim.chk.snapshotsInstalled++
		}
		sim.chk.apply(nod, rdy.Committed)
		nod.rft.Advance(rdy)
		sim.chk.majority(sim, nod)
	}
}

func (sim *simulation) send(msgs []*controlpb.RaftMessage) {
	const limit = 400
	for _, msg := range msgs {
		if msg.GetKind() == controlpb.RaftKind_RAFT_KIND_SNAPSHOT {
			msg = proto.CloneOf(msg)
			msg.Snapshot = proto.CloneOf(sim.nodes[msg.GetFrom()].dsk.snapshot)
		}
		sim.network = append(sim.network, msg)
	}
	if over := len(sim.network) - limit; over > 0 {
		sim.network = sim.network[over:]
	}
}

// injectFaults crashes and restarts members, loses disks and cuts connections.
func (sim *simulation) injectFaults() {
	mid, other := sim.faultTarget(), sim.randomMember()
	nod := sim.nodes[mid]
	switch {
	case sim.chance(sim.flt.crash):
		nod.rft = nil
	case sim.chance(sim.flt.loseDisk) && !nod.lost && sim.canLoseDisk(mid):
		sim.loseDisk(mid)
	case sim.chance(sim.flt.cut):
		sim.cuts[[2]uint64{mid, other}] = true
		for _, oth := range sim.ids {
			// Sometimes a member is cut off from all others, in one direction or in both.
			sim.cuts[[2]uint64{mid, oth}] = sim.cuts[[2]uint64{mid, oth}] || other%3 == 0
			sim.cuts[[2]uint64{oth, mid}] = sim.cuts[[2]uint64{oth, mid}] || other%3 == 1
		}
	case sim.chance(sim.flt.heal):
		clear(sim.cuts)
	}
	for _, mid := range sim.ids {
		if nod := sim.nodes[mid]; nod.rft == nil && !nod.lost && sim.chance(sim.flt.restart) {
			sim.start(mid)
		}
	}
}

// faultTarget prefers members that lead or campaign, because their faults leave logs that differ.
func (sim *simulation) faultTarget() uint64 {
	for _, mid := range sim.ids {
		if nod := sim.nodes[mid]; nod.rft != nil && nod.rft.Role() != Follower && sim.chance(sim.flt.targetLeaders) {
			return mid
		}
	}
	return sim.randomMember()
}

func (sim *simulation) randomMember() uint64 { return sim.ids[sim.rnd.IntN(len(sim.ids))] }

// canLoseDisk reports whether the lost disks remain a minority of every membership known to a member.
func (sim *simulation) canLoseDisk(mid uint64) bool {
	for _, nod := range sim.nodes {
		if nod.lost {
			continue
		}
		mbs := []*controlpb.Members{nod.dsk.members}
		for _, ent := range nod.dsk.entries {
			if ent.GetKind() == controlpb.EntryKind_ENTRY_KIND_MEMBERS {
				mbs = append(mbs, decodeMembers(ent))
			}
		}
		if nod.rft != nil {
			mbs = append(mbs, nod.rft.Members())
		}
		for _, cur := range mbs {
			lostDisks := 1
			for _, mem := range cur.GetMembers() {
				if oth := sim.nodes[mem.GetId()]; oth != nil && oth.lost && mem.GetId() != mid {
					lostDisks++
				}
			}
			if countVoters(cur) > 0 && lostDisks > (countVoters(cur)-1)/2 {
				return false
			}
		}
	}
	return true
}

func (sim *simulation) loseDisk(mid uint64) {
	nod := sim.nodes[mid]
	nod.rft = nil
	if sim.flt.keepsIdentity {
		nod.dsk = disk{members: nod.dsk.members}
		return
	}
	nod.lost = true
}

// issueRequests proposes, changes members, transfers and reads at each leader, and compacts the logs of all
// members.
func (sim *simulation) issueRequests() {
	for _, mid := range slices.Clone(sim.ids) {
		nod := sim.nodes[mid]
		if nod.rft == nil {
			continue
		}
		if sim.chance(sim.flt.compact) {
			sim.compact(nod)
		}
		if nod.rft.Role() != Leader {
			continue
		}
		if sim.chance(sim.flt.propose) {
			sim.data++
			_, _ = nod.rft.Propose([]byte(fmt.Sprint(sim.data)))
		}
		if sim.chance(sim.flt.transfer) {
			_ = nod.rft.Transfer(sim.randomMember())
		}
		if sim.chance(sim.flt.confirm) {
			rnd, _ := nod.rft.StartRound()
			idx := max(nod.rft.Commit(), nod.rft.TermStart())
			nod.pendingReads = append(nod.pendingReads, pendingRead{term: nod.rft.Term(), round: rnd, index: idx, committed: sim.chk.lastCommitted})
		}
		if sim.chance(sim.flt.change) {
			sim.changeMembers(nod)
		}
	}
}

// changeMembers promotes a learner, else removes a lost or surplus member, else adds a learner.
func (sim *simulation) changeMembers(nod *node) {
	const targetSize = 5
	mbs := proto.CloneOf(nod.rft.Members())
	num := len(mbs.GetMembers())
	lost := slices.IndexFunc(mbs.GetMembers(), func(mem *controlpb.Member) bool { return sim.nodes[mem.GetId()].lost })
	lrn := slices.IndexFunc(mbs.GetMembers(), func(mem *controlpb.Member) bool { return mem.GetLearner() })
	switch {
	case lrn >= 0 && !sim.chance(10):
		mbs.Members[lrn].Learner = false
	case lost >= 0 && num > 3 && sim.chance(50):
		mbs.Members = slices.Delete(mbs.Members, lost, lost+1)
	case lost < 0 && (num > targetSize || (num > 3 && sim.chance(30))):
		pos := sim.rnd.IntN(num)
		mbs.Members = slices.Delete(mbs.Members, pos, pos+1)
	default:
		mid := sim.ids[len(sim.ids)-1] + 1
		mbs.Members = append(mbs.Members, &controlpb.Member{Id: mid, Learner: true})
		if _, err := nod.rft.ProposeMembers(mbs); err == nil {
			sim.add(mid, disk{members: &controlpb.Members{Members: []*controlpb.Member{{Id: mid, Learner: true}}}})
		}
		return
	}
	_, _ = nod.rft.ProposeMembers(mbs)
}

// compact saves a snapshot of the applied entries and keeps few entries.
func (sim *simulation) compact(nod *node) {
	const keep = 2
	trm, kept := nod.rft.TermAt(nod.applied)
	if !kept || nod.applied <= nod.dsk.snapshot.GetIndex() {
		return
	}
	snp := &controlpb.Snapshot{Index: nod.applied, Term: trm, Members: nod.rft.MembersAt(nod.applied), Data: encodeDigest(nod.digest)}
	nod.dsk.snapshot = snp
	nod.rft.Compact(snp, keep)
	for len(nod.dsk.entries) > 0 && nod.dsk.entries[0].GetIndex()+keep <= nod.applied {
		nod.dsk.entries = nod.dsk.entries[1:]
	}
}

// awaitRecovery ends all faults and reports whether the group elects a leader, commits, and all its members
// catch up.
func (sim *simulation) awaitRecovery() bool {
	const rounds = 400
	clear(sim.cuts)
	flt := sim.flt
	sim.flt = faults{flw: flt.flw, restart: 100, propose: 20}
	for num := range uint64(rounds) {
		sim.run(num)
		if num > 20 && sim.recovered() {
			return true
		}
	}
	return false
}

func (sim *simulation) recovered() bool {
	for _, nod := range sim.nodes {
		if nod.rft == nil || nod.rft.Role() != Leader || nod.rft.Commit() < nod.rft.TermStart() {
			continue
		}
		for _, mem := range nod.rft.Members().GetMembers() {
			oth := sim.nodes[mem.GetId()]
			if !oth.lost && oth.applied+8 < nod.applied {
				return false
			}
		}
		return true
	}
	return false
}

func countVoters(mbs *controlpb.Members) int {
	num := 0
	for _, mem := range mbs.GetMembers() {
		if !mem.GetLearner() {
			num++
		}
	}
	return num
}

// String returns the state of each member.
func (sim *simulation) String() string {
	out := ""
	for _, mid := range sim.ids {
		nod := sim.nodes[mid]
		if nod.rft == nil {
			out += fmt.Sprintf("\n%d: down, lost %t", mid, nod.lost)
			continue
		}
		out += fmt.Sprintf("\n%d: role %d term %d leader %d last %d/%d commit %d applied %d transferee %d members %v", mid, nod.rft.Role(), nod.rft.Term(),
			nod.rft.LeaderID(), nod.rft.log.lastTerm(), nod.rft.LastIndex(), nod.rft.Commit(), nod.applied, nod.rft.transferee, nod.rft.Members().GetMembers())
	}
	return out
}
