package owner

import "time"

const (
	// paceWindow is the least time over which the speed of the bodies is measured.
	paceWindow = 200 * time.Millisecond
	// paceWeight is the weight of one such time in the moving mean.
	paceWeight = 0.3
)

// pace is how fast bodies come while others wait for them, and how many bytes arriving requests ask for; the owner's mutex guards it.
type pace struct {
	rate  float64   // bytes a second, 0: not known
	since time.Time // start of the current window, zero while no body waits
	bytes int       // in the window
	asked arrival   // bytes of the requests that were accepted as timely
}

// note counts bytes that have come. While no body waits, the callers and not the link set the pace.
func (pac *pace) note(num int, waiting bool, now time.Time) {
	switch {
	case !waiting:
		pac.since = time.Time{}
		return
	case pac.since.IsZero():
		pac.since, pac.bytes = now, 0
		return
	}
	pac.bytes += num
	dur := now.Sub(pac.since)
	if dur < paceWindow {
		return
	}
	rate := float64(pac.bytes) / dur.Seconds()
	if pac.rate > 0 {
		rate = pac.rate + paceWeight*(rate-pac.rate)
	}
	pac.rate = rate
	pac.since, pac.bytes = now, 0
}

// accept counts the body of a request that is to be answered within its aim.
func (pac *pace) accept(num int64, now time.Time) {
	pac.asked.decay(now)
	pac.asked.work += float64(num)
}

// spare returns the share of the pace that such requests leave to others.
func (pac *pace) spare(now time.Time) float64 {
	pac.asked.decay(now)
	return max(1-pac.asked.work/loadWindow.Seconds()/pac.rate, leastSpare)
}

// take returns how long a number of bytes takes; the rate is known.
func (pac *pace) take(num int64) time.Duration {
	return time.Duration(float64(num) / pac.rate * float64(time.Second))
}

// transfer is the forecast of a body's arrival.
type transfer struct {
	inTurn time.Duration // in the order of the queue
	last   time.Duration // behind all bodies of requests that can meet their aims
}

// forecast returns when the body of an arriving ticket would be here, zero while no body waits.
func (inf *inflow) forecast(tck *ticket, now time.Time) transfer {
	num := tck.bodyBytes()
	if num == 0 || inf.queue.Len() == 0 || inf.pace.rate == 0 {
		return transfer{}
	}
	tck.transfer = inf.pace.take(num)
	ahead, all := inf.pending+num, inf.pending+num
	for _, oth := range inf.queue {
		all += oth.bodyBytes()
		if oth.before(tck) {
			ahead += oth.bodyBytes()
		}
	}
	last := float64(inf.pace.take(all)) / inf.pace.spare(now)
	return transfer{inTurn: inf.pace.take(ahead), last: time.Duration(last)}
}

// bodyBytes returns how much of a body is to be received before the request gets its slot.
func (tck *ticket) bodyBytes() int64 {
	if !tck.comes() {
		return 0
	}
	if left := tck.bdy.remaining(); left >= 0 {
		return min(left, receivedBody)
	}
	return streamBytes
}
