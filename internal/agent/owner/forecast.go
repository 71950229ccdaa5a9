package owner

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
)

const (
	// runTimeWeight is the weight of one run in the moving average of a route's run time.
	runTimeWeight = 0.05
	// defaultRunTime is the assumed run time of a route before its first run has ended.
	defaultRunTime = 50 * time.Millisecond
	// loadWindow is the time constant of the measured load.
	loadWindow = time.Second
	// minRemainingShare is the share of the capacity that the forecast assumes at least for requests that others
	// overtake.
	minRemainingShare = 0.05
	// runMarginDivisor: an expected run divided by it is the margin for runs longer than the average. Without a
	// margin, half of a full queue ends just after its aim.
	runMarginDivisor = 2
	// shorterAimFactor: requests whose aim is at least this many times shorter are assumed to overtake an earlier
	// request.
	shorterAimFactor = 2
	// afterAimWaitShare is the share of the time before its latest start that a request may wait if it cannot meet
	// its aim.
	afterAimWaitShare = 0.6
	// minForecastRetryAfter is the minimum Retry-After of a refusal by the forecast.
	minForecastRetryAfter = 40 * time.Millisecond
)

// demand describes an arriving request.
type demand struct {
	body     startForecast // until its body has been received
	start    startForecast // until the rate limit of the backend server allows its start
	hold     time.Duration // until its start no longer endangers more urgent requests
	run      time.Duration // expected run time
	aim      time.Duration // remaining time until the aim, up to which an answer has its full value; 0: passed or not known
	deadline time.Duration // remaining time until the deadline, after which an answer has no value
	target   time.Duration // longest aim of the route, that of a request that is not repeated; 0: not known
}

// backlog is the work ahead of an arriving request, in expected run times.
type backlog struct {
	slots      int
	remaining  []time.Duration // remaining times of the running requests
	ahead      []time.Duration // run times of waiting requests that can meet their aims and are ordered before this one
	all        time.Duration   // sum of the run times of all waiting requests
	load       float64         // share of the slots for arriving requests with an aim
	overtaking overtaking
}

// runMargin returns the margin for runs longer than the average. It is at most half of the time that a run leaves of the
// target, so that requests whose runs take most of it may wait a little for a slot too.
func (dmd demand) runMargin() time.Duration {
	return min(dmd.run, max(max(dmd.target, dmd.aim)-dmd.run, 0)) / runMarginDivisor
}

// overtaking is the arriving work that is started before an earlier request.
type overtaking struct {
	urgent  float64 // share of the slots for more urgent requests
	shorter float64 // share of the slots for requests of the same priority with far shorter aims
	// shorterWork is the work for each slot that the latter can add at most: those that arrive later than the difference
	// of the aims are due after the earlier request.
	shorterWork time.Duration
}

// delay returns for how long a request waits that would wait for a time if no other overtook it.
func (ovt overtaking) delay(wait time.Duration) time.Duration {
	steady := float64(wait) / max(1-ovt.urgent-ovt.shorter, minRemainingShare)
	bounded := float64(wait+ovt.shorterWork) / max(1-ovt.urgent, minRemainingShare)
	return time.Duration(min(steady, bounded))
}

// firstFreeSlot returns the time until a slot is free for the arriving request, where each request ahead takes the
// slot that is free first. The average over the slots would be too long by most of a run, and short calls that could
// have started immediately would be refused.
func (blg backlog) firstFreeSlot() time.Duration {
	free := slices.Sorted(slices.Values(blg.remaining))
	for len(free) < blg.slots {
		free = slices.Insert(free, 0, 0)
	}
	// If the limit has fallen, the first running requests to end free no slot.
	free = free[len(free)-blg.slots:]
	for _, run := range blg.ahead {
		first := minIndex(free)
		free[first] += run
	}
	return blg.overtaking.delay(free[minIndex(free)])
}

// startAfterAll returns the time until a slot is free for a request that is ordered after all requests with an aim.
func (blg backlog) startAfterAll() time.Duration {
	remainingShare := max(1-blg.load, minRemainingShare)
	return time.Duration(float64(blg.totalRemaining()+blg.all) / float64(blg.slots) / remainingShare)
}

