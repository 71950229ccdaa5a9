package control

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/boottime"
)

// lease is the state of the session's lease; its methods may be called from any goroutine.
type lease struct {
	mu          sync.RWMutex
	session     uint64
	ttl         time.Duration
	sent        boottime.Instant // when the newest granted renewal was sent
	granted     bool
	lastContact boottime.Instant // when a leader was last heard
	contacted   bool
}

// begin sets the session; the lease of another session ends.
func (lea *lease) begin(ses uint64) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if lea.session != ses {
		lea.granted = false
	}
	lea.session = ses
}

// end gives the session up.
func (lea *lease) end() { lea.begin(0) }

// grant extends the lease of a session by a renewal that was sent at an instant.
func (lea *lease) grant(ses uint64, sent boottime.Instant, ttl time.Duration) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if ses == 0 || lea.session != ses {
		return
	}
	lea.sent = sent
	lea.ttl = ttl
	lea.granted = true
}

// recordContact records a message of a leader.
func (lea *lease) recordContact() {
	now := boottime.Mark()
	lea.mu.Lock()
	defer lea.mu.Unlock()
	lea.lastContact = now
	lea.contacted = true
}

func (lea *lease) number() uint64 {
	lea.mu.RLock()
	defer lea.mu.RUnlock()
	return lea.session
}

// expires returns the end by the clock that reaches it first, and whether it lies ahead.
func (lea *lease) expires() (time.Time, bool) {
	now := boottime.Mark()
	lea.mu.RLock()
	defer lea.mu.RUnlock()
	if !lea.granted {
		return time.Time{}, false
	}
	remaining := lea.ttl - now.Since(lea.sent)
	return now.Mono().Add(remaining), remaining > 0
}

func (lea *lease) fresh(limit time.Duration) bool {
	now := boottime.Mark()
	lea.mu.RLock()
	defer lea.mu.RUnlock()
	return lea.contacted && now.Since(lea.lastContact) <= limit
}
