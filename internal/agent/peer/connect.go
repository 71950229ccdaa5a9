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
	freeFailures = 1
	// The pause between attempts doubles from the first to the longest; a key must be served again soon after its owner is back.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 400 * time.Millisecond
)

// remote is what the pool knows of an address, whichever connection it has; the pool's lock guards it.
type remote struct {
	trips    roundtrip.Estimate // of pings and handshakes
	answers  roundtrip.Estimate // from a request to the first message of its answer
	failures int                // attempts to connect since the last success
	tried    time.Time          // last attempt to connect
	retryAt  time.Time
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

// forget drops the records of addresses that have no link and were not tried for the idle time.
func (poo *Pool) forget(now time.Time) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	linked := map[string]bool{}
	for lnk := range poo.all {
		linked[lnk.address] = true
	}
	for addr, rem := range poo.remotes {
		if !linked[addr] && now.Sub(rem.tried) > poo.opt.IdleTimeout {
			delete(poo.remotes, addr)
		}
	}
}

// failed counts a failed attempt and sets the time of the next one.
func (rem *remote) failed(now time.Time) {
	rem.failures++
	if rem.failures <= freeFailures {
		return
	}
	pause := min(firstBackoff<<min(rem.failures-freeFailures-1, 8), longestBackoff)
	rem.retryAt = now.Add(pause/2 + rand.N(pause/2))
}

// connect makes a link to an address; those who wait for the same address share the call. An attempt goes on for a while after its callers were refused, since a full link delays a handshake.
func (poo *Pool) connect(addr string) error {
	poo.mu.Lock()
	if poo.over {
		poo.mu.Unlock()
		return errors.New("the pool is closed")
	}
	rem := poo.remote(addr)
	if wait := time.Until(rem.retryAt); wait > 0 {
		poo.mu.Unlock()
		return errors.Errorf("connecting to %s has failed, next attempt in %v", addr, wait)
	}
	rem.tried = time.Now()
	res := make(chan error, 1)
	poo.done.Go(func() { res <- poo.dial(addr) })
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
	poo.remote(addr).failed(time.Now())
	return err
}

// dial makes a link and puts it to use.
func (poo *Pool) dial(addr string) error {
	ctx, cancel := context.WithTimeout(poo.ctx, poo.opt.DialTimeout)
	defer cancel()
	lnk, err := dial(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		poo.refused(addr)
	}
	if err != nil {
		return err
	}
	poo.opt.Counters.Event("peer_connected")
	if poo.adopt(lnk) {
		return nil
	}
	poo.kill(lnk)
	return nil
}

// adopt makes a new link the current one of its address unless that has a sound one or the pool is closed.
func (poo *Pool) adopt(lnk *link) bool {
	now := time.Now()
	poo.mu.Lock()
	defer poo.mu.Unlock()
	rem := poo.remote(lnk.address)
	rem.trips.Add(lnk.trip)
	rem.failures, rem.retryAt = 0, time.Time{}
	for old := range poo.all {
		if old.address == lnk.address && old.refuted.IsZero() {
			old.refuted = now
		}
	}
	poo.all[lnk] = struct{}{}
	cur := poo.current[lnk.address]
	if poo.over || (cur != nil && !cur.socket.closed.Load()) {
		return false
	}
	lnk.used = now
	poo.current[lnk.address] = lnk
	return true
}

// refused closes the suspect links to an address at which nothing listens any more.
func (poo *Pool) refused(addr string) {
	var lnks []*link
	poo.mu.Lock()
	for lnk := range poo.all {
		if lnk.address == addr && !lnk.suspected.IsZero() {
			lnks = append(lnks, lnk)
		}
	}
	poo.mu.Unlock()
	for _, lnk := range lnks {
		poo.kill(lnk)
	}
}
