package owner

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
)

const (
	// runTimeWeight is the weight of one run in the moving mean of a route's run time.
	runTimeWeight = 0.05
	// defaultRunTime is the run time of a route of which no run has ended yet.
	defaultRunTime = 50 * time.Millisecond
	// loadWindow is the time constant of the measured load.
	loadWindow = time.Second
	// minSpareShare bounds the forecast of how slowly work gets on beside that which goes first.
	minSpareShare = 0.05
	// runMarginDivisor divides a run for the margin by which it may last longer than the mean; without one, half of a full queue ends just after its aim.
	runMarginDivisor = 2
	// shorterAimFactor is how many times shorter the aim of a request must be for it to count as one that goes first when it arrives later.
	shorterAimFactor = 2
	// afterAimWaitShare is the part of its time left that a request may wait in the queue which cannot meet its aim.
	afterAimWaitShare = 0.6
	// minForecastRetryAfter is the shortest advised wait after a refusal for lack of room.
	minForecastRetryAfter = 40 * time.Millisecond
)

// demand is what an arriving request asks of the owner.
type demand struct {
	body     bodyForecast
	run      time.Duration // expected
	aim      time.Duration // rest of the time within which the answer is worth most, 0: over or not known
	deadline time.Duration // rest of the time within which it is worth anything
}

// backlog is the work that goes before an arriving request, by the expected run times.
type backlog struct {
	slots       int
	remaining   []time.Duration // of the running requests
	ahead       []time.Duration // runs of waiting requests that can meet their aims and have no later ones than the arriving request
	all         time.Duration   // of all waiting requests
	load        float64         // share of the slots that arriving requests with an aim ask for
	shorterLoad float64         // share of the slots for requests with far shorter aims, which arrive meanwhile and go first
}

// firstFreeSlot returns when a slot is free for the arriving request: each request ahead takes the slot that is free first. The mean over the slots would be too late by most of a run, so that short calls were refused which could have begun at once.
func (blg backlog) firstFreeSlot() time.Duration {
	free := slices.Sorted(slices.Values(blg.remaining))
	for len(free) < blg.slots {
		free = slices.Insert(free, 0, 0)
	}
	// Where the limit has fallen, the first requests that end free no slot.
	free = free[len(free)-blg.slots:]
	for _, run := range blg.ahead {
		first := minIndex(free)
		free[first] += run
	}
	wait := free[minIndex(free)]
	return time.Duration(float64(wait) / max(1-blg.shorterLoad, minSpareShare))
}

// startAfterAll returns when a slot is free for a request that goes behind all work with an aim.
func (blg backlog) startAfterAll() time.Duration {
	spare := max(1-blg.load, minSpareShare)
	return time.Duration(float64(blg.totalRemaining()+blg.all) / float64(blg.slots) / spare)
}

// minIndex returns the position of the least time.
func minIndex(times []time.Duration) int {
	best := 0
	for pos, at := range times {
		if at < times[best] {
			best = pos
		}
	}
	return best
}

// totalRemaining returns the work of the running requests.
func (blg backlog) totalRemaining() time.Duration {
	sum := time.Duration(0)
	for _, rst := range blg.remaining {
		sum += rst
	}
	return sum
}

// admission is what becomes of an arriving request.
type admission int

const (
	refused   admission = iota // it cannot be served in time
	withinAim                  // it can meet its aim
	afterAim                   // it can be served, but not within its aim
)

// decide forecasts when a request would end and decides on its admission. When more comes than can be done, what could not end in time any more is refused at its arrival, so that the slots work for requests that can; without that a queue of half a second makes every answer late. The second result is the advised wait of a refused one.
func decide(dmd demand, blg backlog) (admission, time.Duration) {
	if blg.slots == 0 {
		return refused, minForecastRetryAfter
	}
	free := len(blg.remaining) < blg.slots && blg.all == 0
	if free && dmd.body.afterAll == 0 {
		if dmd.aim >= dmd.run {
			return withinAim, 0
		}
		return afterAim, 0
	}
	wait, lateWait := dmd.body.inTurn, dmd.body.afterAll
	if !free {
		wait, lateWait = max(wait, blg.firstFreeSlot()), max(lateWait, blg.startAfterAll())
	}
	if wait+dmd.run+dmd.run/runMarginDivisor <= dmd.aim {
		return withinAim, 0
	}
	if lateWait <= time.Duration(afterAimWaitShare*float64(dmd.deadline-dmd.run)) {
		return afterAim, 0
	}
	return refused, max(minForecastRetryAfter, wait+dmd.run-dmd.aim)
}

// runTimes are the moving means of the run times by route.
type runTimes map[string]time.Duration

func (rts runTimes) of(route string) time.Duration {
	if val, ok := rts[route]; ok {
		return val
	}
	return defaultRunTime
}

func (rts runTimes) observe(route string, val time.Duration) {
	old, ok := rts[route]
	if !ok {
		rts[route] = val
		return
	}
	rts[route] = old + time.Duration(runTimeWeight*float64(val-old))
}

// arrivals measure how much work with an aim arrives, by route.
type arrivals map[string]*arrival

// arrival is the work of one route.
type arrival struct {
	work float64 // seconds of runs that arrived, decaying over loadWindow
	at   time.Time
	aim  time.Duration // of the newest request
}

func (arr arrivals) add(route string, aim, run time.Duration, now time.Time) {
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
		if one.aim*shorterAimFactor <= aim {
			short += shr
		}
	}
	return all, short
}

// backlog returns the work before a ticket; the caller holds the mutex.
func (own *Owner) backlog(tck *ticket, now time.Time) backlog {
	blg := backlog{slots: own.lim.current() + own.flt.extraSlots}
	blg.load, blg.shorterLoad = own.arr.load(own.lim.current(), tck.aim.Sub(now), now)
	for run := range own.running {
		blg.remaining = append(blg.remaining, max(run.expectedRun-now.Sub(run.started), 0))
	}
	for len(blg.remaining) < own.slotsTaken {
		// It has its slot and is about to start.
		blg.remaining = append(blg.remaining, tck.expectedRun)
	}
	for _, oth := range own.que {
		blg.all += oth.expectedRun
		if oth.before(tck) {
			blg.ahead = append(blg.ahead, oth.expectedRun)
		}
	}
	return blg
}

// forecast decides on the admission of a ticket that has a route with an aim; others are bounded by the length of the queue only.
func (own *Owner) forecast(tck *ticket) *siskinrill.Refusal {
	now := time.Now()
	tck.expectedRun = own.rts.of(tck.att.Open().GetRoute())
	if !tck.hasAim {
		return nil
	}
	dmd := demand{run: tck.expectedRun, aim: tck.aim.Sub(now), deadline: tck.deadline.Sub(now), body: own.bodies.forecast(tck, now)}
	vdt, wait := decide(dmd, own.backlog(tck, now))
	tck.afterAim = vdt != withinAim
	if vdt == refused {
		return siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(wait)
	}
	if !tck.afterAim {
		own.arr.add(tck.att.Open().GetRoute(), dmd.aim, tck.expectedRun, now)
		own.bodies.rate.accept(tck.bodyBytes(), now)
	}
	return nil
}
