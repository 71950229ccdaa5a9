package caller

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// bucket is the retry budget of one service: a share of its requests plus a number a second.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// budgets hold the buckets by service.
type budgets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// sharedBurst is how many retries of a budget that all agents share one agent may save up.
const sharedBurst = 2

// allowance is what a service's budget grants to one of several agents.
type allowance struct {
	perSecond float64
	percent   float64 // of the requests
	burst     float64
}

func allowanceOf(svc *controlpb.Service, agents int) allowance {
	alw := allowance{
		perSecond: float64(orDefault(svc.GetRetryMinPerSecond(), defaultRetriesPerSecond)),
		percent:   float64(orDefault(svc.GetRetryBudgetPercent(), defaultRetryPercent)),
	}
	// One second of saved retries bounds the burst after a quiet time.
	alw.burst = alw.perSecond + alw.percent
	if shared := svc.GetRetrySharedPerMinute(); shared > 0 {
		alw.perSecond = float64(shared) / time.Minute.Seconds() / float64(max(agents, 1))
		alw.burst = sharedBurst
	}
	return alw
}

// refill adds the share of one request and what the time since the last call brings; agents is the number of those that share the budget.
func (bud *budgets) refill(svc *controlpb.Service, agents int) {
	now := time.Now()
	alw := allowanceOf(svc, agents)
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bck := bud.buckets[svc.GetName()]
	if bck == nil {
		bck = &bucket{tokens: min(alw.perSecond, alw.burst), refilledAt: now}
		bud.buckets[svc.GetName()] = bck
	}
	bck.tokens += alw.percent/100 + alw.perSecond*now.Sub(bck.refilledAt).Seconds()
	bck.tokens = min(bck.tokens, alw.burst)
	bck.refilledAt = now
}

// take spends one retry if the budget allows it.
func (bud *budgets) take(svc string) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bck := bud.buckets[svc]
	if bck == nil || bck.tokens < 1 {
		return false
	}
	bck.tokens--
	return true
}

// outstanding counts the requests at each owner by session, so that one slow owner cannot fill this agent.
type outstanding struct {
	mu     sync.Mutex
	counts map[uint64]int
}

func (out *outstanding) tryAdd(ses uint64, limit int) bool {
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.counts[ses] >= limit {
		return false
	}
	out.counts[ses]++
	return true
}

func (out *outstanding) count(ses uint64) int {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.counts[ses]
}

func (out *outstanding) remove(ses uint64) {
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.counts[ses]--; out.counts[ses] <= 0 {
		delete(out.counts, ses)
	}
}
