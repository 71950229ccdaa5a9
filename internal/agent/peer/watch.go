package peer

import "time"

const (
	// The watch runs often enough that its period adds little to the limits below.
	watchPeriod = 25 * time.Millisecond
	// A backend server may take up to this long as a rule before its answer counts as late.
	longestAnswer = 600 * time.Millisecond
	// Bounds of the wait for the answer to a ping; a process may be without a processor for 100 ms.
	leastPingTimeout = 250 * time.Millisecond
	// A suspect link is closed this soon after a new one to the same address was made, unless round trips are longer.
	leastDoubt = 250 * time.Millisecond
	// A suspect link whose peer answers no new connection either is closed after this time, unless round trips are longer: before a lost peer's lease has ended, so that its requests meet the next owner of their keys.
	leastDeath   = 600 * time.Millisecond
	longestDeath = 1500 * time.Millisecond
	// A ping goes on this long, since a late answer is evidence as well.
	pingLifetime = 3 * time.Second
)

// verdict tells what the watch does with a link.
type verdict int

const (
	sound   verdict = iota
	late            // to be pinged
	suspect         // no more for new requests
	dead            // to be closed
)

// watch pings late links, suspects silent ones and closes dead and idle ones.
func (poo *Pool) watch() {
	tck := time.NewTicker(watchPeriod)
	defer tck.Stop()
	fgt := time.NewTicker(poo.opt.IdleTimeout)
	defer fgt.Stop()
	for {
		select {
		case <-poo.closed:
			return
		case now := <-fgt.C:
			poo.forget(now)
			continue
		case <-tck.C:
		}
		for lnk, vrd := range poo.inspect(time.Now()) {
			switch vrd {
			case late:
				poo.pingSoon(lnk)
			case suspect:
				poo.connectSoon(lnk.address)
			case dead:
				poo.kill(lnk)
			}
		}
	}
}

// inspect judges all links and returns those that are not sound.
func (poo *Pool) inspect(now time.Time) map[*link]verdict {
	var vrds map[*link]verdict
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for lnk := range poo.all {
		vrd := poo.judge(lnk, now)
		if vrd == sound {
			continue
		}
		if vrds == nil {
			vrds = map[*link]verdict{}
		}
		vrds[lnk] = vrd
	}
	return vrds
}

// judge returns what is to be done with a link; the lock is held.
func (poo *Pool) judge(lnk *link, now time.Time) verdict {
	cur := poo.current[lnk.address] == lnk
	switch {
	case lnk.socket.closed.Load():
		return dead
	case lnk.outstanding == 0 && (!cur || now.Sub(lnk.used) > poo.opt.IdleTimeout):
		return dead
	case poo.hooks.skipPing:
		return sound
	case lnk.outstanding == 0:
		lnk.pinged = time.Time{}
		return sound
	case !lnk.suspected.IsZero():
		return poo.judgeSuspect(lnk, now)
	}
	rem := poo.remote(lnk.address)
	if now.Sub(lnk.active()) <= poo.pingAfter(rem) {
		lnk.pinged = time.Time{}
		return sound
	}
	if lnk.pinged.IsZero() {
		lnk.pinged = now
		return late
	}
	if now.Sub(lnk.pinged) <= poo.pingTimeout(rem) {
		return sound
	}
	poo.suspect(lnk, now)
	return suspect
}

// judgeSuspect returns whether a suspect link is dead or was heard again; the lock is held.
func (poo *Pool) judgeSuspect(lnk *link, now time.Time) verdict {
	if poo.recover(lnk) {
		return sound
	}
	trip := poo.remote(lnk.address).trips.Timeout()
	// A full link may drain bytes for long before it delivers the ping behind them.
	drained := lnk.socket.drainedAt()
	silent := now.Sub(later(lnk.suspected, drained)) > min(max(leastDeath, 2*trip), longestDeath)
	refuted := !lnk.refuted.IsZero() && now.Sub(later(lnk.refuted, drained)) > min(max(leastDoubt, trip), longestDeath)
	if !silent && !refuted {
		return sound
	}
	poo.opt.Logger.Warnf("peer: connection to %s is silent, closing it", lnk.address)
	poo.opt.Counters.Event("peer_ping_failed")
	return dead
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// pingAfter returns the silence after which a link with requests is pinged: more than its requests take as a rule.
func (poo *Pool) pingAfter(rem *remote) time.Duration {
	return max(poo.opt.PingAfter, min(rem.answers.Timeout(), longestAnswer))
}

// pingTimeout returns the longest wait for the answer to a ping.
func (poo *Pool) pingTimeout(rem *remote) time.Duration {
	return min(max(rem.trips.Timeout(), leastPingTimeout), poo.opt.PingTimeout)
}

// suspect takes a link out of use for new requests, while those that it carries wait on; the lock is held.
func (poo *Pool) suspect(lnk *link, now time.Time) {
	if !lnk.suspected.IsZero() {
		return
	}
	poo.opt.Counters.Event("peer_suspected")
	poo.remote(lnk.address).trips.Expire()
	lnk.suspected, lnk.refuted = now, time.Time{}
	if poo.current[lnk.address] == lnk {
		delete(poo.current, lnk.address)
	}
}

// recover ends the suspicion of a link that was heard since; the lock is held.
func (poo *Pool) recover(lnk *link) bool {
	if !lnk.socket.heard().After(lnk.suspected) {
		return false
	}
	poo.opt.Counters.Event("peer_recovered")
	lnk.suspected, lnk.refuted, lnk.pinged = time.Time{}, time.Time{}, time.Time{}
	if poo.current[lnk.address] == nil {
		poo.current[lnk.address] = lnk
	}
	return true
}

// recovered returns a suspect link to an address that was heard since, nil if there is none; the lock is held.
func (poo *Pool) recovered(addr string) *link {
	for lnk := range poo.all {
		if lnk.address != addr || lnk.suspected.IsZero() || lnk.socket.closed.Load() {
			continue
		}
		if poo.recover(lnk) {
			return lnk
		}
	}
	return nil
}

// pingSoon pings in the background; any byte received counts as the answer.
func (poo *Pool) pingSoon(lnk *link) { lnk.pings.DoChan("", poo.pinger(lnk)) }

// connectSoon makes a new link in the background, which serves new requests and tells a dead peer from a cut connection.
func (poo *Pool) connectSoon(addr string) {
	poo.dials.DoChan(addr, func() (any, error) { return nil, poo.connect(addr) })
}
