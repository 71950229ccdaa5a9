package agent

import (
	"context"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// term is the leader's state for one term, kept in memory and rebuilt by the next leader.
type term struct {
	ctx           context.Context
	sessions      *Sessions
	since         time.Time
	startIndex    uint64 // registry index when the term began
	group         sync.WaitGroup
	hub           *hub
	loads         *loads
	suspects      suspectAges // used by the tick loop only
	bulk          *bulkLimiter
	tickRequested chan struct{} // requests an immediate tick
	renewalQueued chan struct{} // signals a queued renewal

	mut      sync.Mutex
	leases   map[uint64]*lease
	waiting  []renewal
	configs  []acceptedConfig // oldest first
	expiring bool             // an expiry proposal is in progress
	planning bool             // a plan or its proposal is in progress
	stopped  bool             // no more goroutines may be started
	drains   map[string]bool
	members  *controlpb.Members
}

// acceptedConfig is a configuration and the time after which sessions must have applied it.
type acceptedConfig struct {
	number   uint64
	deadline time.Time
}

func newTerm(ctx context.Context, ses *Sessions, ldr siskinrill.Leadership) *term {
	trm := &term{
		ctx: ctx, sessions: ses, since: ldr.Since(), startIndex: ses.registry.Index(),
		hub: newHub(ses), loads: newLoads(ses.options.Smoothing), bulk: &bulkLimiter{}, leases: map[uint64]*lease{}, drains: map[string]bool{},
		tickRequested: make(chan struct{}, 1), renewalQueued: make(chan struct{}, 1),
	}
	trm.sync(trm.initialRenewalTime())
	return trm
}

// initialRenewalTime returns when sessions of an earlier leader count as last renewed.
func (trm *term) initialRenewalTime() time.Time {
	if trm.sessions.hooks.skipWait {
		return trm.since.Add(-trm.sessions.options.ExpireAfter + trm.sessions.options.Tick)
	}
	return trm.since
}

func (trm *term) start() {
	trm.spawn(trm.confirmLoop)
	trm.spawn(trm.watchLoop)
	trm.spawn(trm.tickLoop)
}

// spawn runs fn in a goroutine that stop waits for; false if the term has ended.
func (trm *term) spawn(fn func()) bool {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	return trm.spawnLocked(fn)
}

func (trm *term) spawnLocked(fn func()) bool {
	if trm.stopped {
		return false
	}
	trm.group.Go(fn)
	return true
}

// stop waits for all goroutines of the term; the term's context must have been cancelled before.
func (trm *term) stop() {
	trm.mut.Lock()
	trm.stopped = true
	trm.mut.Unlock()
	trm.group.Wait()
}

// sync matches the leases with the registry's nodes; a session without a lease counts as renewed at seen.
func (trm *term) sync(seen time.Time) {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	live := make(map[uint64]bool, len(trm.leases))
	trm.sessions.registry.View(func(stt *controlpb.RegistryState) {
		for _, nod := range stt.GetNodes() {
			live[nod.GetSession()] = true
			trm.syncNode(nod, seen)
		}
		trm.syncConfig(stt.GetConfiguration().GetNumber())
		trm.syncDrains(stt.GetDrains())
	})
	for num, lea := range trm.leases {
		if !live[num] {
			delete(trm.leases, num)
			trm.loads.remove(num)
			lea.expire("expired")
		}
	}
}

func (trm *term) syncNode(nod *controlpb.Node, seen time.Time) {
	lea := trm.leases[nod.GetSession()]
	if lea == nil {
		lea = &lease{session: nod.GetSession(), since: time.Now(), renewedAt: seen}
		trm.leases[nod.GetSession()] = lea
	}
	lea.name = nod.GetName()
	ups := nod.GetUpstream()
	lea.upstream = ups.GetId()
	if ups.GetSinceIndex() != lea.announced {
		lea.announced, lea.announcedAt = ups.GetSinceIndex(), seen
		if lea.announced <= trm.startIndex {
			lea.announcedAt = time.Time{}
		}
	}
}

// syncConfig records a new configuration and its deadline. When an earlier leader accepted it, the time of
// acceptance is unknown and the deadline may have passed, so agents get at most one second.
func (trm *term) syncConfig(num uint64) {
	if cnt := len(trm.configs); cnt > 0 && trm.configs[cnt-1].number >= num {
		return
	}
	acc := acceptedConfig{number: num, deadline: time.Now().Add(trm.sessions.options.ConfigLag)}
	if len(trm.configs) == 0 {
		acc.deadline = trm.since.Add(time.Second)
	}
	trm.configs = append(trm.configs, acc)
}

// overdue reports whether a session lags too far behind the configuration. A recent session without any
// configuration is exempt: it serves nothing by an older one, and its first tables may be delayed while all
// agents connect at the same time.
func (trm *term) overdue(lea *lease, now time.Time) bool {
	num := lea.config
	if num == 0 && now.Before(lea.since.Add(trm.sessions.options.ConfigLag)) {
		return false
	}
	for len(trm.configs) > 1 && now.After(trm.configs[1].deadline) {
		trm.configs = trm.configs[1:]
	}
	for _, acc := range trm.configs {
		if num < acc.number && now.After(acc.deadline) {
			return true
		}
	}
	return false
}

// syncDrains notifies the agents of upstreams whose drain an operator has started or undone.
func (trm *term) syncDrains(drains []string) {
	cur := make(map[string]bool, len(drains))
	for _, ups := range drains {
		cur[ups] = true
	}
	trm.drains = cur
	for _, lea := range trm.leases {
		if lea.stream != nil && cur[lea.upstream] != lea.drainSent {
			lea.drainSent = cur[lea.upstream]
			lea.stream.setDrain(lea.drainSent)
		}
	}
}

func (trm *term) requestTick() {
	select {
	case trm.tickRequested <- struct{}{}:
	default:
	}
}

// streams returns the current streams of all sessions.
func (trm *term) streams() []*stream {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	out := make([]*stream, 0, len(trm.leases))
	for _, lea := range trm.leases {
		if lea.stream != nil {
			out = append(out, lea.stream)
		}
	}
	return out
}
