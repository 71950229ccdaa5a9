package peer

import (
	"context"
	"time"
)

// The watch runs often enough that its period adds little to the 250 ms and 500 ms limits.
const watchPeriod = 25 * time.Millisecond

// watch pings silent links with outstanding requests and closes dead and idle ones.
func (poo *Pool) watch() {
	tck := time.NewTicker(watchPeriod)
	defer tck.Stop()
	for {
		select {
		case <-poo.closed:
			return
		case <-tck.C:
		}
		pings, dead := poo.inspect(time.Now())
		for _, lnk := range pings {
			poo.pingSoon(lnk)
		}
		for _, lnk := range dead {
			poo.kill(lnk)
		}
	}
}

// inspect returns the links to ping and those to close.
func (poo *Pool) inspect(now time.Time) (pings, dead []*link) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for lnk := range poo.all {
		switch {
		case lnk.socket.closed.Load():
			dead = append(dead, lnk)
		case lnk.outstanding == 0 && (poo.current[lnk.address] != lnk || now.Sub(lnk.used) > poo.opt.IdleTimeout):
			dead = append(dead, lnk)
		case poo.hooks.skipPing:
		case lnk.outstanding == 0 || lnk.socket.silence() <= poo.opt.PingAfter:
			lnk.pinged = time.Time{}
		case lnk.pinged.IsZero():
			lnk.pinged = now
			pings = append(pings, lnk)
		case now.Sub(lnk.pinged) > poo.opt.PingTimeout:
			poo.opt.Logger.Warnf("peer: connection to %s is silent, closing it", lnk.address)
			poo.opt.Counters.Event("peer_ping_failed")
			dead = append(dead, lnk)
		}
	}
	return pings, dead
}

// pingSoon pings in the background; any byte received counts as the answer.
func (poo *Pool) pingSoon(lnk *link) {
	go func() { _ = lnk.ping(context.Background(), poo.opt.PingTimeout) }()
}
