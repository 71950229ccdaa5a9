package assign

import (
	"math"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// noiseDeviations is how many standard deviations of a Poisson count over the window an upstream must exceed beside HighFactor; without it a service with few requests is balanced after noise for ever.
const noiseDeviations = 2

// minGain is the reduction of an upstream's score, as a share of the level, that makes a move worth its cold start.
const minGain = 0.01

// balance moves rows from the highest upstreams to the lowest once the highest has been too high for long enough.
func (wrk *workspace) balance() {
	if wrk.eligible < 2 || !wrk.imbalancePersists() {
		return
	}
	for moves := 0; moves < wrk.limits.BalancePerTick && wrk.moveBudget() > 0; {
		dnr := wrk.highest(wrk.isDonor)
		if dnr == none || wrk.ups[dnr].score() <= wrk.limits.LowFactor*wrk.targetScore {
			break
		}
		if !wrk.moveBestRow(dnr) {
			wrk.ups[dnr].exhausted = true
			continue
		}
		moves++
	}
	wrk.resetExhausted()
}

func (wrk *workspace) imbalancePersists() bool {
	dnr := wrk.highest(wrk.isDonor)
	if dnr == none || !wrk.aboveHighFactor(&wrk.ups[dnr]) {
		wrk.mem.highSince = -1
		return false
	}
	if wrk.mem.highSince < 0 {
		wrk.mem.highSince = wrk.now
	}
	return wrk.now-wrk.mem.highSince >= wrk.limits.HighFor
}

// isDonor reports whether balance may take rows from an upstream.
func (wrk *workspace) isDonor(ups *upstream) bool {
	return ups.eligible && !ups.stale && ups.busy >= wrk.limits.BalanceFrom
}

func (wrk *workspace) aboveHighFactor(ups *upstream) bool {
	fair := wrk.targetScore * ups.weight
	noise := noiseDeviations * math.Sqrt(fair/wrk.limits.Window.Seconds())
	return ups.load > wrk.limits.HighFactor*fair+noise
}

// moveBestRow moves the row with the best gain from an upstream to the one that takes it best.
func (wrk *workspace) moveBestRow(dnr int32) bool {
	don := &wrk.ups[dnr]
	var best *row
	tgt, gain := none, minGain*wrk.targetScore
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
	wrk.startCooldown(best.source)
	return true
}

// lowestWith returns the upstream whose score is lowest once it has a further load, and that score.
func (wrk *workspace) lowestWith(load float64, except int32) (int32, float64) {
	best, low := none, 0.0
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		if !ups.eligible || ups.stale || int32(pos) == except {
			continue
		}
		if scr := (ups.load + load) / ups.weight; best == none || scr < low {
			best, low = int32(pos), scr
		}
	}
	return best, low
}
