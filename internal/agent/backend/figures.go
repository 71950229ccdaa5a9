package backend

import (
	"sync"
	"time"
)

// latencyWeight is the weight of one sample in the moving mean of the latency.
const latencyWeight = 0.05

// Figures are the agent's own counts of what the backend server did since its announcement.
type Figures struct {
	answered uint64
	failed   uint64
	running  int
	row      int
	latency  time.Duration
}

// Answered returns the number of answers.
func (fig Figures) Answered() uint64 { return fig.answered }

// Failed returns the number of requests that were written and ended without a whole answer.
func (fig Figures) Failed() uint64 { return fig.failed }

// Running returns the number of requests handed over and not ended.
func (fig Figures) Running() int { return fig.running }

// FailedInRow returns how many requests have failed since the last answer.
func (fig Figures) FailedInRow() int { return fig.row }

// Latency returns the moving mean from the first written byte to the head of the answer.
func (fig Figures) Latency() time.Duration { return fig.latency }

// meter keeps the figures.
type meter struct {
	mu       sync.Mutex
	fig      Figures
	quiet    time.Time // last answer, or the start of the oldest run since nothing ran
	failedAt time.Time // first failure since the last answer
}

func (mtr *meter) begin() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	if mtr.fig.running == 0 {
		mtr.quiet = time.Now()
	}
	mtr.fig.running++
}

func (mtr *meter) end() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.fig.running--
}

func (mtr *meter) answer(lat time.Duration) {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.quiet = time.Now()
	mtr.fig.answered++
	mtr.fig.row = 0
	if mtr.fig.latency == 0 {
		mtr.fig.latency = lat
	}
	mtr.fig.latency += time.Duration(latencyWeight * float64(lat-mtr.fig.latency))
}

func (mtr *meter) fail() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	if mtr.fig.row == 0 {
		mtr.failedAt = time.Now()
	}
	mtr.fig.failed++
	mtr.fig.row++
}

// silent reports whether requests run and none was answered for the time of silence.
func (mtr *meter) silent() bool {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	return mtr.fig.running > 0 && time.Since(mtr.quiet) >= silence
}

// failing reports whether the requests themselves show a failure, whatever the health endpoint says.
func (mtr *meter) failing() bool {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	return mtr.fig.row >= maxFailures && time.Since(mtr.failedAt) >= silence
}

// reset forgets failures of the time before the server came back.
func (mtr *meter) reset() {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.fig.row = 0
	mtr.quiet = time.Now()
}

func (mtr *meter) figures() Figures {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	return mtr.fig
}
