package owner

import (
	"time"

	"github.com/siskinrill/siskinrill"
)

const (
	// runWeight is the weight of one run in the moving mean of a route's run time.
	runWeight = 0.05
	// firstRun is the run time of a route of which no run has ended yet.
	firstRun = 50 * time.Millisecond
	// loadWindow is the time constant of the measured load.
	loadWindow = time.Second
	// leastSpare bounds the forecast of how slowly work without an aim gets on beside that with one.
	leastSpare = 0.05
	// lateShare is the part of its time left that a request may wait in the queue which cannot meet its aim.
	lateShare = 0.6
	// leastReturn is the shortest advised wait after a refusal for lack of room.
	leastReturn = 40 * time.Millisecond
)

// demand is what an arriving request asks of the owner.
type demand struct {
	run      time.Duration // expected
	aim      time.Duration // rest of the time within which the answer is worth most, 0: over or not known
	deadline time.Duration // rest of the time within which it is worth anything
}

// backlog is the work that goes before an arriving request, by the expected run times.
type backlog struct {
	slots   int
	running int
	rest    time.Duration // of the running requests, summed up
	timely  time.Duration // of waiting requests that can meet their aims and have no later ones than the arriving request
	all     time.Duration // of all waiting requests
	load    float64       // share of the slots that arriving requests with an aim ask for
}

// verdict is what becomes of an arriving request.
type verdict int

const (
	refused verdict = iota // it cannot be served in time
	timely                 // it can meet its aim
	late                   // it can be served, but not within its aim
)

// judge forecasts when a request would end and decides on its admission. When more comes than can be done, what could not end in time any more is refused at its arrival, so that the slots work for requests that can; without that a queue of half a second makes every answer late. The second result is the advised wait of a refused one.
func judge(dmd demand, blg backlog) (verdict, time.Duration) {
	if blg.slots == 0 {
		return refused, leastReturn
	}
	if blg.running < blg.slots && blg.all == 0 {
		if dmd.aim >= dmd.run {
			return timely, 0
		}
		return late, 0
	}
	wait := (blg.rest + blg.timely) / time.Duration(blg.slots)
	if wait+dmd.run <= dmd.aim {
		return timely, 0
	}
	spare := max(1-blg.load, leastSpare)
	lateWait := time.Duration(float64(blg.rest+blg.all) / float64(blg.slots) / spare)
	if lateWait <= time.Duration(lateShare*float64(dmd.deadline-dmd.run)) {
		return late, 0
	}
	return refused, max(leastReturn, wait+dmd.run-dmd.aim)
}

// runTimes are the moving means of the run times by route.
type runTimes map[string]time.Duration

func (rts runTimes) of(route string) time.Duration {
	if val, ok := rts[route]; ok {
		return val
	}
	return firstRun
}

func (rts runTimes) note(route string, val time.Duration) {
	old, ok := rts[route]
	if !ok {
		rts[route] = val
		return
	}
	rts[route] = old + time.Duration(runWeight*float64(val-old))
}

// arrivals measure how much work with an aim arrives, in slots.
type arrivals struct {
	work float64 // seconds of runs that arrived, decaying over loadWindow
	at   time.Time
}

func (arr *arrivals) note(run time.Duration, now time.Time) {
	arr.decay(now)
	arr.work += run.Seconds()
}

func (arr *arrivals) decay(now time.Time) {
	if !arr.at.IsZero() {
		arr.work *= max(0, 1-float64(now.Sub(arr.at))/float64(loadWindow))
	}
	arr.at = now
}

// load returns the share of slots that the arriving work asks for.
func (arr *arrivals) load(slots int, now time.Time) float64 {
	arr.decay(now)
	return arr.work / loadWindow.Seconds() / float64(max(slots, 1))
}

// backlog returns the work before a ticket; the caller holds the mutex.
func (own *Owner) backlog(tck *ticket, now time.Time) backlog {
	blg := backlog{slots: own.lim.current() + own.flt.extraSlots, running: own.taken, load: own.arr.load(own.lim.current(), now)}
	for run := range own.running {
		blg.rest += max(run.run-now.Sub(run.started), 0)
	}
	for _, oth := range own.que {
		blg.all += oth.run
		if oth.before(tck) {
			blg.timely += oth.run
		}
	}
	return blg
}

// forecast decides on the admission of a ticket that has a route with an aim; others are bounded by the length of the queue only.
func (own *Owner) forecast(tck *ticket) *siskinrill.Refusal {
	now := time.Now()
	tck.run = own.rts.of(tck.att.Open().GetRoute())
	if !tck.aimed {
		return nil
	}
	dmd := demand{run: tck.run, aim: tck.aim.Sub(now), deadline: tck.deadline.Sub(now)}
	vdt, wait := judge(dmd, own.backlog(tck, now))
	tck.late = vdt != timely
	if vdt == refused {
		return siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(wait)
	}
	if !tck.late {
		own.arr.note(tck.run, now)
	}
	return nil
}
