package owner

import (
	"math"
	"time"
)

// Parameters of the gradient concurrency limit.
const (
	// startShare is the share of the slots at the start of the ramp, and the minimum to which latency alone lowers
	// the limit.
	startShare = 0.25
	// windowTime and windowSamples are the minimum length and number of samples of a latency window.
	windowTime    = 100 * time.Millisecond
	windowSamples = 10
	// tolerance is the ratio of a window's latency to the long-term latency above which the limit falls; routes of
	// one service differ in cost.
	tolerance = 2.0
	// minGradient bounds how far the limit falls in one window.
	minGradient = 0.5
	// smoothing is the weight of a window's result in the limit.
	smoothing = 0.2
	// riseWeight and fallWeight are the weights of a window in the long-term latency. It follows a fall faster,
	// since the lower value shows what the server can do. At a rise weight of 0.01, a server that had become 20
	// times slower was held at the minimum for over 15 s, although it could serve all requests.
	riseWeight = 0.03
	fallWeight = 0.2
	// shedFactor multiplies the limit each time the backend server sheds a request.
	shedFactor = 0.9
)

// limiter is the concurrency limit; the owner's mutex guards it.
type limiter struct {
	slots       int
	limit       float64
	ramp        time.Duration
	rampStart   time.Time
	longTerm    float64 // long-term latency in seconds
	sum         float64 // sum of the latencies of this window in seconds
	samples     int
	peak        int // highest number of running requests in this window
	windowStart time.Time
}

// setSlots sets the number of slots; the ramp starts when the backend server becomes usable.
func (lim *limiter) setSlots(slots int) {
	if slots == lim.slots {
		return
	}
	if lim.slots == 0 {
		lim.rampStart = time.Now()
		lim.windowStart = lim.rampStart
		lim.longTerm = 0
		lim.limit = float64(slots)
	}
	lim.slots = slots
	lim.limit = min(lim.limit, float64(slots))
	if slots > 0 {
		lim.limit = max(lim.limit, lim.floor())
	}
}

// setWarmup ends the ramp with the warm-up time that the backend server reports, so that a warm server is not
// limited because its agent has restarted.
func (lim *limiter) setWarmup(remaining time.Duration) {
	lim.ramp = 0
	if remaining > 0 {
		lim.ramp = time.Since(lim.rampStart) + remaining
	}
}

func (lim *limiter) floor() float64 { return max(1, math.Ceil(startShare*float64(lim.slots))) }

// ceiling returns the maximum that the ramp allows now.
func (lim *limiter) ceiling() float64 {
	if lim.slots == 0 {
		return 0
	}
	share := 1.0
	if ago := time.Since(lim.rampStart); ago < lim.ramp {
		share = startShare + (1-startShare)*float64(ago)/float64(lim.ramp)
	}
	return max(1, math.Ceil(share*float64(lim.slots)))
}

// current returns how many requests may run at the same time now.
func (lim *limiter) current() int { return int(min(lim.limit, lim.ceiling())) }

// latency returns the long-term latency.
func (lim *limiter) latency() time.Duration {
	return time.Duration(lim.longTerm * float64(time.Second))
}

// observe adds a latency sample, with the number of requests that ran at that time.
func (lim *limiter) observe(lat time.Duration, running int) {
	lim.sum += lat.Seconds()
	lim.samples++
	lim.peak = max(lim.peak, running)
	if lim.samples >= windowSamples && time.Since(lim.windowStart) >= windowTime {
		lim.closeWindow()
	}
}

func (lim *limiter) closeWindow() {
	short := max(lim.sum/float64(lim.samples), 1e-6)
	busy := float64(lim.peak) >= lim.limit/2
	lim.sum, lim.samples, lim.peak = 0, 0, 0
	lim.windowStart = time.Now()
	lim.updateLongTerm(short)
	gradient := min(1, max(minGradient, tolerance*lim.longTerm/short))
	next := lim.limit * gradient
	if busy && gradient == 1 {
		next += math.Sqrt(lim.limit)
	}
	lim.limit += smoothing * (next - lim.limit)
	lim.limit = min(max(lim.limit, lim.floor()), float64(lim.slots))
}

func (lim *limiter) updateLongTerm(short float64) {
	weight := riseWeight
	if short < lim.longTerm {
		weight = fallWeight
	}
	if lim.longTerm == 0 {
		weight = 1
	}
	lim.longTerm += weight * (short - lim.longTerm)
}

// shed lowers the limit after the backend server refused a request because of overload.
func (lim *limiter) shed() { lim.limit = max(1, lim.limit*shedFactor) }
