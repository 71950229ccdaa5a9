package owner

import (
	"math"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
)

// holdSlackShare is the share of the time that urgent requests can wait which a run that may block them can use. The run
// times are averages: with all of it, requests of an average run time of 44 ms missed their aims behind runs of 700 ms.
const holdSlackShare = 0.7

// minSlotsLeft replaces the number of slots left where there are none.
const minSlotsLeft = 0.5

// urgentNeed is the work that arrives for a route that is more urgent than a request that could start.
type urgentNeed struct {
	priority uint32
	work     float64       // slots that it occupies on average
	slack    time.Duration // time for which its requests can wait and still end within their aims
}

// occupancy is a request that occupies a slot, or would do so.
type occupancy struct {
	priority  uint32
	remaining time.Duration // expected time until the slot is free
}

// holdForUrgent returns for how long a request must not start because of more urgent ones that are expected to arrive, 0 if
// it may start now; after that time the decision is repeated. A run that is longer than they can wait is held back if the
// slots that it leaves them could not keep their waits within that time. Shorter runs are never held back, and neither is
// the only long one, so that no class is starved.
func holdForUrgent(slots int, start occupancy, running []occupancy, needs []urgentNeed) time.Duration {
	hold := time.Duration(0)
	for _, need := range needs {
		if need.priority >= start.priority || start.remaining <= need.slack {
			continue
		}
		if need.slack <= 0 {
			// Its runs are too long for its aim even if they never wait, so that to hold others back gains nothing.
			continue
		}
		blocked := make([]time.Duration, 0, len(running)+1)
		for _, occ := range running {
			if occ.priority > need.priority && occ.remaining > need.slack {
				blocked = append(blocked, occ.remaining)
			}
		}
		if len(blocked) == 0 {
			continue
		}
		first := slices.Min(blocked)
		blocked = append(blocked, start.remaining)
		if urgentWait(slots, blocked, needAtLeast(need.priority, needs)) > need.slack {
			hold = max(hold, first-need.slack)
		}
	}
	return hold
}

// urgentWait returns how long urgent requests wait that need work slots on average, while others block some of the slots
// for the given times: until enough of these are free, the urgent work that exceeds the other slots adds up.
func urgentWait(slots int, blocked []time.Duration, work float64) time.Duration {
	left := float64(slots - len(blocked))
	missing := work - left
	if missing <= 0 {
		return 0
	}
	slices.Sort(blocked)
	enough := blocked[min(int(math.Ceil(missing)), len(blocked))-1]
	return time.Duration(missing / max(left, minSlotsLeft) * float64(enough))
}

// needAtLeast returns how many slots arrivals of at least the given priority need on average.
func needAtLeast(priority uint32, needs []urgentNeed) (work float64) {
	for _, need := range needs {
		if need.priority <= priority {
			work += need.work
		}
	}
	return work
}

// startCheck is what the decisions about all waiting requests at one moment have in common.
type startCheck struct {
	slots   int
	running []occupancy
	needs   []urgentNeed
}

// startCheck returns the occupied slots and the work that arrives; the caller holds the mutex. Requests that have a slot but
// are not sent yet, because copies or grants are on their way, occupy it too.
func (own *Owner) startCheck(now time.Time) startCheck {
	chk := startCheck{slots: own.lim.current(), running: make([]occupancy, 0, len(own.holders)), needs: make([]urgentNeed, 0, len(own.arr))}
	for tck := range own.holders {
		chk.running = append(chk.running, occupancy{priority: tck.priority, remaining: tck.remainingRun(now)})
	}
	for route, one := range own.arr {
		one.decay(now)
		run := own.rts.estimate(route)
		slack := time.Duration(holdSlackShare * float64(one.target-run-run/runMarginDivisor))
		chk.needs = append(chk.needs, urgentNeed{priority: one.priority, work: one.work / loadWindow.Seconds(), slack: slack})
	}
	return chk
}

// hold returns how long a ticket must not start although a slot is free.
func (chk startCheck) hold(tck *ticket) time.Duration {
	if tck.priority == 0 {
		return 0
	}
	return holdForUrgent(chk.slots, occupancy{priority: tck.priority, remaining: tck.expectedRun}, chk.running, chk.needs)
}

// holdStart returns how long a ticket must not start although a slot is free; the caller holds the mutex.
func (own *Owner) holdStart(tck *ticket, now time.Time) time.Duration {
	if tck.priority == 0 {
		return 0
	}
	return own.startCheck(now).hold(tck)
}

// nextStart returns the waiting ticket that is first in order among those that may start, nil if there is none, and then
// the time until one of the queue may start; the caller holds the mutex.
func (own *Owner) nextStart(now time.Time) (*ticket, time.Duration) {
	if own.que[0].priority == 0 {
		return own.que[0], 0
	}
	chk := own.startCheck(now)
	wait := chk.hold(own.que[0])
	if wait == 0 {
		return own.que[0], 0
	}
	// Of the requests of a priority, only those with shorter runs than one that is held back can start or do so earlier. Most
	// of a queue is skipped therefore: with 72 requests and 12 slots, to check each took 0.13 ms.
	held := map[uint32]time.Duration{own.que[0].priority: own.que[0].expectedRun}
	var best *ticket
	for _, tck := range own.que {
		run, known := held[tck.priority]
		if known && tck.expectedRun >= run || best != nil && !tck.before(best) {
			continue
		}
		hold := chk.hold(tck)
		if hold == 0 {
			best = tck
			continue
		}
		held[tck.priority] = tck.expectedRun
		wait = min(wait, hold)
	}
	return best, wait
}

// wakeAfterHold gives out slots again when a start that is held back is due; the caller holds the mutex.
func (own *Owner) wakeAfterHold(hold time.Duration) {
	due := time.Now().Add(hold)
	if own.holdTimer != nil {
		if !due.Before(own.holdDue) {
			return
		}
		own.holdTimer.Stop()
	}
	own.holdDue = due
	own.holdTimer = time.AfterFunc(hold, func() {
		own.mu.Lock()
		defer own.mu.Unlock()
		own.holdTimer = nil
		own.assignSlots()
	})
}

// refuseLessUrgent makes room in a full queue for a ticket: it refuses the last of the waiting tickets that are less urgent,
// and reports whether there was one; the caller holds the mutex.
func (own *Owner) refuseLessUrgent(tck *ticket) bool {
	var last *ticket
	for oth := range own.queued() {
		if oth.priority > tck.priority && (last == nil || last.before(oth)) {
			last = oth
		}
	}
	if last == nil {
		return false
	}
	last.dequeue()
	last.signal(siskinrill.NotRun(siskinrill.ReasonQueueFull).WithRetryAfter(own.retryAfter()))
	return true
}
