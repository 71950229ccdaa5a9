package caller

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
)

const (
	// deadlineTolerance is the maximum difference between the calculated deadlines of two attempts of one
	// request; network delays cause it.
	deadlineTolerance = 50 * time.Millisecond
	// earlyTolerance is that difference for a repeat that is refused because it is early. Requests of several callers for one
	// key often have deadlines that are close to each other.
	earlyTolerance = 10 * time.Millisecond
	// maxRefusedCalls limits the number of remembered refused requests.
	maxRefusedCalls = 8192
	// maxEarlyRefusal is the longest time after a refusal for lack of capacity in which a repeat is refused here. A longer one
	// would refuse requests after the owner has room again.
	maxEarlyRefusal = 100 * time.Millisecond
)

// requestKey is what two attempts of the same request have in common.
type requestKey struct {
	route  string
	key    string
	method string
	target string
}

// refusedCall is a refused request that its caller may retry.
type refusedCall struct {
	deadline     time.Time // of the caller
	firstAttempt time.Time // arrival of the first attempt at this agent
	repeatAt     time.Time // a repeat before this time is early; zero if it may arrive at any time
}

// refusedCalls remembers refused requests until their callers' deadlines. A caller that retries states its
// remaining time, so the deadline identifies the request; the timeout alone does not, because it differs between callers.
type refusedCalls struct {
	mu    sync.Mutex
	calls map[requestKey][]refusedCall
	count int
}

// add remembers a request that its caller may retry.
func (rcs *refusedCalls) add(key requestKey, cll refusedCall) {
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	if rcs.count >= maxRefusedCalls {
		rcs.removeExpired(time.Now())
	}
	if rcs.count >= maxRefusedCalls {
		return
	}
	rcs.calls[key] = append(rcs.calls[key], cll)
	rcs.count++
}

// removeExpired removes the requests whose deadlines have passed.
func (rcs *refusedCalls) removeExpired(now time.Time) {
	rcs.count = 0
	for key, all := range rcs.calls {
		var remaining []refusedCall
		for _, cll := range all {
			if now.Before(cll.deadline) {
				remaining = append(remaining, cll)
			}
		}
		if remaining == nil {
			delete(rcs.calls, key)
			continue
		}
		rcs.calls[key] = remaining
		rcs.count += len(remaining)
	}
}

// find returns the remembered request that is repeated now and removes it; of a request that is not a repeat, the first
// attempt arrives now.
func (rcs *refusedCalls) find(key requestKey, deadline, now time.Time) refusedCall {
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	best, minGap := -1, deadlineTolerance
	for pos, cll := range rcs.calls[key] {
		if gap := deadline.Sub(cll.deadline).Abs(); gap <= minGap {
			best, minGap = pos, gap
		}
	}
	if best < 0 {
		return refusedCall{firstAttempt: now}
	}
	return rcs.take(key, best)
}

// take removes a remembered request and returns it.
func (rcs *refusedCalls) take(key requestKey, pos int) refusedCall {
	all := rcs.calls[key]
	cll := all[pos]
	all[pos] = all[len(all)-1]
	rcs.calls[key] = all[:len(all)-1]
	if len(rcs.calls[key]) == 0 {
		delete(rcs.calls, key)
	}
	rcs.count--
	return cll
}

// requestKey returns what all attempts of this request have in common.
func (cal *call) requestKey() requestKey {
	return requestKey{route: cal.route.GetName(), key: cal.key, method: cal.req.Method, target: cal.requestTarget}
}

// firstAttempt returns the arrival time of the request's first attempt; requested is the timeout that the
// caller states now, 0 if none.
func (cal *call) firstAttempt(requested time.Duration) time.Time {
	now := time.Now()
	if requested == 0 {
		return now
	}
	deadline := now.Add(requested)
	cal.refusable = cal.han.refusedCalls.find(cal.requestKey(), deadline, now)
	if deadline.Sub(cal.refusable.deadline).Abs() > earlyTolerance {
		cal.refusable.repeatAt = time.Time{}
	}
	cal.refusable.deadline = deadline
	return cal.refusable.firstAttempt
}

// rememberRefused remembers a refused call, so that a retry is recognised.
func (cal *call) rememberRefused(ref *siskinrill.Refusal) {
	if cal.refusable.deadline.IsZero() {
		return
	}
	cal.refusable.repeatAt = time.Time{}
	if ref.NotRun() && refusedForLoad(ref.Reason()) {
		cal.refusable.repeatAt = time.Now().Add(min(ref.RetryAfter(), maxEarlyRefusal))
	}
	cal.han.refusedCalls.add(cal.requestKey(), cal.refusable)
}

// refuseEarlyRepeat refuses a repeat that arrives before the time that the owner stated. The owner would still have no room
// for it, or would serve it in place of a request whose caller waits as told, and its bytes would cross a link in vain.
func (cal *call) refuseEarlyRepeat() *siskinrill.Refusal {
	early := time.Until(cal.refusable.repeatAt)
	if early <= 0 {
		return nil
	}
	cal.han.counters.Event("early_repeat")
	cal.han.refusedCalls.add(cal.requestKey(), cal.refusable)
	return siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(early)
}
