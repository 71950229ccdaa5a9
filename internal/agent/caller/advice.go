package caller

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// adviceRetention is how long the advice of a backend server with an incarnation is kept after it was last heard.
const adviceRetention = time.Hour

// heardAdvice is the latest advice of a backend server.
type heardAdvice struct {
	advice       *peerpb.Advice
	at           time.Time
	leavingSince boottime.Instant // when leaving was first heard; only valid if advice states it
}

// expired reports whether the advice is too old to be used.
func (hrd heardAdvice) expired() bool {
	if !siskinrill.StartOfAdvice(hrd.advice).IsStated() {
		return time.Since(hrd.at) > siskinrill.UnnumberedLeaving
	}
	return time.Since(hrd.at) > adviceRetention
}

// adviceCache holds what owners have told this entry about their backend servers. It is sent with each request, so that an
// owner that has restarted knows it before it sends the server the first request of an entry that knew.
type adviceCache struct {
	mu      sync.Mutex
	servers map[siskinrill.ServerStart]heardAdvice
}

// record stores what the owner beside a server has told; nil means that the server states nothing.
func (acc *adviceCache) record(srv siskinrill.ServerStart, adv *peerpb.Advice) {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	if adv != nil {
		srv = siskinrill.StartOfAdvice(adv)
	}
	old := acc.find(srv)
	if old.advice.GetLeaving() && !adv.GetLeaving() {
		// A server that has stated that it is leaving never returns, but its agent may have restarted.
		if !srv.IsStated() {
			return // kept until it has expired
		}
		adv = &peerpb.Advice{Upstream: srv.ID, Incarnation: srv.Incarnation, Limited: adv.GetLimited(), RateLimit: adv.GetRateLimit(), Leaving: true}
	}
	if adv == nil {
		delete(acc.servers, srv)
		return
	}
	if old.advice == nil {
		acc.removeOld()
	}
	hrd := heardAdvice{advice: adv, at: time.Now(), leavingSince: old.leavingSince}
	if adv.GetLeaving() && !old.advice.GetLeaving() {
		hrd.leavingSince = boottime.Mark().Add(-time.Duration(adv.GetLeavingMs()) * time.Millisecond)
	}
	acc.servers[srv] = hrd
}

// isOutOfService reports whether a server has stated for at least a grace time that it is leaving, so that it must receive
// no further requests, whatever the table says. Time for which the host was suspended counts.
func (acc *adviceCache) isOutOfService(srv siskinrill.ServerStart, grace time.Duration) bool {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	hrd := acc.find(srv)
	return hrd.advice.GetLeaving() && boottime.Mark().Since(hrd.leavingSince) >= grace
}

// removeOld removes the servers that have not been heard of for long; the caller holds the mutex.
func (acc *adviceCache) removeOld() {
	for srv, hrd := range acc.servers {
		if hrd.expired() {
			delete(acc.servers, srv)
		}
	}
}

// find returns what was heard of a server, the zero value if nothing or too long ago; the caller holds the mutex.
func (acc *adviceCache) find(srv siskinrill.ServerStart) heardAdvice {
	if hrd, ok := acc.servers[srv]; ok && !hrd.expired() {
		return hrd
	}
	return heardAdvice{}
}

// get returns the advice of a server, nil if it states nothing.
func (acc *adviceCache) get(srv siskinrill.ServerStart) *peerpb.Advice {
	acc.mu.Lock()
	defer acc.mu.Unlock()
	hrd := acc.find(srv)
	if !hrd.advice.GetLeaving() {
		return hrd.advice
	}
	return &peerpb.Advice{
		Upstream: srv.ID, Incarnation: srv.Incarnation, Limited: hrd.advice.GetLimited(), RateLimit: hrd.advice.GetRateLimit(),
		Leaving: true, LeavingMs: uint32(boottime.Mark().Since(hrd.leavingSince).Milliseconds()),
	}
}
