package wal

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	lockName        = "lock"
	storeIDName     = "store_id"
	segmentSuffix   = ".wal"
	snapshotSuffix  = ".snap"
	temporarySuffix = ".tmp"
)

// Open locks the data directory and reads its state, or initialises an empty directory.
//
// What was read is durable before Open returns, unless the disk is full; Confirm makes it durable then. The error is a
// *LockedError if another process uses the directory, and a *DamageError if a file differs from what was synced.
func Open(opt Options) (*Log, *State, error) {
	if opt.FileSystem == nil {
		opt.FileSystem = HostFileSystem{}
	}
	if opt.SegmentBytes == 0 {
		opt.SegmentBytes = defaultSegmentBytes
	}
	if err := opt.FileSystem.MkdirAll(opt.Dir); err != nil {
		return nil, nil, errors.Wrap(err, "create the data directory")
	}
	path := filepath.Join(opt.Dir, lockName)
	lck, err := opt.FileSystem.Lock(path)
	if err != nil {
		return nil, nil, &LockedError{file: path, cause: err}
	}
	lg := &Log{opt: opt, lock: lck, hardState: &controlpb.HardState{}}
	sta, err := lg.open()
	if err != nil {
		_ = lg.Close()
		return nil, nil, err
	}
	return lg, sta, nil
}

func (lg *Log) open() (*State, error) {
	names, err := lg.opt.FileSystem.ReadDir(lg.opt.Dir)
	if err != nil {
		return nil, errors.Wrap(err, "read the data directory")
	}
	if err := lg.removeTemporaryFiles(names); err != nil {
		return nil, err
	}
	rpl := &replay{sta: &State{hardState: &controlpb.HardState{}}}
	if err := lg.readStoreID(); err != nil {
		return nil, err
	}
	if err := lg.readSnapshots(rpl.sta, names); err != nil {
		return nil, err
	}
	if err := lg.readSegments(rpl, names); err != nil {
		return nil, err
	}
	lg.hardState, lg.formation = rpl.sta.hardState, rpl.sta.formation
	if lg.storeID == "" {
		return rpl.sta, lg.createStore(rpl.sta)
	}
	if len(lg.segments) == 0 {
		return nil, &DamageError{file: lg.segmentPath(1), reason: "the store has no segment"}
	}
	if err := lg.resetToSnapshot(rpl); err != nil {
		return nil, err
	}
	var dfe *DiskFullError
	if err := lg.Confirm(); err != nil && !errors.As(err, &dfe) {
		return nil, err
	}
	return rpl.sta, nil
}

// createStore initialises a directory that is empty or whose initialisation was interrupted. The store id is
// written last and marks the store as complete.
func (lg *Log) createStore(sta *State) error {
	if !sta.isEmpty() {
		return &DamageError{file: filepath.Join(lg.opt.Dir, storeIDName), reason: "the file is missing"}
	}
	if err := lg.opt.FileSystem.SyncDir(filepath.Dir(lg.opt.Dir)); err != nil {
		return errors.Wrap(err, "sync the parent of the data directory")
	}
	lg.segments, lg.unconfirmed = nil, nil
	if err := lg.roll(); err != nil {
		return err
	}
	sid := uuid.NewString()
	if err := lg.replaceFile(storeIDName, []byte(sid+"\n")); err != nil {
		return err
	}
	lg.storeID = sid
	return nil
}

func (lg *Log) readStoreID() error {
	path := filepath.Join(lg.opt.Dir, storeIDName)
	data, err := lg.opt.FileSystem.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the store id")
	}
	sid, err := uuid.Parse(strings.TrimSuffix(string(data), "\n"))
	if err != nil {
		return &DamageError{file: path, reason: err.Error()}
	}
	lg.storeID = sid.String()
	return nil
}

func (lg *Log) readSegments(rpl *replay, names []string) error {
	nums := fileNumbers(names, segmentSuffix)
	for pos, num := range nums {
		path := lg.segmentPath(num)
		if pos > 0 && num != nums[pos-1]+1 {
			return &DamageError{file: lg.segmentPath(nums[pos-1] + 1), reason: "the segment is missing"}
		}
		data, err := lg.opt.FileSystem.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read a segment")
		}
		valid, err := rpl.applySegment(path, data, num, pos == len(nums)-1)
		if err != nil {
			return err
		}
		if valid == 0 && (pos > 0 || lg.storeID == "") {
			return lg.removeUnfinishedSegment(path)
		}
		if valid == 0 {
			return &DamageError{file: path, reason: "the header of the first segment is missing"}
		}
		lg.segments, lg.unconfirmed = append(lg.segments, segment{number: num, maxIndex: rpl.segmentMaxIndex}), data[:valid]
	}
	return nil
}

// removeUnfinishedSegment removes a last segment whose header was never synced, and which therefore holds no data.
func (lg *Log) removeUnfinishedSegment(path string) error {
	if err := lg.opt.FileSystem.Remove(path); err != nil {
		return errors.Wrap(err, "remove the unfinished last segment")
	}
	// errors.Wrap returns a non-nil error even for a nil one.
	if err := lg.opt.FileSystem.SyncDir(lg.opt.Dir); err != nil {
		return errors.Wrap(err, "sync the data directory")
	}
	return nil
}

func (lg *Log) removeTemporaryFiles(names []string) error {
	for _, nam := range names {
		if !strings.HasSuffix(nam, temporarySuffix) {
			continue
		}
		if err := lg.opt.FileSystem.Remove(filepath.Join(lg.opt.Dir, nam)); err != nil {
			return errors.Wrap(err, "remove a temporary file")
		}
	}
	return nil
}

// fileNumbers returns the numbers in the names of the files with a suffix, in the order of the names.
func fileNumbers(names []string, suffix string) []uint64 {
	var nums []uint64
	for _, nam := range names {
		stem, found := strings.CutSuffix(nam, suffix)
		if !found {
			continue
		}
		if num, err := strconv.ParseUint(stem, 10, 64); err == nil && num > 0 {
			nums = append(nums, num)
		}
	}
	return nums
}

// replaceFile writes a file under a temporary name, syncs it, renames it and syncs the directory.
func (lg *Log) replaceFile(name string, data []byte) error {
	fsy, path := lg.opt.FileSystem, filepath.Join(lg.opt.Dir, name)
	tmp := path + temporarySuffix
	fil, err := fsy.Create(tmp)
	if err != nil && !isFull(err) {
		return lg.fail("creation", tmp, err)
	}
	if err != nil {
		return &DiskFullError{file: tmp, cause: err}
	}
	_, err = fil.Write(data)
	if isFull(err) {
		// The partial file is overwritten by the next attempt, or removed when the log is opened.
		_ = fil.Close()
		return &DiskFullError{file: tmp, cause: err}
	}
	if err == nil {
		err = fil.Sync()
	}
	if err = errors.Join(err, fil.Close()); err != nil {
		return lg.fail("write", tmp, err)
	}
	if err := fsy.Rename(tmp, path); err != nil {
		return lg.fail("rename", path, err)
	}
	if err := fsy.SyncDir(lg.opt.Dir); err != nil {
		return lg.fail("sync", lg.opt.Dir, err)
	}
	return nil
}

func snapshotName(idx uint64) string { return fmt.Sprintf("%020d%s", idx, snapshotSuffix) }
