package assign

import (
	"math"
	"time"
)

const (
	// smoothingTime is the time constant of an upstream's smoothed service time.
	smoothingTime = 3 * time.Second
	// minRequestRate is the requests per second below which a report is ignored, because it says too little
	// about an upstream's speed.
	minRequestRate = 2.0
	// minSpeed and maxSpeed bound the speed of an upstream in multiples of the mean, so that a few unusual
	// requests do not distort it.
	minSpeed = 0.3
	maxSpeed = 3.0
)

// serviceTime is the smoothed time that an upstream takes per request, in seconds.
type serviceTime struct {
	value float64
	at    time.Duration
}

func (pac *serviceTime) update(val float64, now time.Duration) {
	if pac.value == 0 {
		pac.value = val
	} else {
		pac.value += (val - pac.value) * (1 - math.Exp(-float64(now-pac.at)/float64(smoothingTime)))
	}
	pac.at = now
}

// loadsComparable reports whether all eligible upstreams that own rows have reported their loads for at least
// Limits.Window. With Limits.BySpeed no rows are moved before, because a new leader knows no speeds.
func (wrk *workspace) loadsComparable() bool {
	if !wrk.limits.BySpeed {
		return true
	}
	known := true
	for pos := range wrk.svc.Upstreams {
		src := &wrk.svc.Upstreams[pos]
		since, ok := wrk.mem.reportingSince[src.Session]
		switch {
		case src.ReportAge > wrk.limits.StaleAfter:
			delete(wrk.mem.reportingSince, src.Session)
			ok = false
		case !ok:
			wrk.mem.reportingSince[src.Session] = wrk.now
		}
		if wrk.ups[pos].eligible && wrk.ups[pos].count > 0 && (!ok || wrk.now-since < wrk.limits.Window) {
			known = false
		}
	}
	return known
}

// speeds returns the speed of each upstream in multiples of their mean; an unknown speed counts as the mean.
func (wrk *workspace) speeds() []float64 {
	out := make([]float64, len(wrk.svc.Upstreams))
	for pos := range out {
		out[pos] = 1
	}
	if !wrk.limits.BySpeed {
		return out
	}
	wrk.updateServiceTimes()
	sum, num := 0.0, 0
	for pos := range wrk.svc.Upstreams {
		if pac := wrk.mem.serviceTimes[wrk.svc.Upstreams[pos].Session]; pac != nil {
			sum += 1 / pac.value
			num++
		}
	}
	for pos := range wrk.svc.Upstreams {
		if pac := wrk.mem.serviceTimes[wrk.svc.Upstreams[pos].Session]; pac != nil {
			out[pos] = min(max(1/pac.value/(sum/float64(num)), minSpeed), maxSpeed)
		}
	}
	return out
}

// updateServiceTimes records the newest reports and removes upstreams that are gone.
func (wrk *workspace) updateServiceTimes() {
	live := map[uint64]bool{}
	for pos := range wrk.svc.Upstreams {
		src := &wrk.svc.Upstreams[pos]
		live[src.Session] = true
		if src.Requests < minRequestRate || src.Busy <= 0 || src.ReportAge > wrk.limits.StaleAfter {
			continue
		}
		pac := wrk.mem.serviceTimes[src.Session]
		if pac == nil {
			pac = &serviceTime{}
			wrk.mem.serviceTimes[src.Session] = pac
		}
		pac.update(src.Busy/src.Requests, wrk.now)
	}
	for ses := range wrk.mem.serviceTimes {
		if !live[ses] {
			delete(wrk.mem.serviceTimes, ses)
			delete(wrk.mem.reportingSince, ses)
			delete(wrk.mem.nextRenewal, ses)
		}
	}
}
