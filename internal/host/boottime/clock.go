package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, suspensions included. The runtime's monotonic clock stands still while a host is suspended, and its wall clock may be set, so that neither alone can end a lease in time.
func Now() time.Duration {
	var tsp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &tsp); err != nil {
		// Linux has this clock since 2.6.39; without it suspensions are not noticed.
		return 0
	}
	return time.Duration(tsp.Nano())
}

// Instant is one moment by the runtime's monotonic clock and by the host's boot time.
type Instant struct {
	mono time.Time
	boot time.Duration
}

// NewInstant returns a moment from its two readings.
func NewInstant(mono time.Time, boot time.Duration) Instant { return Instant{mono: mono, boot: boot} }

// Mark returns the present moment.
func Mark() Instant { return Instant{mono: time.Now(), boot: Now()} }

// Mono returns the moment by the runtime's monotonic clock.
func (ins Instant) Mono() time.Time { return ins.mono }

// Since returns the longer of the times that have passed by the two clocks since an earlier moment.
func (ins Instant) Since(earlier Instant) time.Duration {
	return max(ins.mono.Sub(earlier.mono), ins.boot-earlier.boot)
}
