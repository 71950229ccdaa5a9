package raft

import (
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// configuration is the membership that the entry at index set.
type configuration struct {
	index   uint64
	members *controlpb.Members
}

// entryLog holds the entries after a base in memory; entries after stable are not yet synced.
type entryLog struct {
	baseIndex   uint64
	baseTerm    uint64
	entries     []*controlpb.Entry
	stable      uint64
	commitIndex uint64
	lastApplied uint64
	snapshot    *controlpb.Snapshot // metadata of the newest snapshot
	configs     []configuration     // oldest first, never empty
}

func (elg *entryLog) lastIndex() uint64 { return elg.baseIndex + uint64(len(elg.entries)) }

func (elg *entryLog) lastTerm() uint64 {
	trm, _ := elg.term(elg.lastIndex())
	return trm
}

// term returns the term of an entry, false if it is compacted or not yet appended.
func (elg *entryLog) term(idx uint64) (uint64, bool) {
	switch {
	case idx == elg.baseIndex:
		return elg.baseTerm, true
	case idx < elg.baseIndex || idx > elg.lastIndex():
		return 0, false
	default:
		return elg.entries[idx-elg.baseIndex-1].GetTerm(), true
	}
}

func (elg *entryLog) hasEntry(idx, trm uint64) bool {
	own, kept := elg.term(idx)
	return kept && own == trm
}

// upToDate reports whether a log that ends at idx and trm is at least as up-to-date as this one (thesis
// 3.6.1).
func (elg *entryLog) upToDate(idx, trm uint64) bool {
	own := elg.lastTerm()
	return trm > own || (trm == own && idx >= elg.lastIndex())
}

// slice returns the entries lo to hi inclusive, at least one and otherwise as many as the limits allow.
func (elg *entryLog) slice(lo, hi uint64, maxEntries int, maxBytes int) []*controlpb.Entry {
	if lo > hi {
		return nil
	}
	ents := elg.entries[lo-elg.baseIndex-1 : hi-elg.baseIndex]
	size := 0
	for pos, ent := range ents {
		size += len(ent.GetData()) + entryOverhead
		if pos > 0 && (pos >= maxEntries || size > maxBytes) {
			return slices.Clone(ents[:pos])
		}
	}
	return slices.Clone(ents)
}

// append adds entries that follow the last one.
func (elg *entryLog) append(ents ...*controlpb.Entry) {
	for _, ent := range ents {
		elg.entries = append(elg.entries, ent)
		if ent.GetKind() == controlpb.EntryKind_ENTRY_KIND_MEMBERS {
			elg.configs = append(elg.configs, configuration{index: ent.GetIndex(), members: decodeMembers(ent)})
		}
	}
}

// merge appends the leader's entries after removing a conflicting suffix, and reports whether the newest
// membership entry changed.
func (elg *entryLog) merge(ents []*controlpb.Entry) bool {
	for pos, ent := range ents {
		idx := ent.GetIndex()
		if idx <= elg.baseIndex || elg.hasEntry(idx, ent.GetTerm()) {
			continue
		}
		before := elg.configs[len(elg.configs)-1].index
		elg.truncate(idx)
		elg.append(ents[pos:]...)
		return before != elg.configs[len(elg.configs)-1].index
	}
	return false
}

// truncate removes the entries from idx on and the memberships that they set.
func (elg *entryLog) truncate(idx uint64) {
	if idx > elg.lastIndex() {
		return
	}
	if idx <= elg.commitIndex {
		panic("raft: truncation of a committed entry")
	}
	elg.entries = slices.Clone(elg.entries[:idx-elg.baseIndex-1])
	elg.stable = min(elg.stable, idx-1)
	for elg.configs[len(elg.configs)-1].index >= idx {
		elg.configs = elg.configs[:len(elg.configs)-1]
	}
}

// restore replaces the log by a snapshot.
func (elg *entryLog) restore(snp *controlpb.Snapshot) {
	elg.baseIndex, elg.baseTerm = snp.GetIndex(), snp.GetTerm()
	elg.entries = nil
	elg.stable, elg.commitIndex = snp.GetIndex(), snp.GetIndex()
	elg.snapshot = metadata(snp)
	elg.configs = []configuration{{index: snp.GetIndex(), members: snp.GetMembers()}}
}

// compact discards the entries up to idx.
func (elg *entryLog) compact(idx uint64) {
	if idx <= elg.baseIndex {
		return
	}
	trm, _ := elg.term(idx)
	elg.entries = slices.Clone(elg.entries[idx-elg.baseIndex:])
	elg.baseIndex, elg.baseTerm = idx, trm
	for len(elg.configs) > 1 && elg.configs[1].index <= idx {
		elg.configs = elg.configs[1:]
	}
}

// membersAt returns the membership in force at an index.
func (elg *entryLog) membersAt(idx uint64) *controlpb.Members {
	for pos := len(elg.configs) - 1; pos > 0; pos-- {
		if elg.configs[pos].index <= idx {
			return elg.configs[pos].members
		}
	}
	return elg.configs[0].members
}

// conflict returns the last index up to idx whose term is at most trm, and its term. The search ends at the
// base, since older entries are compacted.
func (elg *entryLog) conflict(idx, trm uint64) (uint64, uint64) {
	idx = min(idx, elg.lastIndex())
	for idx > elg.baseIndex {
		own, _ := elg.term(idx)
		if own <= trm {
			return idx, own
		}
		idx--
	}
	return idx, elg.baseTerm
}

func metadata(snp *controlpb.Snapshot) *controlpb.Snapshot {
	return &controlpb.Snapshot{Index: snp.GetIndex(), Term: snp.GetTerm(), Members: snp.GetMembers()}
}
