package registry

import "github.com/siskinrill/siskinrill/internal/wire/controlpb"

// ringSize is the number of changes kept for agents that lag; an agent that lags further gets a snapshot.
const ringSize = 4096

// ring is a buffer of the newest changes; changes in it must not be modified.
type ring struct {
	items      []*controlpb.Change
	indexes    []uint64 // log index of each item
	head       int      // position of the oldest item
	minVersion uint64   // versions below it can no longer be served
	newest     uint64   // log index of the newest change
}

func (rng *ring) add(idx uint64, chg *controlpb.Change) {
	rng.newest = idx
	if len(rng.items) < ringSize {
		rng.items = append(rng.items, chg)
		rng.indexes = append(rng.indexes, idx)
		return
	}
	rng.minVersion = rng.indexes[rng.head]
	rng.items[rng.head], rng.indexes[rng.head] = chg, idx
	rng.head = (rng.head + 1) % ringSize
}

func (rng *ring) reset(idx uint64) {
	*rng = ring{minVersion: idx, newest: idx}
}

func (rng *ring) since(ver uint64) (*controlpb.Difference, bool) {
	if ver < rng.minVersion {
		return nil, false
	}
	dif := &controlpb.Difference{From: ver, To: max(ver, rng.newest)}
	fst := len(rng.items)
	for fst > 0 && rng.indexes[rng.position(fst-1)] > ver {
		fst--
	}
	for pos := fst; pos < len(rng.items); pos++ {
		dif.Changes = append(dif.Changes, rng.items[rng.position(pos)])
	}
	return dif, true
}

func (rng *ring) position(pos int) int { return (rng.head + pos) % len(rng.items) }
