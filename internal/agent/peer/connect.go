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
	// The first failure is followed by an immediate retry, because the peer may have just restarted.
	immediateRetries = 1
	// Range of the pause between attempts, which doubles; it is short because a key must be served again soon
	// after its owner is back.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// remote holds the pool's data about a peer address across connections; Pool.mu guards it.
type remote struct {
	roundTrips  roundtrip.Estimate // of pings and handshakes
	answerTimes roundtrip.Estimate // from a request to the first message of its answer
	failures    int                // failed connection attempts since the last success
	lastAttempt time.Time          // start of the last connection attempt
	retryAt     time.Time
}

// remote returns the record of an address; the caller holds poo.mu.
func (poo *Pool) remote(addr string) *remote {
	rem := poo.remotes[addr]
	if rem == nil {
		rem = &remote{}
		poo.remotes[addr] = rem
	}
	return rem
}

// evictRemotes removes the records of addresses that have no link and no connection attempt within Options.IdleTimeout.
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

// recordFailure counts a failed connection attempt and schedules the next one.
func (rem *remote) recordFailure(now time.Time) {
	rem.failures++
	if rem.failures <= immediateRetries {
		return
	}
	pause := min(minBackoff<<min(rem.failures-immediateRetries-1, 8), maxBackoff)
	rem.retryAt = now.Add(pause/2 + rand.N(pause/2))
}

// connect creates a link to an address; concurrent requests for the same address share the call. The attempt
// continues for a while after its callers were refused, because a saturated network link delays the handshake.
func (poo *Pool) connect(addr string) error {
	poo.mu.Lock()
	if poo.closing {
		poo.mu.Unlock()
		return errors.New("connection pool is closed")
	}
	rem := poo.remote(addr)
	if wait := time.Until(rem.retryAt); wait > 0 {
		poo.mu.Unlock()
		return errors.Errorf("earlier attempts to connect to %s failed, next attempt in %v", addr, wait)
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

// dial creates a link and makes it the current one of its address.
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

// setCurrent makes a new link the current one of its address unless that has an open one or the pool is closing.
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

// closeSuspects closes the suspect links to an address that refuses connections.
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
