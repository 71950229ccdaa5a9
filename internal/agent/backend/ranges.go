package backend

import (
	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// rangeBytes is the size in bytes of a range in an answer; a handover counts as additional ranges by its
// length.
const rangeBytes = 24

// fitRanges returns the rows whose ranges fit in an answer; an oversized answer would be dropped by the
// server, along with all its keys. Held rows come first, because the server releases what is omitted; the
// others can follow in the next answer, when the rows of this one no longer need a handover.
func fitRanges(rows []*controlpb.Shard, rep map[uint32]uint64, maxRanges int) []*controlpb.Shard {
	selected := make([]bool, len(rows))
	used := 0
	for _, held := range []bool{true, false} {
		prev := -1
		for pos, row := range rows {
			if (rep[row.GetPartition()] == row.GetToken()) != held {
				continue
			}
			if prev < 0 || !extendsRange(rows[prev], row, held) {
				cost := 1
				if !held {
					cost += (len(row.GetHandover()) + rangeBytes - 1) / rangeBytes
				}
				if used+cost > maxRanges {
					break
				}
				used += cost
			}
			selected[pos], prev = true, pos
		}
	}
	var out []*controlpb.Shard
	for pos, row := range rows {
		if selected[pos] {
			out = append(out, row)
		}
	}
	return out
}

// extendsRange reports whether a row extends the range of the previous one; rows that the server holds carry
// no handover.
func extendsRange(prev, row *controlpb.Shard, held bool) bool {
	return prev.GetPartition()+1 == row.GetPartition() && prev.GetToken() == row.GetToken() && (held || prev.GetHandover() == row.GetHandover())
}

// grantedRanges merges contiguous partitions with the same token and handover into ranges; handovers are sent
// only for keys that the server does not hold yet.
func grantedRanges(rows []*controlpb.Shard, partitions uint32, rep map[uint32]uint64) []GrantedRange {
	var out []GrantedRange
	for _, row := range rows {
		fst, lst := siskinrill.KeyRange(row.GetPartition(), partitions)
		rng := GrantedRange{First: fst, Last: lst, Token: row.GetToken(), Handover: row.GetHandover()}
		if rep[row.GetPartition()] == row.GetToken() {
			rng.Handover = ""
		}
		if num := len(out) - 1; num >= 0 && out[num].Last+1 == fst && out[num].Token == rng.Token && out[num].Handover == rng.Handover {
			out[num].Last = lst
			continue
		}
		out = append(out, rng)
	}
	return out
}
