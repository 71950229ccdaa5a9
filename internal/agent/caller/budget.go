package caller

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// bucket is the token bucket of a service's retries: a percentage of its requests plus a fixed number per second.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// budgets holds the buckets by service.
type budgets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// sharedBurst is the number of retries that one agent may accumulate from a budget shared by all agents.
const sharedBurst = 2

// allowance is the part of a service's retry budget that one of several agents may use.
type allowance struct {
	perSecond float64
	percent   float64 // of requests
	burst     float64
}

func allowanceOf(svc *controlpb.Service, agents int) allowance {
	alw := allowance{
		perSecond: float64(orDefault(svc.GetRetryMinPerSecond(), defaultRetriesPerSecond)),
		percent:   float64(orDefault(svc.GetRetryBudgetPercent(), defaultRetryPercent)),
	}
	// Retries accumulate for one second at most, which bounds the burst after an idle period.
	alw.burst = alw.perSecond + alw.percent
	if shared := svc.GetRetrySharedPerMinute(); shared > 0 {
		alw.perSecond = float64(shared) / time.Minute.Seconds() / float64(max(agents, 1))
		alw.burst = sharedBurst
	}
	return alw
}

// refill adds the tokens for one request and for the time since the last call; agents is the number of agents
// that share the budget.
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

// take consumes one retry if the budget allows it.
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

// outstanding counts the requests at each owner by session, so that one slow owner cannot use up this agent's capacity.
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
