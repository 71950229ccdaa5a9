package caller

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// bucket is the retry budget of one service: a share of its requests plus a number a second.
type bucket struct {
	tokens float64
	filled time.Time
}

// budgets hold the buckets by service.
type budgets struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// fill adds the share of one request and what the time since the last call brings.
func (bud *budgets) fill(svc *controlpb.Service) {
	now := time.Now()
	perSecond := float64(orCount(svc.GetRetryMinPerSecond(), defaultPerSecond))
	percent := float64(orCount(svc.GetRetryBudgetPercent(), defaultPercent))
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bck := bud.buckets[svc.GetName()]
	if bck == nil {
		bck = &bucket{tokens: perSecond, filled: now}
		bud.buckets[svc.GetName()] = bck
	}
	bck.tokens += percent/100 + perSecond*now.Sub(bck.filled).Seconds()
	// One second of saved retries bounds the burst after a quiet time.
	bck.tokens = min(bck.tokens, perSecond+percent)
	bck.filled = now
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

func (out *outstanding) enter(ses uint64, limit int) bool {
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.counts[ses] >= limit {
		return false
	}
	out.counts[ses]++
	return true
}

func (out *outstanding) leave(ses uint64) {
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.counts[ses]--; out.counts[ses] <= 0 {
		delete(out.counts, ses)
	}
}
