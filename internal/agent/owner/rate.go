package owner

import "time"

const (
	// rateWindow is the least time over which the speed of the bodies is measured.
	rateWindow = 200 * time.Millisecond
	// rateWeight is the weight of one such time in the moving mean.
	rateWeight = 0.3
)

// transferRate is how fast bodies come while others wait for them, and how many bytes arriving requests ask for; the owner's mutex guards it.
type transferRate struct {
	bytesPerSecond float64   // bytes a second, 0: not known
	since          time.Time // start of the current window, zero while no body waits
	bytes          int       // in the window
	accepted       arrival   // bytes of the requests that were accepted as timely
}

// observe counts bytes that have come. While no body waits, the callers and not the link set the pace.
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

// accept counts the body of a request that is to be answered within its aim.
func (trt *transferRate) accept(num int64, now time.Time) {
	trt.accepted.decay(now)
	trt.accepted.work += float64(num)
}

// spareShare returns the share of the pace that such requests leave to others.
func (trt *transferRate) spareShare(now time.Time) float64 {
	trt.accepted.decay(now)
	return max(1-trt.accepted.work/loadWindow.Seconds()/trt.bytesPerSecond, minSpareShare)
}

// duration returns how long a number of bytes takes; the rate is known.
func (trt *transferRate) duration(num int64) time.Duration {
	return time.Duration(float64(num) / trt.bytesPerSecond * float64(time.Second))
}

// bodyForecast is the forecast of a body's arrival.
type bodyForecast struct {
	inTurn   time.Duration // in the order of the queue
	afterAll time.Duration // behind all bodies of requests that can meet their aims
}

// forecast returns when the body of an arriving ticket would be here, zero while no body waits.
func (btr *bodyTransfers) forecast(tck *ticket, now time.Time) bodyForecast {
	num := tck.bodyBytes()
	if num == 0 || btr.queue.Len() == 0 || btr.rate.bytesPerSecond == 0 {
		return bodyForecast{}
	}
	tck.bodyTime = btr.rate.duration(num)
	ahead, all := btr.pending+num, btr.pending+num
	for _, oth := range btr.queue {
		all += oth.bodyBytes()
		if oth.before(tck) {
			ahead += oth.bodyBytes()
		}
	}
	last := float64(btr.rate.duration(all)) / btr.rate.spareShare(now)
	return bodyForecast{inTurn: btr.rate.duration(ahead), afterAll: time.Duration(last)}
}

// bodyBytes returns how much of a body is to be received before the request gets its slot.
func (tck *ticket) bodyBytes() int64 {
	if !tck.bodyIncomplete() {
		return 0
	}
	if remaining := tck.bdy.remaining(); remaining >= 0 {
		return min(remaining, maxPrefetchBytes)
	}
	return maxStreamBytes
}