// minIndex returns the index of the shortest duration.
func minIndex(times []time.Duration) int {
	best := 0
	for pos, at := range times {
		if at < times[best] {
			best = pos
		}
	}
	return best
}

// totalRemaining returns the sum of the remaining times of the running requests.
func (blg backlog) totalRemaining() time.Duration {
	sum := time.Duration(0)
	for _, rst := range blg.remaining {
		sum += rst
	}
	return sum
}

// admission is the decision on an arriving request.
type admission int

const (
	refused   admission = iota // cannot be answered in time
	withinAim                  // can be answered within its aim
	afterAim                   // can be answered before its deadline, but not within its aim
)

// decide forecasts when a request would end, and admits or refuses it; the second result is the Retry-After of a
// refused one. Under overload, requests that could not end in time are refused on arrival, so that the slots work
// for requests that can. Without that, a queue of half a second makes every answer miss its aim.
func decide(dmd demand, blg backlog) (admission, time.Duration) {
	if blg.slots == 0 {
		return refused, minForecastRetryAfter
	}
	free := len(blg.remaining) < blg.slots && blg.all == 0
	earliest := dmd.body.later(dmd.start)
	if free && earliest.afterAll == 0 && dmd.hold == 0 {
		if dmd.aim >= dmd.run {
			return withinAim, 0
		}
		return afterAim, 0
	}
	wait, afterAimWait := max(earliest.inTurn, dmd.hold), max(earliest.afterAll, dmd.hold)
	if !free {
		wait, afterAimWait = max(wait, blg.firstFreeSlot()), max(afterAimWait, blg.startAfterAll())
	}
	if wait+dmd.run+dmd.runMargin() <= dmd.aim {
		return withinAim, 0
	}
	if afterAimWait <= time.Duration(afterAimWaitShare*float64(dmd.deadline-dmd.run)) {
		return afterAim, 0
	}
	return refused, max(minForecastRetryAfter, wait+dmd.run-dmd.aim)
}

// runTimes holds the moving averages of the run times by route.
type runTimes map[string]time.Duration

