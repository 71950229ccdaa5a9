package caller

import (
	"sync"
	"time"
)

// firsts know the time that callers give their requests at first, by route. A caller that comes back after a refusal gives what is left of it, so that the difference is how long it has been waiting.
type firsts struct {
	mu   sync.Mutex
	full map[string]time.Duration
}

// elapsed returns how long a caller has been waiting that gives a request some time, 0 if it gives none.
func (fir *firsts) elapsed(route string, given time.Duration) time.Duration {
	if given == 0 {
		return 0
	}
	fir.mu.Lock()
	defer fir.mu.Unlock()
	if given >= fir.full[route] {
		fir.full[route] = given
		return 0
	}
	return fir.full[route] - given
}
