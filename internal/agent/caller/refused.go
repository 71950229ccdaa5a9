package caller

import (
	"sync"
	"time"
)

const (
	// sameDeadline is how far the deadlines of two attempts of one request may seem apart, by delays on their way.
	sameDeadline = 50 * time.Millisecond
	// maxRefused bounds the refused requests that are remembered.
	maxRefused = 8192
)

// firstKey names requests that may be attempts of the same one.
type firstKey struct {
	route  string
	key    string
	method string
	target string
}

// firstCall is a request that was refused.
type firstCall struct {
	deadline time.Time // of the caller
	began    time.Time // of its first attempt here
}

// firsts remember refused requests until their callers' deadlines. A caller that comes back gives what is left of its time, so that its deadline is the same; the time that it gives alone tells nothing, since callers differ in it.
type firsts struct {
	mu    sync.Mutex
	calls map[firstKey][]firstCall
	count int
}

// refused remembers a request that its caller may send again.
func (fir *firsts) refused(key firstKey, cll firstCall) {
	fir.mu.Lock()
	defer fir.mu.Unlock()
	if fir.count >= maxRefused {
		fir.sweep(time.Now())
	}
	if fir.count >= maxRefused {
		return
	}
	fir.calls[key] = append(fir.calls[key], cll)
	fir.count++
}

// sweep forgets the requests whose deadlines have passed.
func (fir *firsts) sweep(now time.Time) {
	fir.count = 0
	for key, all := range fir.calls {
		var left []firstCall
		for _, cll := range all {
			if now.Before(cll.deadline) {
				left = append(left, cll)
			}
		}
		if left == nil {
			delete(fir.calls, key)
			continue
		}
		fir.calls[key] = left
		fir.count += len(left)
	}
}

// began returns when the first attempt of an arriving request came, which is now for a new one; one that was remembered is forgotten.
func (fir *firsts) began(key firstKey, deadline, now time.Time) time.Time {
	fir.mu.Lock()
	defer fir.mu.Unlock()
	best, least := -1, sameDeadline
	for pos, cll := range fir.calls[key] {
		if gap := deadline.Sub(cll.deadline).Abs(); gap <= least {
			best, least = pos, gap
		}
	}
	if best < 0 {
		return now
	}
	return fir.take(key, best).began
}

// take removes a remembered request and returns it.
func (fir *firsts) take(key firstKey, pos int) firstCall {
	all := fir.calls[key]
	cll := all[pos]
	all[pos] = all[len(all)-1]
	fir.calls[key] = all[:len(all)-1]
	if len(fir.calls[key]) == 0 {
		delete(fir.calls, key)
	}
	fir.count--
	return cll
}

// firstKey returns what the attempts of one request have in common.
func (cal *call) firstKey() firstKey {
	return firstKey{route: cal.route.GetName(), key: cal.key, method: cal.req.Method, target: cal.req.URL.RequestURI()}
}

// first returns when the first attempt of the request came; told is the time that its caller gives it now, 0 if none.
func (cal *call) first(told time.Duration) time.Time {
	now := time.Now()
	if told == 0 {
		return now
	}
	cal.origin.deadline = now.Add(told)
	cal.origin.began = cal.han.firsts.began(cal.firstKey(), cal.origin.deadline, now)
	return cal.origin.began
}

// comesBack remembers a refused call, so that a further attempt is known as such.
func (cal *call) comesBack() {
	if !cal.origin.deadline.IsZero() {
		cal.han.firsts.refused(cal.firstKey(), cal.origin)
	}
}
