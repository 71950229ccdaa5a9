package control

import (
	"sync"
	"time"
)

// instant is one moment by the monotonic and by the wall clock, because the monotonic clock of a suspended machine may stop.
type instant struct {
	mono time.Time
	wall time.Time
}

func instantNow() instant {
	now := time.Now()
	return instant{mono: now, wall: now.Round(0)}
}

// since returns the longer of the times elapsed by the two clocks.
func (ins instant) since(now instant) time.Duration {
	return max(now.mono.Sub(ins.mono), now.wall.Sub(ins.wall))
}

// lease is the state of the session's lease; its methods may be called from any goroutine.
type lease struct {
	mu      sync.RWMutex
	session uint64
	ttl     time.Duration
	sent    instant // when the newest granted renewal was sent
	granted bool
	heard   instant // when a leader was last heard
	known   bool
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
func (lea *lease) grant(ses uint64, sent instant, ttl time.Duration) {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	if ses == 0 || lea.session != ses {
		return
	}
	lea.sent = sent
	lea.ttl = ttl
	lea.granted = true
}

// hear records a message of a leader.
func (lea *lease) hear() {
	now := instantNow()
	lea.mu.Lock()
	defer lea.mu.Unlock()
	lea.heard = now
	lea.known = true
}

func (lea *lease) number() uint64 {
	lea.mu.RLock()
	defer lea.mu.RUnlock()
	return lea.session
}

// expires returns the end by the clock that reaches it first, and whether it lies ahead.
func (lea *lease) expires() (time.Time, bool) {
	now := instantNow()
	lea.mu.RLock()
	defer lea.mu.RUnlock()
	if !lea.granted {
		return time.Time{}, false
	}
	rest := lea.ttl - lea.sent.since(now)
	return now.mono.Add(rest), rest > 0
}

func (lea *lease) fresh(limit time.Duration) bool {
	now := instantNow()
	lea.mu.RLock()
	defer lea.mu.RUnlock()
	return lea.known && lea.heard.since(now) <= limit
}
