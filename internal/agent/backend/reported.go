package backend

import (
	"cmp"
	"slices"
	"time"
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

// applyReported updates the holds from what a heartbeat lists; the caller holds the mutex.
func (kys *keys) applyReported(rep reportedHolds) {
	for par, hld := range kys.held {
		if !rep.lists(par) {
			kys.endHold(par, hld)
			continue
		}
		if tok, whole := rep.whole[par]; !whole || tok != hld.token {
			// With another token, the server did not receive the last grant. It may have let go of keys before that.
			kys.held[par] = hld.inPart()
		}
	}
	for par, tok := range rep.whole {
		kys.addUnknownHold(par, partitionHold{token: tok})
	}
	for par, tok := range rep.partly {
		kys.addUnknownHold(par, partitionHold{token: tok, partly: true})
	}
}

// endHold removes a hold that a heartbeat does not list; the caller holds the mutex.
func (kys *keys) endHold(par uint32, hld partitionHold) {
	if hld.direct {
		// The service's carrier has changed; keys granted by a call need not be listed in a heartbeat.
		kys.unacknowledged[par] = later(kys.unacknowledged[par], hld.until)
	}
	delete(kys.held, par)
}

// addUnknownHold adds a hold that a heartbeat lists and of which this process has no record. It ends no later than the last hold that was
// granted or, if none was by this process, the longest one that another may have granted before now. The caller holds the mutex.
func (kys *keys) addUnknownHold(par uint32, hld partitionHold) {
	if _, ok := kys.held[par]; ok {
		return
	}
	end, ok := kys.latestEnd[par]
	if !ok {
		end = time.Now().Add(maxServerHold)
	}
	hld.until = later(end, kys.priorHoldsUntil)
	kys.setHold(par, hld)
}
