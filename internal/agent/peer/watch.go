package peer

import "time"

const (
	// The watch runs often enough that its period adds little to the limits below.
	watchPeriod = 25 * time.Millisecond
	// Upper limit of the usual answer time of a backend server; an answer that takes longer counts as overdue.
	maxUsualAnswerTime = 600 * time.Millisecond
	// Lower limit of the wait for a ping answer, because a process may get no CPU time for 100 ms.
	minPingTimeout = 250 * time.Millisecond
	// A suspect link is closed this long after a newer one to the same address was created, or later if round
	// trips are long.
	minReplacedTimeout = 250 * time.Millisecond
	// A suspect link whose peer answers no new connection either is closed after this time, or later if round
	// trips are long. That is before the lease of a failed peer ends, so that its requests reach the next owner
	// of their keys.
	minSuspectTimeout = 600 * time.Millisecond
	maxSuspectTimeout = 1500 * time.Millisecond
	// A ping continues this long, because a delayed answer also shows that the peer works.
	maxPingTime = 3 * time.Second
)

// linkState is the state of a link, from which the watch derives what to do.
type linkState int

const (
	healthy linkState = iota
	overdue           // ping it
	suspect           // use it for no new requests
	dead              // close it
)

// watch pings overdue links, replaces suspect ones and closes dead and idle ones.
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

// checkLinks classifies all links and returns those that are not healthy.
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

// classify returns the state of a link; the caller holds poo.mu.
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

// classifySuspect returns whether a suspect link is dead or has received data again; the caller holds poo.mu.
func (poo *Pool) classifySuspect(lnk *link, now time.Time) linkState {
	if poo.markRecovered(lnk) {
		return healthy
	}
	roundTrip := poo.remote(lnk.address).roundTrips.Timeout()
	// A saturated network link may take long to drain the bytes ahead of the ping.
	drained := lnk.socket.drainedAt()
	unresponsive := now.Sub(later(lnk.suspectedAt, drained)) > min(max(minSuspectTimeout, 2*roundTrip), maxSuspectTimeout)
	replaced := !lnk.replacedAt.IsZero() && now.Sub(later(lnk.replacedAt, drained)) > min(max(minReplacedTimeout, roundTrip), maxSuspectTimeout)
	if !unresponsive && !replaced {
		return healthy
	}
	poo.opt.Logger.Warnf("peer: closing connection to %s: peer did not answer a ping in time", lnk.address)
	poo.opt.Counters.Event("peer_ping_failed")
	return dead
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// pingAfter returns the time without received data after which a link with requests is pinged; it exceeds the
// usual answer time.
func (poo *Pool) pingAfter(rem *remote) time.Duration {
	return max(poo.opt.PingAfter, min(rem.answerTimes.Timeout(), maxUsualAnswerTime))
}

// pingTimeout returns the maximum wait for the answer to a ping.
func (poo *Pool) pingTimeout(rem *remote) time.Duration {
	return min(max(rem.roundTrips.Timeout(), minPingTimeout), poo.opt.PingTimeout)
}

// markSuspect excludes a link from new requests, while its outstanding ones keep waiting; the caller holds poo.mu.
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

// markRecovered makes a suspect link usable again if it has received data since it was suspected; the caller holds poo.mu.
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

// recoveredLink returns a suspect link to an address that has received data again, nil if there is none; the
// caller holds poo.mu.
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

// pingInBackground starts a ping; any received byte counts as the answer.
func (poo *Pool) pingInBackground(lnk *link) { lnk.pings.DoChan("", poo.pinger(lnk)) }

// connectInBackground starts to create a new link, which serves new requests and distinguishes a failed peer
// from a broken connection.
func (poo *Pool) connectInBackground(addr string) {
	poo.dials.DoChan(addr, func() (any, error) { return nil, poo.connect(addr) })
}
