package assign

import (
	"cmp"
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// awaitingUpstreams reports whether the first grants of a service have to wait: none was made yet, and an
// upstream has been registered for less than Limits.Settle.
func (wrk *workspace) awaitingUpstreams() bool {
	for pos := range wrk.svc.Partitions {
		if wrk.svc.Partitions[pos].Token != 0 {
			return false
		}
	}
	for pos := range wrk.svc.Upstreams {
		if wrk.svc.Upstreams[pos].Age < wrk.limits.Settle {
			return true
		}
	}
	return false
}

// grant assigns orphans to the least loaded upstreams, heaviest rows first so that the result is balanced
// when many rows are assigned in one tick.
func (wrk *workspace) grant() {
	var orphans []int32
	for pos := range wrk.rows {
		src := wrk.rows[pos].source
		if src.Phase == controlpb.Phase_PHASE_ORPHAN {
			orphans = append(orphans, int32(pos))
		}
	}
	wrk.placeAll(controlpb.AssignmentKind_ASSIGNMENT_KIND_GRANT, orphans)
}

// placeAll places rows at the least loaded upstreams, the heaviest rows first, at most RowsPerTick of them.
func (wrk *workspace) placeAll(kind controlpb.AssignmentKind, rows []int32) {
	if wrk.hasNumericKeys() {
		wrk.placeRanges(kind, rows)
		return
	}
	wrk.sortByLoad(rows)
	for _, pos := range rows[:min(len(rows), wrk.limits.RowsPerTick)] {
		rwo := &wrk.rows[pos]
		wrk.place(kind, rwo, wrk.leastLoaded(rwo.load))
	}
}

func (wrk *workspace) sortByLoad(rows []int32) {
	slices.SortStableFunc(rows, func(one, two int32) int {
		return cmp.Compare(wrk.rows[two].load, wrk.rows[one].load)
	})
}

// leastLoaded returns the eligible upstream that would have the lowest score with a further load. Among those
// whose score is within half of that load of the lowest, it prefers the least loaded zone.
func (wrk *workspace) leastLoaded(load float64) int32 {
	low := -1.0
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		if scr := (ups.load + load) / ups.weight; ups.eligible && (low < 0 || scr < low) {
			low = scr
		}
	}
	best, bestZone, bestScore := none, 0.0, 0.0
	for pos := range wrk.ups {
		ups := &wrk.ups[pos]
		scr := (ups.load + load) / ups.weight
		if !ups.eligible || scr > low+load/ups.weight/2 {
			continue
		}
		zon := wrk.zoneLoad[ups.zone] / wrk.zoneSlots[ups.zone]
		if best == none || zon < bestZone || zon == bestZone && scr < bestScore {
			best, bestZone, bestScore = int32(pos), zon, scr
		}
	}
	return best
}

// drain moves all rows away from draining upstreams. It ignores the limits of balance, which would delay a
// planned stop.
func (wrk *workspace) drain() {
	var rows []int32
	for pos := range wrk.rows {
		rwo := &wrk.rows[pos]
		if rwo.owner != none && rwo.source.Phase == controlpb.Phase_PHASE_OWNED && !wrk.ups[rwo.owner].eligible {
			rows = append(rows, int32(pos))
		}
	}
	wrk.placeAll(controlpb.AssignmentKind_ASSIGNMENT_KIND_MOVE, rows)
}
