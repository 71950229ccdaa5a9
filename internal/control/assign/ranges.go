package assign

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// blocksPerService is the number of blocks of adjacent partitions that first grants distribute in turn.
	// Blocks spread a busy part of the keys over the upstreams while each upstream keeps few ranges.
	blocksPerService = 128
	// neighbourFactor is the multiple of the lowest score up to which an upstream may get rows next to its
	// own.
	neighbourFactor = 1.2
	// renewMinRanges is the number of ranges from which on an upstream's rows may get a common token.
	renewMinRanges = 60
	// renewMaxShare is the share of the ranges that may remain after a renewal; otherwise it joins too few of
	// them.
	renewMaxShare = 0.75
	// renewInterval is the minimum time between two renewals of an upstream's rows.
	renewInterval = 5 * time.Second
)

// hasNumericKeys reports whether the keys of the service are numbers, so that adjacent partitions are granted
// together.
func (wrk *workspace) hasNumericKeys() bool {
	return wrk.svc.Service.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NUMBER
}

// placeRanges places rows, which are sorted by partition, in blocks of adjacent partitions.
func (wrk *workspace) placeRanges(knd controlpb.AssignmentKind, rows []int32) {
	size := max(len(wrk.svc.Partitions)/blocksPerService, 1)
	first := knd == controlpb.AssignmentKind_ASSIGNMENT_KIND_GRANT && len(rows) == len(wrk.svc.Partitions)
	for len(rows) > 0 {
		num := 1
		for num < len(rows) && num < size && rows[num] == rows[num-1]+1 {
			num++
		}
		wrk.placeBlock(knd, rows[:num], first)
		rows = rows[num:]
	}
}

func (wrk *workspace) placeBlock(knd controlpb.AssignmentKind, block []int32, first bool) {
	load := 0.0
	for _, pos := range block {
		load += wrk.rows[pos].load
	}
	tgt := wrk.leastLoaded(load)
	if !first {
		tgt = wrk.neighbour(block, load, tgt)
	}
	for _, pos := range block {
		wrk.place(knd, &wrk.rows[pos], tgt)
	}
}

// neighbour returns the owner of a row next to a block if its score with the block is within the limit, else
// the given upstream.
func (wrk *workspace) neighbour(block []int32, load float64, low int32) int32 {
	best, bestScore := low, 0.0
	limit := neighbourFactor * (wrk.ups[low].load + load) / wrk.ups[low].weight
	for _, pos := range []int32{block[0] - 1, block[len(block)-1] + 1} {
		if pos < 0 || int(pos) >= len(wrk.svc.Partitions) {
			continue
		}
		own := wrk.rows[pos].owner
		if own == none || !wrk.ups[own].eligible {
			continue
		}
		scr := (wrk.ups[own].load + load) / wrk.ups[own].weight
		if scr <= limit && (best == low || scr < bestScore) {
			best, bestScore = own, scr
		}
	}
	return best
}

// renew gives the rows of an upstream a common token where that joins adjacent rows that were granted at
// different times.
func (wrk *workspace) renew() {
	for pos := range wrk.ups {
		own := int32(pos)
		ses := wrk.ups[pos].session
		if !wrk.ups[pos].eligible || wrk.now < wrk.mem.nextRenewal[ses] {
			continue
		}
		rows := wrk.ownedRows(own)
		ranges, joined := wrk.countRanges(rows)
		if ranges < renewMinRanges || float64(joined) > renewMaxShare*float64(ranges) {
			continue
		}
		wrk.mem.nextRenewal[ses] = wrk.now + renewInterval
		for _, idx := range rows {
			wrk.emit(controlpb.AssignmentKind_ASSIGNMENT_KIND_RENEW, wrk.rows[idx].source, ses)
		}
	}
}

// ownedRows returns the rows that an upstream owns and is to keep, sorted by partition.
func (wrk *workspace) ownedRows(own int32) []int32 {
	var out []int32
	for _, pos := range wrk.rowsOf(own) {
		rwo := &wrk.rows[pos]
		if rwo.owner == own && rwo.source.Phase == controlpb.Phase_PHASE_OWNED {
			out = append(out, pos)
		}
	}
	return out
}

// countRanges returns the number of ranges that rows make up, and how many would remain under a common token.
func (wrk *workspace) countRanges(rows []int32) (ranges, joined int) {
	for num, pos := range rows {
		gap := num == 0 || rows[num-1]+1 != pos
		if gap {
			joined++
		}
		if gap || wrk.rows[rows[num-1]].source.Token != wrk.rows[pos].source.Token {
			ranges++
		}
	}
	return ranges, joined
}
