package owner

import (
	"math/rand/v2"
	"time"
)

// returnWindow is the time after a refusal in which its caller should repeat the request.
type returnWindow struct {
	earliest time.Duration
	latest   time.Duration
}

// pick returns a Retry-After in the window; share is a random number from 0 to 1, which spreads the callers evenly.
func (win returnWindow) pick(share float64) time.Duration {
	return win.earliest + time.Duration(share*float64(win.latest-win.earliest))
}

// returnAfterBacklog returns when a refused request should be repeated: not before earliest, spread over the time in which
// the work ahead of it clears, which is shorter for more urgent requests. A request that can still meet its aim returns
// early enough for that, any other early enough for its deadline.
func returnAfterBacklog(dmd demand, blg backlog, earliest time.Duration) returnWindow {
	work := blg.totalRemaining()
	for _, run := range blg.ahead {
		work += run
	}
	clearing := blg.overtaking.delay(work / time.Duration(max(blg.slots, 1)))
	run := dmd.run + dmd.run/runMarginDivisor
	last := dmd.deadline - run
	if earliest < dmd.aim-run {
		last = dmd.aim - run
	}
	earliest = min(earliest, maxRetryAfter)
	return returnWindow{earliest: earliest, latest: max(earliest, min(earliest+clearing, last, maxRetryAfter))}
}

// retryDelay returns the Retry-After of a request that the forecast refuses.
func retryDelay(dmd demand, blg backlog, earliest time.Duration) time.Duration {
	return returnAfterBacklog(dmd, blg, earliest).pick(rand.Float64())
}
