package owner

import (
	"slices"
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
	// leastSpare bounds the forecast of how slowly work gets on beside that which goes first.
	leastSpare = 0.05
	// runMargin divides a run for the margin by which it may last longer than the mean; without one, half of a full queue ends just after its aim.
	runMargin = 2
	// shorterAim is how many times shorter the aim of a request must be for it to count as one that goes first when it arrives later.
	shorterAim = 2
	// lateShare is the part of its time left that a request may wait in the queue which cannot meet its aim.
	lateShare = 0.6
	// leastReturn is the shortest advised wait after a refusal for lack of room.
	leastReturn = 40 * time.Millisecond
)

// demand is what an arriving request asks of the owner.
type demand struct {
	body     transfer
	run      time.Duration // expected
	aim      time.Duration // rest of the time within which the answer is worth most, 0: over or not known
	deadline time.Duration // rest of the time within which it is worth anything
}

// backlog is the work that goes before an arriving request, by the expected run times.
type backlog struct {
	slots int
	rests []time.Duration // of the running requests
	ahead []time.Duration // runs of waiting requests that can meet their aims and have no later ones than the arriving request
	all   time.Duration   // of all waiting requests
	load  float64         // share of the slots that arriving requests with an aim ask for
	short float64         // share of the slots for requests with far shorter aims, which arrive meanwhile and go first
}

// start returns when a slot is free for the arriving request: each request ahead takes the slot that is free first. The mean over the slots would be too late by most of a run, so that short calls were refused which could have begun at once.
func (blg backlog) start() time.Duration {
	free := slices.Sorted(slices.Values(blg.rests))
	for len(free) < blg.slots {
		free = slices.Insert(free, 0, 0)
	}
	// Where the limit has fallen, the first requests that end free no slot.
	free = free[len(free)-blg.slots:]
	for _, run := range blg.ahead {
		first := earliest(free)
		free[first] += run
	}
	wait := free[earliest(free)]
	return time.Duration(float64(wait) / max(1-blg.short, leastSpare))
}

// lateStart returns when a slot is free for a request that goes behind all work with an aim.
func (blg backlog) lateStart() time.Duration {
	spare := max(1-blg.load, leastSpare)
	return time.Duration(float64(blg.rest()+blg.all) / float64(blg.slots) / spare)
}

// earliest returns the position of the least time.
func earliest(times []time.Duration) int {
	best := 0
	for pos, at := range times {
		if at < times[best] {
			best = pos
		}
	}
	return best
}

// rest returns the work of the running requests.
func (blg backlog) rest() time.Duration {
	sum := time.Duration(0)
	for _, rst := range blg.rests {
		sum += rst
	}
	return sum
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
	free := len(blg.rests) < blg.slots && blg.all == 0
	if free && dmd.body.last == 0 {
		if dmd.aim >= dmd.run {
			return timely, 0
		}
		return late, 0
	}
	wait, lateWait := dmd.body.inTurn, dmd.body.last
	if !free {
		wait, lateWait = max(wait, blg.start()), max(lateWait, blg.lateStart())
	}
	if wait+dmd.run+dmd.run/runMargin <= dmd.aim {
		return timely, 0
	}
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

// arrivals measure how much work with an aim arrives, by route.
type arrivals map[string]*arrival

// arrival is the work of one route.
type arrival struct {
	work float64 // seconds of runs that arrived, decaying over loadWindow
	at   time.Time
	aim  time.Duration // of the newest request
}

func (arr arrivals) note(route string, aim, run time.Duration, now time.Time) {
	one := arr[route]
	if one == nil {
		one = &arrival{}
		arr[route] = one
	}
	one.decay(now)
	one.work += run.Seconds()
	one.aim = aim
}

func (one *arrival) decay(now time.Time) {
	if !one.at.IsZero() {
		one.work *= max(0, 1-float64(now.Sub(one.at))/float64(loadWindow))
	}
	one.at = now
}

// load returns the shares of the slots that all arriving work asks for, and that work with aims far shorter than a given one asks for. A route without work for a while is dropped.
func (arr arrivals) load(slots int, aim time.Duration, now time.Time) (all, short float64) {
	for route, one := range arr {
		one.decay(now)
		if one.work <= 0 {
			delete(arr, route)
			continue
		}
		shr := one.work / loadWindow.Seconds() / float64(max(slots, 1))
		all += shr
		if one.aim*shorterAim <= aim {
			short += shr
		}
	}
	return all, short
}

// backlog returns the work before a ticket; the caller holds the mutex.
func (own *Owner) backlog(tck *ticket, now time.Time) backlog {
	blg := backlog{slots: own.lim.current() + own.flt.extraSlots}
	blg.load, blg.short = own.arr.load(own.lim.current(), tck.aim.Sub(now), now)
	for run := range own.running {
		blg.rests = append(blg.rests, max(run.run-now.Sub(run.started), 0))
	}
	for len(blg.rests) < own.taken {
		// It has its slot and is about to start.
		blg.rests = append(blg.rests, tck.run)
	}
	for _, oth := range own.que {
		blg.all += oth.run
		if oth.before(tck) {
			blg.ahead = append(blg.ahead, oth.run)
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
	dmd := demand{run: tck.run, aim: tck.aim.Sub(now), deadline: tck.deadline.Sub(now), body: own.inf.forecast(tck, now)}
	vdt, wait := judge(dmd, own.backlog(tck, now))
	tck.late = vdt != timely
	if vdt == refused {
		return siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(wait)
	}
	if !tck.late {
		own.arr.note(tck.att.Open().GetRoute(), dmd.aim, tck.run, now)
		own.inf.pace.accept(tck.bodyBytes(), now)
	}
	return nil
}
