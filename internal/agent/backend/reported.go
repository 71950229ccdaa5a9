package backend

import (
	"cmp"
	"slices"
)

// reportedHolds is what a heartbeat lists as held, by partition. A server may list any ranges of keys: it keeps the keys that it works on
// when it releases the others, and knows nothing of partitions.
type reportedHolds struct {
	// whole has the token under which all keys of a partition are held, the highest one if there are several. Only such a partition may
	// be served or renewed.
	whole map[uint32]uint64
	// partly has the highest token of the other partitions of which a key is listed. These must not be given to another server either.
	partly map[uint32]uint64
}

// readHolds reads the ranges of a heartbeat, which may be in any order, overlap, or end within a partition. It lists nothing if partitions
// is 0.
func readHolds(rngs []HeldRange, partitions uint32) reportedHolds {
	rep := reportedHolds{whole: map[uint32]uint64{}, partly: map[uint32]uint64{}}
	if partitions == 0 {
		return rep
	}
	cov := newCover(partitions)
	for _, rng := range joinRanges(rngs) {
		cov.visit(rng.First, rng.Last, func(par uint32, whole bool) {
			if whole {
				delete(rep.partly, par)
				rep.whole[par] = rng.Token
				return
			}
			rep.partly[par] = max(rep.partly[par], rng.Token)
		})
	}
	return rep
}

// lists reports whether a key of a partition is listed.
func (rep *reportedHolds) lists(par uint32) bool {
	_, whole := rep.whole[par]
	_, partly := rep.partly[par]
	return whole || partly
}

// listsAny reports whether a key of a range of partitions, both ends included, is listed.
func (rep *reportedHolds) listsAny(from, to uint32) bool {
	for par := from; par <= to; par++ {
		if rep.lists(par) {
			return true
		}
	}
	return false
}

// isEmpty reports whether no key is listed.
func (rep *reportedHolds) isEmpty() bool { return len(rep.whole) == 0 && len(rep.partly) == 0 }

// joinRanges returns the ranges by descending token, with those of one token that overlap or follow each other joined.
func joinRanges(rngs []HeldRange) []HeldRange {
	rngs = slices.Clone(rngs)
	slices.SortFunc(rngs, func(one, two HeldRange) int {
		return cmp.Or(cmp.Compare(two.Token, one.Token), cmp.Compare(one.First, two.First))
	})
	out := rngs[:0]
	for _, rng := range rngs {
		if num := len(out) - 1; num >= 0 && out[num].Token == rng.Token && rng.First <= out[num].Last+1 {
			out[num].Last = max(out[num].Last, rng.Last)
			continue
		}
		out = append(out, rng)
	}
	return out
}
