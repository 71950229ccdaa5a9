package siskinrill

import (
	"sync"
	"time"
)

// longestWindow is how long the longest times are kept at least; they are forgotten after twice that.
const longestWindow = time.Minute

// LongestTimes keeps the longest recent time of each name; it is safe for concurrent use, and its zero value is empty.
type LongestTimes struct {
	mu      sync.Mutex
	begun   time.Time // of recent
	recent  map[string]time.Duration
	earlier map[string]time.Duration
}

// Observe records a time.
func (lgt *LongestTimes) Observe(name string, took time.Duration) {
	lgt.mu.Lock()
	defer lgt.mu.Unlock()
	if now := time.Now(); lgt.recent == nil || now.Sub(lgt.begun) >= longestWindow {
		lgt.earlier, lgt.recent, lgt.begun = lgt.recent, map[string]time.Duration{}, now
	}
	lgt.recent[name] = max(lgt.recent[name], took)
}

// Longest returns the longest recent time of a name, 0 if none is known.
func (lgt *LongestTimes) Longest(name string) time.Duration {
	lgt.mu.Lock()
	defer lgt.mu.Unlock()
	return max(lgt.recent[name], lgt.earlier[name])
}
