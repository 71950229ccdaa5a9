package owner

import "time"

const (
	// rateWindow is the minimum time over which the transfer rate is measured.
	rateWindow = 200 * time.Millisecond
	// rateWeight is the weight of one window in the moving average.
	rateWeight = 0.3
)

// transferRate measures how fast bodies arrive while others wait for their transfer, and how many body bytes
// admitted requests add; the owner's mutex guards it.
type transferRate struct {
	bytesPerSecond float64   // 0: not known
	since          time.Time // start of the current window, zero while no body waits
	bytes          int       // bytes received in the window
	accepted       arrival   // body bytes of requests that were admitted within their aims
}

// observe counts received bytes. While no body waits for its transfer, the callers and not the link limit the rate,
// so nothing is measured.
func (trt *transferRate) observe(num int, waiting bool, now time.Time) {
	switch {
	case !waiting:
		trt.since = time.Time{}
		return
	case trt.since.IsZero():
		trt.since, trt.bytes = now, 0
		return
	}
	trt.bytes += num
	dur := now.Sub(trt.since)
	if dur < rateWindow {
		return
	}
	rate := float64(trt.bytes) / dur.Seconds()
	if trt.bytesPerSecond > 0 {
		rate = trt.bytesPerSecond + rateWeight*(rate-trt.bytesPerSecond)
	}
	trt.bytesPerSecond = rate
	trt.since, trt.bytes = now, 0
}

// accept counts the body of a request that was admitted within its aim.
func (trt *transferRate) accept(num int64, now time.Time) {
	trt.accepted.decay(now)
	trt.accepted.work += float64(num)
}

// remainingShare returns the share of the rate that such requests leave to others.
func (trt *transferRate) remainingShare(now time.Time) float64 {
	trt.accepted.decay(now)
	return max(1-trt.accepted.work/loadWindow.Seconds()/trt.bytesPerSecond, minRemainingShare)
}

// duration returns how long the transfer of num bytes takes; the rate must be known.
func (trt *transferRate) duration(num int64) time.Duration {
	return time.Duration(float64(num) / trt.bytesPerSecond * float64(time.Second))
}

// startForecast is the expected time until a request has what it needs besides a slot: its body, or a start within the
// rate limit.
type startForecast struct {
	inTurn   time.Duration // in queue order
	afterAll time.Duration // after all requests that can meet their aims
}

// later returns the later of two forecasts.
func (sfc startForecast) later(oth startForecast) startForecast {
	return startForecast{inTurn: max(sfc.inTurn, oth.inTurn), afterAll: max(sfc.afterAll, oth.afterAll)}
}

// forecast returns when the body of an arriving ticket is expected to be received, zero while no body waits.
func (btr *bodyTransfers) forecast(tck *ticket, now time.Time) startForecast {
	num := tck.bodyBytes()
	if num == 0 || btr.queue.Len() == 0 || btr.rate.bytesPerSecond == 0 {
		return startForecast{}
	}
	tck.bodyTime = btr.rate.duration(num)
	ahead, all := btr.pending+num, btr.pending+num
	for _, oth := range btr.queue {
		all += oth.bodyBytes()
		if oth.before(tck) {
			ahead += oth.bodyBytes()
		}
	}
	last := float64(btr.rate.duration(all)) / btr.rate.remainingShare(now)
	return startForecast{inTurn: btr.rate.duration(ahead), afterAll: time.Duration(last)}
}

// bodyBytes returns how much of a body is received before the request gets its slot.
func (tck *ticket) bodyBytes() int64 {
	if !tck.bodyIncomplete() {
		return 0
	}
	if remaining := tck.bdy.remaining(); remaining >= 0 {
		return min(remaining, maxPrefetchBytes)
	}
	return maxStreamBytes
}
