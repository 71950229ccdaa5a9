package wal

import (
	"path/filepath"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// SaveSnapshot makes a snapshot durable and then removes older ones; a *WriteError makes the log unusable, a
// *DiskFullError leaves it unchanged.
func (lg *Log) SaveSnapshot(snp *controlpb.Snapshot) error {
	if err := lg.Confirm(); err != nil {
		return err
	}
	name := snapshotName(snp.GetIndex())
	data, err := proto.MarshalOptions{}.MarshalAppend(newRecord(nil), snp)
	if err == nil {
		err = sealRecord(data)
	}
	if err != nil {
		return lg.fail("encoding", name, err)
	}
	if err := lg.replaceFile(name, data); err != nil {
		return err
	}
	return lg.removeSnapshots(snp.GetIndex())
}

func (lg *Log) removeSnapshots(before uint64) error {
	names, err := lg.opt.FileSystem.ReadDir(lg.opt.Dir)
	if err != nil {
		return lg.fail("listing", lg.opt.Dir, err)
	}
	for _, idx := range fileNumbers(names, snapshotSuffix) {
		if idx >= before {
			continue
		}
		path := filepath.Join(lg.opt.Dir, snapshotName(idx))
		if err := lg.opt.FileSystem.Remove(path); err != nil {
			return lg.fail("removal", path, err)
		}
	}
	return nil
}

// LoadSnapshot reads the snapshot with an index, including its data.
func (lg *Log) LoadSnapshot(idx uint64) (*controlpb.Snapshot, error) {
	path := filepath.Join(lg.opt.Dir, snapshotName(idx))
	data, err := lg.opt.FileSystem.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a snapshot")
	}
	payload, ok := readRecord(data)
	if !ok || len(payload)+recordHeaderBytes != len(data) {
		return nil, &DamageError{file: path, reason: "the record is incomplete or its checksum does not match"}
	}
	snp := &controlpb.Snapshot{}
	if err := proto.Unmarshal(payload, snp); err != nil {
		return nil, &DamageError{file: path, reason: err.Error()}
	}
	if snp.GetIndex() != idx {
		return nil, &DamageError{file: path, reason: "the index differs from the file name"}
	}
	return snp, nil
}

// readSnapshots loads the newest snapshot. A file only gets its final name once it is complete, so an invalid
// snapshot is reported as damage.
func (lg *Log) readSnapshots(sta *State, names []string) error {
	nums := fileNumbers(names, snapshotSuffix)
	if len(nums) == 0 {
		return nil
	}
	snp, err := lg.LoadSnapshot(nums[len(nums)-1])
	if err != nil {
		return err
	}
	sta.snapshot = snp
	return nil
}
