package owner

import (
	"expvar"
	"time"
)

// Vars returns the gauges of the owner by the name under which the admin address shows them.
func (own *Owner) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"owner_running":             own.gauge(own.running),
		"owner_queued":              own.gauge(own.waiting),
		"owner_bodies_awaited":      own.gauge(own.bodies.waiting),
		"owner_body_bytes_pending":  own.gauge(func() int { return int(own.bodies.pending) }),
		"owner_limit":               own.gauge(func() int { return own.lim.current() }),
		"owner_start_wait_ms":       own.gauge(func() int { return int(own.startWait(time.Now()).Milliseconds()) }),
		"owner_slots":               own.gauge(func() int { return own.lim.slots }),
		"owner_latency_us":          own.gauge(func() int { return int(own.lim.latency().Microseconds()) }),
		"owner_attempt_records":     own.gauge(func() int { return len(own.records) }),
		"owner_past_attempts":       own.gauge(func() int { return len(own.past.newer) + len(own.past.older) }),
		"owner_idempotency_records": own.gauge(func() int { return len(own.claims) }),
		"owner_kept_bytes":          own.gauge(func() int { return own.keptBytes }),
		"owner_record_copies":       expvar.Func(func() any { num, _ := own.cps.size(); return num }),
		"owner_record_copy_bytes":   expvar.Func(func() any { _, num := own.cps.size(); return num }),
		"owner_moving":              own.gauge(func() int { return len(own.moves) }),
	}
}

// gauge returns a gauge that is read under the mutex.
func (own *Owner) gauge(read func() int) expvar.Var {
	return expvar.Func(func() any {
		own.mu.Lock()
		defer own.mu.Unlock()
		return read()
	})
}

// running returns the number of dispatched attempts; the caller holds the mutex.
func (own *Owner) running() int {
	num := 0
	for tck := range own.holders {
		if tck.isRunning() {
			num++
		}
	}
	return num
}