func (rts runTimes) estimate(route string) time.Duration {
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

// arrivals measures how much work with an aim arrives, by route.
type arrivals map[string]*arrival

// arrival is the work that arrives for one route.
type arrival struct {
	work     float64 // seconds of expected run time, decaying over loadWindow
	at       time.Time
	aim      time.Duration // of the latest request
	target   time.Duration // longest of the aims, that of a request that is not repeated
	stated   uint32        // priority of the route
	priority uint32        // by which its requests are treated
}

// priorityOf returns the priority by which a ticket is treated. One whose target is far shorter than those of all more
// urgent routes is as urgent as these: it is a call of a backend server whose parent already runs, so that its refusal
// wastes that run, and it delays the others hardly.
func (arr arrivals) priorityOf(tck *ticket, now time.Time) uint32 {
	route, stated := tck.att.Open().GetRoute(), tck.att.Open().GetPriority()
	target := tck.aim.Sub(now)
	if one := arr[route]; one != nil {
		target = max(target, one.target) // the rest of a repeated request's aim is no short target
	}
	prio := stated
	for name, one := range arr {
		if name == route || one.stated >= stated {
			continue
		}
		if target*shorterAimFactor > one.target {
			return stated
		}
		prio = min(prio, one.stated)
	}
	return prio
}

func (arr arrivals) add(tck *ticket, now time.Time) {
	route := tck.att.Open().GetRoute()
	one := arr[route]
	if one == nil {
		one = &arrival{}
		arr[route] = one
	}
	one.decay(now)
	one.work += tck.expectedRun.Seconds()
	one.aim, one.stated, one.priority = tck.aim.Sub(now), tck.att.Open().GetPriority(), tck.priority
	one.target = max(one.target, one.aim)
}

// yield returns how much later than by its aim a ticket is ordered, so that it does not go before more urgent requests that
// arrive at the same time, because its target is shorter.
func (arr arrivals) yield(tck *ticket, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, one := range arr {
		if one.priority < tck.priority {
			longest = max(longest, one.target)
		}
	}
	return max(longest-tck.aim.Sub(now), 0)
}

func (one *arrival) decay(now time.Time) {
	if !one.at.IsZero() {
		one.work *= max(0, 1-float64(now.Sub(one.at))/float64(loadWindow))
	}
	one.at = now
}

// load returns the share of the slots that all arriving work needs, and the share that work needs which overtakes the
// ticket: more urgent work, and work of its priority with a far shorter aim. A route whose work has decayed to zero is
// dropped.
func (arr arrivals) load(slots int, tck *ticket, now time.Time) (all float64, ovt overtaking) {
	aim := tck.aim.Sub(now)
	for route, one := range arr {
		one.decay(now)
		if one.work <= 0 {
			delete(arr, route)
			continue
		}
		shr := one.work / loadWindow.Seconds() / float64(max(slots, 1))
		all += shr
		switch {
		case one.priority < tck.priority:
			ovt.urgent += shr
		case one.priority == tck.priority && one.aim*shorterAimFactor <= aim:
			ovt.shorter += shr
			ovt.shorterWork += time.Duration(shr * float64(aim-one.aim))
		}
	}
	return all, ovt
}

// backlog returns the work ahead of a ticket; the caller holds the mutex.
func (own *Owner) backlog(tck *ticket, now time.Time) backlog {
	blg := backlog{slots: own.lim.current() + own.flt.extraSlots}
	blg.load, blg.overtaking = own.arr.load(own.lim.current(), tck, now)
	for run := range own.holders {
		blg.remaining = append(blg.remaining, run.remainingRun(now))
	}
	for _, oth := range own.que {
		blg.all += oth.expectedRun
		if oth.before(tck) {
			blg.ahead = append(blg.ahead, oth.expectedRun)
		}
	}
	return blg
}

// forecast admits or refuses a ticket whose route has an aim; other tickets are limited by the queue length and the
// rate limit of the backend server only.
func (own *Owner) forecast(tck *ticket) *siskinrill.Refusal {
	now := time.Now()
	tck.expectedRun = own.rts.estimate(tck.att.Open().GetRoute())
	if tck.hasAim {
		tck.priority = own.arr.priorityOf(tck, now)
		tck.yield = own.arr.yield(tck, now) // first, since the forecasts count the requests that are ordered before this one
	}
	start := own.startForecast(tck, now)
	if !tck.hasAim {
		if start.inTurn > 0 && now.Add(start.inTurn+tck.expectedRun).After(tck.deadline) {
			return siskinrill.NotRun(siskinrill.ReasonBackendRateLimited).WithRetryAfter(start.inTurn)
		}
		return nil
	}
	dmd := demand{run: tck.expectedRun, aim: tck.aim.Sub(now), deadline: tck.deadline.Sub(now), body: own.bodies.forecast(tck, now), start: start, hold: own.holdStart(tck, now)}
	if one := own.arr[tck.att.Open().GetRoute()]; one != nil {
		dmd.target = one.target
	}
	blg := own.backlog(tck, now)
	vdt, wait := decide(dmd, blg)
	if vdt == afterAim && own.lateBecauseCold(tck, dmd, blg) {
		vdt, wait = refused, start.inTurn
	}
	tck.afterAim = vdt != withinAim
	if vdt == refused {
		return siskinrill.NotRun(refusalReason(dmd, blg)).WithRetryAfter(retryDelay(dmd, blg, wait))
	}
	if !tck.afterAim {
		own.arr.add(tck, now)
		own.bodies.rate.accept(tck.bodyBytes(), now)
		own.starts.accept(now)
	}
	return nil
}

// refusalReason returns why a demand is refused: because of the rate limit if it would be admitted without it.
func refusalReason(dmd demand, blg backlog) siskinrill.Reason {
	dmd.start = startForecast{}
	if vdt, _ := decide(dmd, blg); vdt == refused {
		return siskinrill.ReasonQueueFull
	}
	return siskinrill.ReasonBackendRateLimited
}
