package peer

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/host/roundtrip"
)

const (
	// The first failure is followed by a new attempt at once, since the peer may just have returned.
	immediateRetries = 1
	// The pause between attempts doubles from the first to the longest; a key must be served again soon after its owner is back.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// remote is what the pool knows of an address, whichever connection it has; the pool's lock guards it.
type remote struct {
	roundTrips  roundtrip.Estimate // of pings and handshakes
	answerTimes roundtrip.Estimate // from a request to the first message of its answer
	failures    int                // attempts to connect since the last success
	lastAttempt time.Time          // last attempt to connect
	retryAt     time.Time
}

// remote returns the record of an address; the lock is held.
func (poo *Pool) remote(addr string) *remote {
	rem := poo.remotes[addr]
	if rem == nil {
		rem = &remote{}
		poo.remotes[addr] = rem
	}
	return rem
}

// evictRemotes drops the records of addresses that have no link and were not tried for the idle time.
func (poo *Pool) evictRemotes(now time.Time) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	linked := map[string]bool{}
	for lnk := range poo.links {
		linked[lnk.address] = true
	}
	for addr, rem := range poo.remotes {
		if !linked[addr] && now.Sub(rem.lastAttempt) > poo.opt.IdleTimeout {
			delete(poo.remotes, addr)
		}
	}
}

// recordFailure counts a failed attempt and sets the time of the next one.
func (rem *remote) recordFailure(now time.Time) {
	rem.failures++
	if rem.failures <= immediateRetries {
		return
	}
	pause := min(minBackoff<<min(rem.failures-immediateRetries-1, 8), maxBackoff)
	rem.retryAt = now.Add(pause/2 + rand.N(pause/2))
}

// connect makes a link to an address; those who wait for the same address share the call. An attempt goes on for a while after its callers were refused, since a full link delays a handshake.
func (poo *Pool) connect(addr string) error {
	poo.mu.Lock()
	if poo.closing {
		poo.mu.Unlock()
		return errors.New("the pool is closed")
	}
	rem := poo.remote(addr)
	if wait := time.Until(rem.retryAt); wait > 0 {
		poo.mu.Unlock()
		return errors.Errorf("connecting to %s has failed, next attempt in %v", addr, wait)
	}
	rem.lastAttempt = time.Now()
	res := make(chan error, 1)
	poo.background.Go(func() { res <- poo.dial(addr) })
	poo.mu.Unlock()
	tmr := time.NewTimer(poo.opt.ConnectTimeout)
	defer tmr.Stop()
	var err error
	select {
	case err = <-res:
	case <-tmr.C:
		err = errors.Errorf("connect to %s: no answer in %v", addr, poo.opt.ConnectTimeout)
	}
	if err == nil {
		return nil
	}
	poo.opt.Counters.Event("peer_connect_failed")
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.remote(addr).recordFailure(time.Now())
	return err
}

// dial makes a link and puts it to use.
func (poo *Pool) dial(addr string) error {
	ctx, cancel := context.WithTimeout(poo.ctx, poo.opt.DialTimeout)
	defer cancel()
	lnk, err := dial(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		poo.closeSuspects(addr)
	}
	if err != nil {
		return err
	}
	poo.opt.Counters.Event("peer_connected")
	if poo.setCurrent(lnk) {
		return nil
	}
	poo.closeLink(lnk)
	return nil
}

// setCurrent makes a new link the current one of its address unless that has a sound one or the pool is closed.
func (poo *Pool) setCurrent(lnk *link) bool {
	now := time.Now()
	poo.mu.Lock()
	defer poo.mu.Unlock()
	rem := poo.remote(lnk.address)
	rem.roundTrips.Add(lnk.roundTrip)
	rem.failures, rem.retryAt = 0, time.Time{}
	for old := range poo.links {
		if old.address == lnk.address && old.replacedAt.IsZero() {
			old.replacedAt = now
		}
	}
	poo.links[lnk] = struct{}{}
	cur := poo.current[lnk.address]
	if poo.closing || (cur != nil && !cur.socket.closed.Load()) {
		return false
	}
	lnk.lastUsed = now
	poo.current[lnk.address] = lnk
	return true
}

// closeSuspects closes the suspect links to an address at which nothing listens any more.
func (poo *Pool) closeSuspects(addr string) {
	var lnks []*link
	poo.mu.Lock()
	for lnk := range poo.links {
		if lnk.address == addr && !lnk.suspectedAt.IsZero() {
			lnks = append(lnks, lnk)
		}
	}
	poo.mu.Unlock()
	for _, lnk := range lnks {
		poo.closeLink(lnk)
	}
}
