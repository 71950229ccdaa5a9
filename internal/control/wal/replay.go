package wal

import (
	"fmt"
	"path/filepath"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// State is the state of a member as read from its data directory.
type State struct {
	hardState *controlpb.HardState
	formation *controlpb.Members
	snapshot  *controlpb.Snapshot
	entries   []*controlpb.Entry
}

// HardState returns the term, vote and commit index; it is never nil.
func (sta *State) HardState() *controlpb.HardState { return sta.hardState }

// Formation returns the membership recorded when the directory joined a cluster, or nil before that.
func (sta *State) Formation() *controlpb.Members { return sta.formation }

// Snapshot returns the newest snapshot, or nil if there is none.
func (sta *State) Snapshot() *controlpb.Snapshot { return sta.snapshot }

// Entries returns the entries kept in the log, without gaps.
func (sta *State) Entries() []*controlpb.Entry { return sta.entries }

func (sta *State) isEmpty() bool {
	return sta.formation == nil && sta.snapshot == nil && len(sta.entries) == 0 && proto.Size(sta.hardState) == 0
}

// replay rebuilds the state from the segments in order.
type replay struct {
	sta             *State
	first           uint64 // index of the first kept entry, or of the next entry after a reset; 0 before either
	minIndex        uint64 // lowest entry index allowed after a reset
	segmentMaxIndex uint64 // highest entry index in the current segment
}

// applySegment applies one segment and returns the length of its valid part in bytes.
func (rpl *replay) applySegment(path string, data []byte, number uint64, lastSegment bool) (int64, error) {
	off := 0
	rpl.segmentMaxIndex = 0
	for off < len(data) {
		payload, ok := readRecord(data[off:])
		if !ok {
			if lastSegment && !validAfter(data[off:]) {
				break
			}
			return 0, &DamageError{file: path, offset: int64(off), reason: "the record is incomplete or its checksum does not match"}
		}
		if err := rpl.applyRecord(payload, off == 0, number); err != nil {
			return 0, &DamageError{file: path, offset: int64(off), reason: err.Error()}
		}
		off += recordHeaderBytes + len(payload)
	}
	return int64(off), nil
}

func (rpl *replay) applyRecord(payload []byte, atStart bool, number uint64) error {
	return readItems(payload, func(kind byte, data []byte) error {
		if (kind == itemSegment) != atStart {
			return errors.New("the segment header is missing or misplaced")
		}
		atStart = false
		return rpl.applyItem(kind, data, number)
	})
}

func (rpl *replay) applyItem(kind byte, data []byte, number uint64) error {
	switch kind {
	case itemHardState:
		rpl.sta.hardState = &controlpb.HardState{}
		return proto.Unmarshal(data, rpl.sta.hardState)
	case itemFormation:
		rpl.sta.formation = &controlpb.Members{}
		return proto.Unmarshal(data, rpl.sta.formation)
	}
	ent, err := decodeEntry(data)
	if err != nil {
		return err
	}
	switch kind {
	case itemSegment:
		if ent.GetIndex() != number {
			return errors.Errorf("the header contains segment number %d", ent.GetIndex())
		}
		return nil
	case itemReset:
		rpl.first, rpl.minIndex = ent.GetIndex()+1, ent.GetIndex()+1
		rpl.sta.entries = nil
		return nil
	case itemEntry:
		return rpl.applyEntry(ent)
	default:
		return errors.Errorf("unknown item kind %d", kind)
	}
}

func (rpl *replay) applyEntry(ent *controlpb.Entry) error {
	idx, ents := ent.GetIndex(), rpl.sta.entries
	rpl.segmentMaxIndex = max(rpl.segmentMaxIndex, idx)
	next := rpl.first + uint64(len(ents))
	switch {
	case idx == 0 || (rpl.first != 0 && idx > next) || idx < rpl.minIndex:
		return errors.Errorf("entry %d does not follow entries %d to %d", idx, rpl.first, next-1)
	case rpl.first == 0 || idx < rpl.first:
		// The earlier entries were removed with an older segment, and then replaced from a lower index on.
		rpl.first, rpl.sta.entries = idx, []*controlpb.Entry{ent}
	default:
		rpl.sta.entries = append(ents[:idx-rpl.first], ent)
	}
	return nil
}

// applySnapshot drops the entries that the snapshot replaces, and reports whether a reset must be written to the log.
func (rpl *replay) applySnapshot(dir string) (bool, error) {
	snp, ents := rpl.sta.snapshot, rpl.sta.entries
	idx := snp.GetIndex()
	first, last := rpl.first, rpl.first+uint64(len(ents))-1
	if first > idx+1 {
		// Entries were removed or replaced because of a snapshot that is missing now.
		reason := fmt.Sprintf("entries begin at %d but no snapshot covers entry %d", first, first-1)
		return false, &DamageError{file: filepath.Join(dir, snapshotName(first-1)), reason: reason}
	}
	if len(ents) == 0 {
		return idx > 0 && first != idx+1, nil
	}
	if idx > last || (idx >= first && ents[idx-first].GetTerm() != snp.GetTerm()) {
		rpl.sta.entries = nil
		return true, nil
	}
	return false, nil
}
