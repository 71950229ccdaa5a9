package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/assign"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// cluster is a replicated log that never loses an entry, whose previous leaders may not know yet that they were
// replaced.
type cluster struct {
	lossless      bool // no renewal or answer is lost or duplicated
	mut           sync.Mutex
	rnd           *rand.Rand
	procs         []*process
	leader        int
	term          uint64
	sends         int
	confirmRounds int  // leadership confirmations
	instant       bool // proposals and confirmations take no time
	log           []*controlpb.Command
}

// process is one control process; it implements siskinrill.Log.
type process struct {
	cluster  *cluster
	number   int
	registry *registry.Registry
	sessions *Sessions
	ldr      siskinrill.Leadership
	changed  chan struct{}
}

// frequentMoves are policy limits under which keys move often.
var frequentMoves = assign.Limits{MoveCooldown: 300 * time.Millisecond, HighFor: 200 * time.Millisecond, ColdFor: 500 * time.Millisecond, Window: 100 * time.Second}

func newCluster(seed uint64, cnt int, hks hooks) *cluster {
	clu := &cluster{rnd: rand.New(rand.NewPCG(seed, 1)), leader: -1}
	for num := range cnt {
		prc := &process{cluster: clu, number: num, registry: registry.New(), changed: make(chan struct{})}
		prc.sessions = New(Options{}, prc, prc.registry, assign.New(frequentMoves))
		prc.sessions.hooks = hks
		clu.procs = append(clu.procs, prc)
	}
	return clu
}

// randomDuration returns a random duration between two bounds, 0 in an instant cluster.
func (clu *cluster) randomDuration(shortest, longest time.Duration) time.Duration {
	clu.mut.Lock()
	defer clu.mut.Unlock()
	if clu.instant {
		return 0
	}
	return shortest + time.Duration(clu.rnd.Int64N(int64(longest-shortest)+1))
}

func (clu *cluster) chance(share float64) bool {
	clu.mut.Lock()
	defer clu.mut.Unlock()
	return clu.rnd.Float64() < share
}

func address(num int) string { return fmt.Sprint("p", num) }

// elect makes a process the leader; the previous leader notices after noticeDelay.
func (clu *cluster) elect(num int, noticeDelay time.Duration) {
	clu.mut.Lock()
	defer clu.mut.Unlock()
	old := clu.leader
	clu.term++
	clu.leader = num
	for _, prc := range clu.procs {
		if prc.number == num {
			prc.catchUp()
		}
		if prc.number != old || old == num {
			prc.setLeadership(siskinrill.NewLeadership(clu.term, prc.number == num, address(num), time.Now()))
		}
	}
	if old >= 0 && old != num {
		trm := clu.term
		time.AfterFunc(noticeDelay, func() {
			clu.mut.Lock()
			defer clu.mut.Unlock()
			if prc := clu.procs[old]; prc.ldr.Term() < trm {
				prc.setLeadership(siskinrill.NewLeadership(trm, false, address(num), time.Now()))
			}
		})
	}
}

func (prc *process) setLeadership(ldr siskinrill.Leadership) {
	prc.ldr = ldr
	close(prc.changed)
	prc.changed = make(chan struct{})
}

// catchUp applies all committed commands and returns the last result.
func (prc *process) catchUp() *siskinrill.Result {
	var res *siskinrill.Result
	for idx := prc.registry.Index(); idx < uint64(len(prc.cluster.log)); idx++ {
		res = prc.registry.Apply(idx+1, prc.cluster.log[idx])
	}
	return res
}

func (prc *process) leads() bool {
	return prc.cluster.leader == prc.number && prc.ldr.Leading() && prc.ldr.Term() == prc.cluster.term
}

func (prc *process) Propose(ctx context.Context, cmd *controlpb.Command) (*siskinrill.Result, error) {
	time.Sleep(prc.cluster.randomDuration(time.Millisecond, 10*time.Millisecond))
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	prc.cluster.mut.Lock()
	if prc.leads() {
		defer prc.cluster.mut.Unlock()
		prc.cluster.log = append(prc.cluster.log, cmd)
		return prc.catchUp(), nil
	}
	prc.cluster.mut.Unlock()
	return nil, prc.awaitLeadershipLoss(ctx)
}

// ConfirmLeadership succeeds if no other leader had been elected halfway through the round.
func (prc *process) ConfirmLeadership(ctx context.Context) error {
	time.Sleep(prc.cluster.randomDuration(time.Millisecond, 30*time.Millisecond))
	prc.cluster.mut.Lock()
	leads := prc.leads()
	prc.cluster.confirmRounds++
	prc.cluster.mut.Unlock()
	if !leads {
		return prc.awaitLeadershipLoss(ctx)
	}
	time.Sleep(prc.cluster.randomDuration(time.Millisecond, 30*time.Millisecond))
	return nil
}

func (prc *process) awaitLeadershipLoss(ctx context.Context) error {
	ldr, changed := prc.Leadership()
	if ldr.Leading() {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	ldr, _ = prc.Leadership()
	return siskinrill.NewNotLeaderError(ldr.Address())
}

func (prc *process) Leadership() (siskinrill.Leadership, <-chan struct{}) {
	prc.cluster.mut.Lock()
	defer prc.cluster.mut.Unlock()
	return prc.ldr, prc.changed
}

func (prc *process) Members() []*controlpb.MemberStatus { return nil }

func (prc *process) ChangeMembers(context.Context, *controlpb.MembersRequest) (*controlpb.MembersAnswer, error) {
	return &controlpb.MembersAnswer{}, nil
}
