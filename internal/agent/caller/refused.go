package caller

import (
	"sync"
	"time"
)

const (
	// deadlineTolerance is the maximum difference between the calculated deadlines of two attempts of one
	// request; network delays cause it.
	deadlineTolerance = 50 * time.Millisecond
	// maxRefusedCalls limits the number of remembered refused requests.
	maxRefusedCalls = 8192
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

// firstAttempt returns the arrival time of a request's first attempt, now if it is not a retry, and removes the
// remembered request.
func (rcs *refusedCalls) firstAttempt(key requestKey, deadline, now time.Time) time.Time {
	rcs.mu.Lock()
	defer rcs.mu.Unlock()
	best, minGap := -1, deadlineTolerance
	for pos, cll := range rcs.calls[key] {
		if gap := deadline.Sub(cll.deadline).Abs(); gap <= minGap {
			best, minGap = pos, gap
		}
	}
	if best < 0 {
		return now
	}
	return rcs.take(key, best).firstAttempt
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
	return requestKey{route: cal.route.GetName(), key: cal.key, method: cal.req.Method, target: cal.req.URL.RequestURI()}
}

// firstAttempt returns the arrival time of the request's first attempt; requested is the timeout that the
// caller states now, 0 if none.
func (cal *call) firstAttempt(requested time.Duration) time.Time {
	now := time.Now()
	if requested == 0 {
		return now
	}
	cal.refusable.deadline = now.Add(requested)
	cal.refusable.firstAttempt = cal.han.refusedCalls.firstAttempt(cal.requestKey(), cal.refusable.deadline, now)
	return cal.refusable.firstAttempt
}

// rememberRefused remembers a refused call, so that a retry is recognised.
func (cal *call) rememberRefused() {
	if !cal.refusable.deadline.IsZero() {
		cal.han.refusedCalls.add(cal.requestKey(), cal.refusable)
	}
}
