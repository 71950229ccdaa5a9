package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, including suspensions, or 0 if the host has no such clock. It is needed
// to end leases in time: the runtime's monotonic clock stops while the host is suspended, and the wall clock may be set.
func Now() time.Duration {
	var tsp unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &tsp); err != nil {
		// Linux has this clock since 2.6.39; without it suspensions are not detected.
		return 0
	}
	return time.Duration(tsp.Nano())
}

// Instant is a point in time, measured by both the runtime's monotonic clock and the time since boot.
type Instant struct {
	mono time.Time
	boot time.Duration
}

// NewInstant returns the instant with the given readings of the two clocks.
func NewInstant(mono time.Time, boot time.Duration) Instant { return Instant{mono: mono, boot: boot} }

// Mark returns the current instant.
func Mark() Instant { return Instant{mono: time.Now(), boot: Now()} }

// Mono returns the reading of the runtime's monotonic clock.
func (ins Instant) Mono() time.Time { return ins.mono }

// Add returns the instant that is a duration later.
func (ins Instant) Add(dur time.Duration) Instant {
	return Instant{mono: ins.mono.Add(dur), boot: ins.boot + dur}
}

// Since returns the time that has passed since an earlier instant, by the clock that shows the longer time.
func (ins Instant) Since(earlier Instant) time.Duration {
	return max(ins.mono.Sub(earlier.mono), ins.boot-earlier.boot)
}
