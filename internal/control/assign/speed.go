package assign

import (
	"math"
	"time"
)

const (
	// paceTime is the time constant of an upstream's measured time for a request.
	paceTime = 3 * time.Second
	// paceRequests is the rate of requests under which a report says too little about an upstream's speed.
	paceRequests = 2.0
	// leastSpeed and mostSpeed bound the speed of an upstream in multiples of the mean, against reports of a few odd requests.
	leastSpeed = 0.3
	mostSpeed  = 3.0
)

// pace is the smoothed time that an upstream takes for a request, in seconds.
type pace struct {
	value float64
	at    time.Duration
}

func (pac *pace) update(val float64, now time.Duration) {
	if pac.value == 0 {
		pac.value = val
	} else {
		pac.value += (val - pac.value) * (1 - math.Exp(-float64(now-pac.at)/float64(paceTime)))
	}
	pac.at = now
}

// knowsLoads reports whether the upstreams that own rows have reported their loads for long enough to compare them; with Limits.BySpeed rows move only then, because a new leader knows no speeds.
func (wrk *work) knowsLoads() bool {
	if !wrk.limits.BySpeed {
		return true
	}
	known := true
	for pos := range wrk.svc.Upstreams {
		src := &wrk.svc.Upstreams[pos]
		since, ok := wrk.mem.heard[src.Session]
		switch {
		case src.ReportAge > wrk.limits.StaleAfter:
			delete(wrk.mem.heard, src.Session)
			ok = false
		case !ok:
			wrk.mem.heard[src.Session] = wrk.now
		}
		if wrk.ups[pos].eligible && wrk.ups[pos].count > 0 && (!ok || wrk.now-since < wrk.limits.Window) {
			known = false
		}
	}
	return known
}

// speeds returns how fast each upstream works in multiples of their mean; one that is not known counts as the mean.
func (wrk *work) speeds() []float64 {
	out := make([]float64, len(wrk.svc.Upstreams))
	for pos := range out {
		out[pos] = 1
	}
	if !wrk.limits.BySpeed {
		return out
	}
	wrk.notePaces()
	sum, num := 0.0, 0
	for pos := range wrk.svc.Upstreams {
		if pac := wrk.mem.pace[wrk.svc.Upstreams[pos].Session]; pac != nil {
			sum += 1 / pac.value
			num++
		}
	}
	for pos := range wrk.svc.Upstreams {
		if pac := wrk.mem.pace[wrk.svc.Upstreams[pos].Session]; pac != nil {
			out[pos] = min(max(1/pac.value/(sum/float64(num)), leastSpeed), mostSpeed)
		}
	}
	return out
}

// notePaces takes in the newest reports and forgets upstreams that are gone.
func (wrk *work) notePaces() {
	live := map[uint64]bool{}
	for pos := range wrk.svc.Upstreams {
		src := &wrk.svc.Upstreams[pos]
		live[src.Session] = true
		if src.Requests < paceRequests || src.Busy <= 0 || src.ReportAge > wrk.limits.StaleAfter {
			continue
		}
		pac := wrk.mem.pace[src.Session]
		if pac == nil {
			pac = &pace{}
			wrk.mem.pace[src.Session] = pac
		}
		pac.update(src.Busy/src.Requests, wrk.now)
	}
	for ses := range wrk.mem.pace {
		if !live[ses] {
			delete(wrk.mem.pace, ses)
			delete(wrk.mem.heard, ses)
			delete(wrk.mem.renewed, ses)
		}
	}
}
