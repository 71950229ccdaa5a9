package assign

import (
	"math"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// noiseDeviations is the number of standard deviations of a Poisson count over Limits.Window by which a load
// must exceed HighFactor. Without it a service with few requests would be rebalanced endlessly because of
// noise.
const noiseDeviations = 2

// minGain is the minimum reduction of an upstream's score, as a share of the target score, that justifies
// moving a row, which starts cold on its new owner.
const minGain = 0.01

// balance moves rows from the upstreams with the highest scores to those with the lowest once the highest has
// exceeded HighFactor for HighFor.
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

// moveBestRow moves the row with the largest gain from a donor to the upstream whose score stays lowest with
// it. It reports false if no move gains more than minGain.
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

// lowestWith returns the upstream that would have the lowest score with a further load, and that score.
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
