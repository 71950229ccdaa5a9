package assign

import (
	"math"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// markJoining marks upstreams as joining if they are new to the policy and are in their ramp or own no
// partitions. Others may own few partitions because those are hot, which a new leader cannot tell yet.
func (wrk *workspace) markJoining() {
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		filling, ok := wrk.mem.joining[ups.session]
		if !ok {
			filling = ups.ramping || ups.count == 0
		}
		ups.joining = filling && ups.eligible && !wrk.filled(ups, wrk.limits.FillShare*ups.capacity/wrk.totalCapacity)
		// A draining or failed upstream is filled again once it is back, and a cold one up to its full share once it is warm.
		cold := wrk.svc.Upstreams[pos].Cold > 0
		wrk.mem.joining[ups.session] = ups.joining || !ups.eligible || filling && cold
	}
	for ses := range wrk.mem.joining {
		if _, ok := wrk.index[ses]; !ok {
			delete(wrk.mem.joining, ses)
		}
	}
}

// filled reports whether an upstream has the integer part of its share of the partitions, or its share of the
// load. Stopping there keeps the number of moves to a minimum.
func (wrk *workspace) filled(ups *upstream, share float64) bool {
	return ups.count >= int(math.Floor(share*float64(len(wrk.svc.Partitions)))) ||
		!ups.stale && wrk.targetScore > 0 && ups.load >= wrk.limits.FillShare*wrk.targetScore*ups.capacity
}

// fill moves rows from the upstreams with the highest scores to joining ones, up to the share of their
// current weight.
func (wrk *workspace) fill() {
	for wrk.moveBudget() > 0 {
		tgt := wrk.lowestJoining()
		if tgt == none || !wrk.fillOne(tgt) {
			return
		}
	}
}

func (wrk *workspace) lowestJoining() int32 {
	best := none
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		if !ups.joining || wrk.filled(ups, wrk.limits.FillShare*ups.weight/wrk.totalWeight) {
			continue
		}
		if best == none || ups.score() < wrk.ups[best].score() {
			best = int32(pos)
		}
	}
	return best
}

// fillOne moves one partition to a joining upstream from the donor with the highest score that has a suitable
// one.
func (wrk *workspace) fillOne(tgt int32) bool {
	ups := &wrk.ups[tgt]
	missing := math.Floor(wrk.limits.FillShare*ups.weight/wrk.totalWeight*float64(len(wrk.svc.Partitions))) - float64(ups.count)
	ideal := (wrk.limits.FillShare*wrk.targetScore*ups.weight - ups.load) / max(missing, 1)
	for {
		dnr := wrk.highest(func(cnd *upstream) bool { return !cnd.joining && cnd.eligible })
		if dnr == none {
			break
		}
		if rwo := wrk.closest(dnr, tgt, ideal); rwo != nil {
			wrk.place(controlpb.AssignmentKind_ASSIGNMENT_KIND_MOVE, rwo, tgt)
			wrk.startCooldown(rwo.source)
			wrk.resetExhausted()
			return true
		}
		wrk.ups[dnr].exhausted = true
	}
	wrk.resetExhausted()
	return false
}

func (wrk *workspace) resetExhausted() {
	for pos := range wrk.ups {
		wrk.ups[pos].exhausted = false
	}
}

// highest returns the upstream with the highest score that is not exhausted and passes a test.
func (wrk *workspace) highest(test func(ups *upstream) bool) int32 {
	best := none
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		if ups.exhausted || !test(ups) {
			continue
		}
		if best == none || ups.score() > wrk.ups[best].score() {
			best = int32(pos)
		}
	}
	return best
}

// closest returns the donor's partition whose load is closest to the ideal and whose move leaves the target's
// score at or below the donor's current score.
func (wrk *workspace) closest(dnr, tgt int32, ideal float64) *row {
	var best *row
	for _, pos := range wrk.rowsOf(dnr) {
		rwo := &wrk.rows[pos]
		if !wrk.movable(rwo, dnr) || rwo.source.Key != "" {
			continue
		}
		if (wrk.ups[tgt].load+rwo.load)/wrk.ups[tgt].weight > wrk.ups[dnr].score() {
			continue
		}
		if best == nil || math.Abs(rwo.load-ideal) < math.Abs(best.load-ideal) {
			best = rwo
		}
	}
	return best
}
