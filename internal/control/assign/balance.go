package assign

import (
	"math"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// noiseFactor is how many standard deviations of a Poisson count over the window an upstream must exceed beside HighFactor; without it a service with few requests is balanced after noise for ever.
const noiseFactor = 2

// leastGain is the reduction of an upstream's score, as a share of the level, that makes a move worth its cold start.
const leastGain = 0.01

// balance moves rows from the highest upstreams to the lowest once the highest has been too high for long enough.
func (wrk *work) balance() {
	if wrk.eligible < 2 || !wrk.tooHighForLong() {
		return
	}
	for moves := 0; moves < wrk.limits.BalancePerTick && wrk.budget() > 0; {
		dnr := wrk.highest(wrk.donates)
		if dnr == none || wrk.ups[dnr].score() <= wrk.limits.LowFactor*wrk.level {
			break
		}
		if !wrk.relieve(dnr) {
			wrk.ups[dnr].stuck = true
			continue
		}
		moves++
	}
	wrk.unstick()
}

func (wrk *work) tooHighForLong() bool {
	dnr := wrk.highest(wrk.donates)
	if dnr == none || !wrk.tooHigh(&wrk.ups[dnr]) {
		wrk.mem.high = -1
		return false
	}
	if wrk.mem.high < 0 {
		wrk.mem.high = wrk.now
	}
	return wrk.now-wrk.mem.high >= wrk.limits.HighFor
}

// donates reports whether balance may take rows from an upstream.
func (wrk *work) donates(ups *upstream) bool {
	return ups.eligible && !ups.stale && ups.busy >= wrk.limits.BalanceFrom
}

func (wrk *work) tooHigh(ups *upstream) bool {
	fair := wrk.level * ups.weight
	noise := noiseFactor * math.Sqrt(fair/wrk.limits.Window.Seconds())
	return ups.load > wrk.limits.HighFactor*fair+noise
}

// relieve moves the row with the best gain from an upstream to the one that takes it best.
func (wrk *work) relieve(dnr int32) bool {
	don := &wrk.ups[dnr]
	var best *row
	tgt, gain := none, leastGain*wrk.level
	for _, pos := range wrk.rowsOf(dnr) {
		rwo := &wrk.rows[pos]
		if !wrk.movable(rwo, dnr) {
			continue
		}
		rcv, aft := wrk.lowestWith(rwo.load, dnr)
		if rcv == none {
			return false
		}
		aft = max(aft, (don.load-rwo.load)/don.weight)
		if don.score()-aft > gain {
			best, tgt, gain = rwo, rcv, don.score()-aft
		}
	}
	if best == nil {
		return false
	}
	wrk.place(controlpb.AssignmentKind_ASSIGNMENT_KIND_MOVE, best, tgt)
	wrk.pause(best.source)
	return true
}

// lowestWith returns the upstream whose score is lowest once it has a further load, and that score.
func (wrk *work) lowestWith(load float64, but int32) (int32, float64) {
	best, low := none, 0.0
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		if !ups.eligible || ups.stale || int32(pos) == but {
			continue
		}
		if scr := (ups.load + load) / ups.weight; best == none || scr < low {
			best, low = int32(pos), scr
		}
	}
	return best, low
}
