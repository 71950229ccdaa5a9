package backend

import (
	"sync"
	"time"
)

// latencyWeight is the weight of a sample in the moving average of the latency.
const latencyWeight = 0.05

// Stats are the agent's own statistics about the backend server's requests.
type Stats struct {
	answered    uint64
	failed      uint64
	running     int
	consecutive int
	latency     time.Duration
}

// Answered returns the number of answers whose head was received.
func (fig Stats) Answered() uint64 { return fig.answered }

// Failed returns the number of requests without a complete answer, and of failed connection attempts.
func (fig Stats) Failed() uint64 { return fig.failed }

// Running returns the number of requests in flight.
func (fig Stats) Running() int { return fig.running }

// ConsecutiveFailures returns how many requests have failed since the last answer.
func (fig Stats) ConsecutiveFailures() int { return fig.consecutive }

// Latency returns the moving average of the time from the first written byte to the head of the answer.
func (fig Stats) Latency() time.Duration { return fig.latency }

// meter collects the statistics.
type meter struct {
	mu           sync.Mutex
	stats        Stats
	lastProgress time.Time // last answer, or the start of the first request after an idle period
	firstFailure time.Time // first failure since the last answer
}

func (mtr *meter) begin() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	if mtr.stats.running == 0 {
		mtr.lastProgress = time.Now()
	}
	mtr.stats.running++
}

func (mtr *meter) end() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.stats.running--
}

func (mtr *meter) answer(lat time.Duration) {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.lastProgress = time.Now()
	mtr.stats.answered++
	mtr.stats.consecutive = 0
	if mtr.stats.latency == 0 {
		mtr.stats.latency = lat
	}
	mtr.stats.latency += time.Duration(latencyWeight * float64(lat-mtr.stats.latency))
}

func (mtr *meter) fail() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	if mtr.stats.consecutive == 0 {
		mtr.firstFailure = time.Now()
	}
	mtr.stats.failed++
	mtr.stats.consecutive++
}

// unresponsive reports whether requests are in flight and none was answered for unresponsiveTime.
func (mtr *meter) unresponsive() bool {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	return mtr.stats.running > 0 && time.Since(mtr.lastProgress) >= unresponsiveTime
}

// failing reports whether enough consecutive requests failed to prove a failure, regardless of the health
// endpoint.
func (mtr *meter) failing() bool {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	return mtr.stats.consecutive >= maxFailures && time.Since(mtr.firstFailure) >= unresponsiveTime
}

// reset clears the failures from before the server recovered.
func (mtr *meter) reset() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.stats.consecutive = 0
	mtr.lastProgress = time.Now()
}

func (mtr *meter) snapshot() Stats {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	return mtr.stats
}
