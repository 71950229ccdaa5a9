package control

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/boottime"
)

// lease is the state of the session's lease; it is safe for concurrent use.
type lease struct {
	mu          sync.RWMutex
	session     uint64
	ttl         time.Duration
	sent        boottime.Instant // when the newest granted renewal was sent
	granted     bool
	lastContact boottime.Instant // when a leader's last message arrived
	contacted   bool
}

// begin sets the session; the lease of a previous session ends.
func (lea *lease) begin(ses uint64) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if lea.session != ses {
		lea.granted = false
	}
	lea.session = ses
}

// end drops the session and its lease.
func (lea *lease) end() { lea.begin(0) }

// grant extends the lease of a session from the time at which the granted renewal was sent; other sessions are
// ignored.
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

// recordContact records the receipt of a leader's message.
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

// expires returns the end of the lease by whichever clock reaches it first, and whether it is in the future.
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
