package egress

import (
	"context"
	"sync"
	"time"
)

const (
	// MinPaced is the length in bytes from which data is paced.
	MinPaced = 8 << 10
	// share is the part of the link that paced data may take. The rest is for everything else that leaves the host.
	share = 0.75
	// maxBurst is how many bytes may be sent at once after a pause.
	maxBurst    = 32 << 10
	bitsPerByte = 8
)

// Pacer limits the rate at which long data leaves a host, over all connections together; it is safe for concurrent use. The
// nil value does not limit it.
type Pacer struct {
	rate float64 // bytes a second

	mu   sync.Mutex
	free time.Time // when all data so far has been sent at that rate
}

// NewPacer returns a pacer for a link with a speed in Mbit/s, nil for 0.
func NewPacer(mbps float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	return &Pacer{rate: share * mbps * 1e6 / bitsPerByte}
}

// Wait waits until num bytes may be sent; it returns the context's error if that ends first. Shorter data than MinPaced does
// not wait. Senders take turns with each call, so that long data should be sent in several parts.
func (pac *Pacer) Wait(ctx context.Context, num int) error {
	if pac == nil || num < MinPaced {
		return nil
	}
	wait := pac.reserve(num, time.Now())
	if wait <= 0 {
		return nil
	}
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		pac.cancel(num)
		return ctx.Err()
	}
}

// reserve returns after how long num bytes may be sent.
func (pac *Pacer) reserve(num int, now time.Time) time.Duration {
	pac.mu.Lock()
	defer pac.mu.Unlock()
	if earliest := now.Add(-pac.duration(maxBurst)); pac.free.Before(earliest) {
		pac.free = earliest
	}
	wait := pac.free.Sub(now)
	pac.free = pac.free.Add(pac.duration(num))
	return wait
}

// cancel returns what was reserved for data that is not sent.
func (pac *Pacer) cancel(num int) {
	pac.mu.Lock()
	defer pac.mu.Unlock()
	pac.free = pac.free.Add(-pac.duration(num))
}

func (pac *Pacer) duration(num int) time.Duration {
	return time.Duration(float64(num) / pac.rate * float64(time.Second))
}
