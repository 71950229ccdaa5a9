package peer

import "time"

const (
	// The watch runs often enough that its period adds little to the limits below.
	watchPeriod = 25 * time.Millisecond
	// A backend server may take up to this long as a rule before its answer counts as late.
	maxUsualAnswerTime = 600 * time.Millisecond
	// Bounds of the wait for the answer to a ping; a process may be without a processor for 100 ms.
	minPingTimeout = 250 * time.Millisecond
	// A suspect link is closed this soon after a new one to the same address was made, unless round trips are longer.
	minReplacedTimeout = 250 * time.Millisecond
	// A suspect link whose peer answers no new connection either is closed after this time, unless round trips are longer: before a lost peer's lease has ended, so that its requests meet the next owner of their keys.
	minSuspectTimeout = 600 * time.Millisecond
	maxSuspectTimeout = 1500 * time.Millisecond
	// A ping goes on this long, since a late answer is evidence as well.
	maxPingTime = 3 * time.Second
)

// linkState tells what the watch does with a link.
type linkState int

const (
	healthy linkState = iota
	overdue           // to be pinged
	suspect           // no more for new requests
	dead              // to be closed
)

// watch pings late links, suspects silent ones and closes dead and idle ones.
func (poo *Pool) watch() {
	tck := time.NewTicker(watchPeriod)
	defer tck.Stop()
	evict := time.NewTicker(poo.opt.IdleTimeout)
	defer evict.Stop()
	for {
		select {
		case <-poo.stopWatch:
			return
		case now := <-evict.C:
			poo.evictRemotes(now)
			continue
		case <-tck.C:
		}
		for lnk, sta := range poo.checkLinks(time.Now()) {
			switch sta {
			case overdue:
				poo.pingInBackground(lnk)
			case suspect:
				poo.connectInBackground(lnk.address)
			case dead:
				poo.closeLink(lnk)
			}
		}
	}
}

// checkLinks judges all links and returns those that are not sound.
func (poo *Pool) checkLinks(now time.Time) map[*link]linkState {
	var states map[*link]linkState
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for lnk := range poo.links {
		sta := poo.classify(lnk, now)
		if sta == healthy {
			continue
		}
		if states == nil {
			states = map[*link]linkState{}
		}
		states[lnk] = sta
	}
	return states
}

// classify returns what is to be done with a link; the lock is held.
func (poo *Pool) classify(lnk *link, now time.Time) linkState {
	cur := poo.current[lnk.address] == lnk
	switch {
	case lnk.socket.closed.Load():
		return dead
	case lnk.outstanding == 0 && (!cur || now.Sub(lnk.lastUsed) > poo.opt.IdleTimeout):
		return dead
	case poo.hooks.skipPing:
		return healthy
	case lnk.outstanding == 0:
		lnk.pingedAt = time.Time{}
		return healthy
	case !lnk.suspectedAt.IsZero():
		return poo.classifySuspect(lnk, now)
	}
	rem := poo.remote(lnk.address)
	if now.Sub(lnk.lastActive()) <= poo.pingAfter(rem) {
		lnk.pingedAt = time.Time{}
		return healthy
	}
	if lnk.pingedAt.IsZero() {
		lnk.pingedAt = now
		return overdue
	}
	if now.Sub(lnk.pingedAt) <= poo.pingTimeout(rem) {
		return healthy
	}
	poo.markSuspect(lnk, now)
	return suspect
}

// classifySuspect returns whether a suspect link is dead or was heard again; the lock is held.
func (poo *Pool) classifySuspect(lnk *link, now time.Time) linkState {
	if poo.markRecovered(lnk) {
		return healthy
	}
	roundTrip := poo.remote(lnk.address).roundTrips.Timeout()
	// A full link may drain bytes for long before it delivers the ping behind them.
	drained := lnk.socket.drainedAt()
	unresponsive := now.Sub(later(lnk.suspectedAt, drained)) > min(max(minSuspectTimeout, 2*roundTrip), maxSuspectTimeout)
	replaced := !lnk.replacedAt.IsZero() && now.Sub(later(lnk.replacedAt, drained)) > min(max(minReplacedTimeout, roundTrip), maxSuspectTimeout)
	if !unresponsive && !replaced {
		return healthy
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
	return max(poo.opt.PingAfter, min(rem.answerTimes.Timeout(), maxUsualAnswerTime))
}

// pingTimeout returns the longest wait for the answer to a ping.
func (poo *Pool) pingTimeout(rem *remote) time.Duration {
	return min(max(rem.roundTrips.Timeout(), minPingTimeout), poo.opt.PingTimeout)
}

// markSuspect takes a link out of use for new requests, while those that it carries wait on; the lock is held.
func (poo *Pool) markSuspect(lnk *link, now time.Time) {
	if !lnk.suspectedAt.IsZero() {
		return
	}
	poo.opt.Counters.Event("peer_suspected")
	poo.remote(lnk.address).roundTrips.Expire()
	lnk.suspectedAt, lnk.replacedAt = now, time.Time{}
	if poo.current[lnk.address] == lnk {
		delete(poo.current, lnk.address)
	}
}

// markRecovered ends the suspicion of a link that was heard since; the lock is held.
func (poo *Pool) markRecovered(lnk *link) bool {
	if !lnk.socket.lastReceived().After(lnk.suspectedAt) {
		return false
	}
	poo.opt.Counters.Event("peer_recovered")
	lnk.suspectedAt, lnk.replacedAt, lnk.pingedAt = time.Time{}, time.Time{}, time.Time{}
	if poo.current[lnk.address] == nil {
		poo.current[lnk.address] = lnk
	}
	return true
}

// recoveredLink returns a suspect link to an address that was heard since, nil if there is none; the lock is held.
func (poo *Pool) recoveredLink(addr string) *link {
	for lnk := range poo.links {
		if lnk.address != addr || lnk.suspectedAt.IsZero() || lnk.socket.closed.Load() {
			continue
		}
		if poo.markRecovered(lnk) {
			return lnk
		}
	}
	return nil
}

// pingInBackground pings in the background; any byte received counts as the answer.
func (poo *Pool) pingInBackground(lnk *link) { lnk.pings.DoChan("", poo.pinger(lnk)) }

// connectInBackground makes a new link in the background, which serves new requests and tells a dead peer from a cut connection.
func (poo *Pool) connectInBackground(addr string) {
	poo.dials.DoChan(addr, func() (any, error) { return nil, poo.connect(addr) })
}
