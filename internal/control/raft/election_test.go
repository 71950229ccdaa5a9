package raft

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// stepsPerTick is the number of steps per tick, the resolution of tick phases and message delays.
	stepsPerTick = 25
	// electionTrials is the number of trials, each with other phases and timeouts.
	electionTrials = 2_000
)

// timedMessage is a message in transit.
type timedMessage struct {
	at  int
	msg *controlpb.RaftMessage
}

// timedGroup is a group whose members tick at different phases and whose messages are delayed.
type timedGroup struct {
	rnd     *rand.Rand
	members map[uint64]*Raft
	phases  map[uint64]int
	network []timedMessage
	step    int
	delay   int    // maximum delay of a message, including the sync, in steps
	blocked uint64 // member to which no messages are delivered, 0 for none
}

func newTimedGroup(seed uint64, size, delay int) *timedGroup {
	tgr := &timedGroup{rnd: rand.New(rand.NewPCG(seed, 7)), members: map[uint64]*Raft{}, phases: map[uint64]int{}, delay: delay}
	mbs := &controlpb.Members{ClusterId: "timed"}
	for num := range size {
		mbs.Members = append(mbs.Members, &controlpb.Member{Id: uint64(num) + 1})
	}
	for num := range size {
		mid := uint64(num) + 1
		tgr.members[mid] = New(Options{ID: mid, Seed: seed}, Initial{HardState: &controlpb.HardState{Term: 1}, Members: mbs})
		tgr.phases[mid] = tgr.rnd.IntN(stepsPerTick)
	}
	return tgr
}

// advance runs one step.
func (tgr *timedGroup) advance() {
	tgr.step++
	for mid := uint64(1); mid <= 5; mid++ {
		if rft := tgr.members[mid]; rft != nil && tgr.step%stepsPerTick == tgr.phases[mid] {
			rft.Tick()
		}
	}
	var rest []timedMessage
	for _, tms := range tgr.network {
		if tms.at > tgr.step || tms.msg.GetTo() == tgr.blocked {
			rest = append(rest, tms)
			continue
		}
		if rft := tgr.members[tms.msg.GetTo()]; rft != nil {
			rft.Step(tms.msg)
		}
	}
	tgr.network = rest
	for mid := uint64(1); mid <= 5; mid++ {
		tgr.flush(mid)
	}
}

func (tgr *timedGroup) flush(mid uint64) {
	rft := tgr.members[mid]
	for rft != nil {
		rdy := rft.Ready()
		if rdy.Empty() {
			return
		}
		for _, msg := range slices.Concat(rdy.MessagesBeforeSync, rdy.Messages) {
			tgr.network = append(tgr.network, timedMessage{at: tgr.step + 1 + tgr.rnd.IntN(tgr.delay), msg: msg})
		}
		rft.Advance(rdy)
	}
}

// leader returns the member that leads with a committed entry of its term, 0 if there is none.
func (tgr *timedGroup) leader() uint64 {
	for mid, rft := range tgr.members {
		if rft.Role() == Leader && rft.Commit() >= rft.TermStart() {
			return mid
		}
	}
	return 0
}

// awaitLeader runs the group until a member leads and returns the ticks it took.
func (tgr *timedGroup) awaitLeader() int {
	began := tgr.step
	for tgr.leader() == 0 {
		tgr.advance()
	}
	return (tgr.step - began) / stepsPerTick
}

// TestElectionTime guards against elections with repeated split votes, or that wait for a full election
// timeout because one member had just received a message of the failed leader. Keys must be served again
// within 2 s of a failure, of which 1 s (20 ticks) is for the election.
func TestElectionTime(t *testing.T) {
	const bound = 20
	for name, delay := range map[string]int{"idle hosts": 4, "busy hosts": 15} {
		t.Run(name, func(t *testing.T) {
			worst, overBound := 0, 0
			for seed := range uint64(electionTrials) {
				tgr := newTimedGroup(seed, 5, delay)
				tgr.awaitLeader()
				for range 2 {
					for range 2*stepsPerTick + tgr.rnd.IntN(2*stepsPerTick) {
						tgr.advance()
					}
					delete(tgr.members, tgr.leader())
					ticks := tgr.awaitLeader()
					worst = max(worst, ticks)
					if ticks > bound {
						overBound++
					}
				}
			}
			t.Logf("worst of %d elections: %d ticks, %d over %d", 2*electionTrials, worst, overBound, bound)
			must.Eq(t, 0, overBound)
		})
	}
}

// TestDelayedAnswers guards against a busy leader that steps down, which makes all agents reconnect, although
// its followers receive its messages and only their answers are delayed. It also guards against a leader that
// does not step down without a majority.
func TestDelayedAnswers(t *testing.T) {
	for name, tcs := range map[string]struct {
		ticks int
		leads bool
	}{"delayed": {ticks: 9, leads: true}, "lost": {ticks: 13}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				tgr := newTimedGroup(seed, 5, 4)
				tgr.awaitLeader()
				ldr := tgr.leader()
				for range 5 * stepsPerTick {
					tgr.advance()
				}
				tgr.blocked = ldr
				for range tcs.ticks * stepsPerTick {
					tgr.advance()
				}
				must.Eq(t, tcs.leads, tgr.members[ldr].Role() == Leader)
			}
		})
	}
}
