package wal

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// defaultSegmentBytes holds about 20,000 entries of 200 bytes per file, so that few files exist at a time.
const defaultSegmentBytes = 4 << 20

// Options are the settings of a log.
type Options struct {
	Dir          string     // data directory, created if missing
	FileSystem   FileSystem // default the host's file system
	SegmentBytes int64      // size after which a new segment begins; default 4 MiB
}

// segment is one file of records.
type segment struct {
	number   uint64
	maxIndex uint64 // highest entry index in it
}

// Log stores the durable state of one member; it is not safe for concurrent use.
type Log struct {
	opt       Options
	lock      io.Closer
	storeID   string
	file      File
	size      int64
	segments  []segment // oldest first; the last one is open for writing
	hardState *controlpb.HardState
	formation *controlpb.Members
	buffer    []byte
	written   int64
	mayBeTorn bool // a failed write on a full disk may have left part of a record at the end
	failure   error

	unconfirmed []byte // valid content of the last segment until Confirm has made it durable; nil afterwards
}

// Batch is the data that one Append makes durable.
type Batch struct {
	HardState *controlpb.HardState // nil when unchanged
	Reset     *controlpb.Snapshot  // installed snapshot that replaces all entries, or nil
	Entries   []*controlpb.Entry   // replace the stored entries from the first index on
}

// StoreID returns the random id of the data directory, which identifies this store in the cluster.
func (lg *Log) StoreID() string { return lg.storeID }

// Written returns the bytes of the records written since Open.
func (lg *Log) Written() int64 { return lg.written }

// Append makes a batch durable with one write and one sync; a *WriteError makes the log unusable, a
// *DiskFullError leaves it unchanged.
func (lg *Log) Append(bat Batch) error {
	err := lg.write(func(buf []byte) ([]byte, error) { return encodeBatch(buf, bat, &lg.segments[len(lg.segments)-1]) })
	if err == nil && bat.HardState != nil {
		lg.hardState = bat.HardState
	}
	return err
}

func encodeBatch(buf []byte, bat Batch, seg *segment) ([]byte, error) {
	var err error
	if bat.HardState != nil {
		if buf, err = addItem(buf, itemHardState, bat.HardState); err != nil {
			return nil, err
		}
	}
	if bat.Reset != nil {
		mrk := &controlpb.Entry{Index: bat.Reset.GetIndex(), Term: bat.Reset.GetTerm()}
		if buf, err = addItem(buf, itemReset, mrk); err != nil {
			return nil, err
		}
	}
	for _, ent := range bat.Entries {
		seg.maxIndex = max(seg.maxIndex, ent.GetIndex())
		if buf, err = addItem(buf, itemEntry, ent); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// Form atomically records the cluster that the directory belongs to and the first batch of its log; the error is a
// *FormedError if it already belongs to one.
func (lg *Log) Form(mbs *controlpb.Members, bat Batch) error {
	if lg.formation != nil {
		return &FormedError{clusterID: lg.formation.GetClusterId()}
	}
	err := lg.write(func(buf []byte) ([]byte, error) {
		buf, err := addItem(buf, itemFormation, mbs)
		if err != nil {
			return nil, err
		}
		return encodeBatch(buf, bat, &lg.segments[len(lg.segments)-1])
	})
	if err != nil {
		return err
	}
	lg.formation = mbs
	if bat.HardState != nil {
		lg.hardState = bat.HardState
	}
	return nil
}

// write appends one record and syncs it, beginning a new segment first if the last one is full.
func (lg *Log) write(fill func([]byte) ([]byte, error)) error {
	if err := lg.Confirm(); err != nil {
		return err
	}
	if lg.size >= lg.opt.SegmentBytes {
		if err := lg.roll(); err != nil {
			return err
		}
	}
	return lg.writeRecord(fill)
}

func (lg *Log) writeRecord(fill func([]byte) ([]byte, error)) error {
	path := lg.segmentPath(lg.segments[len(lg.segments)-1].number)
	buf, err := fill(newRecord(lg.buffer))
	if err != nil {
		return lg.fail("encoding", path, err)
	}
	if len(buf) == recordHeaderBytes {
		return nil
	}
	if err := sealRecord(buf); err != nil {
		return lg.fail("encoding", path, err)
	}
	lg.buffer = buf
	if err := lg.truncateTorn(path); err != nil {
		return err
	}
	if _, err := lg.file.Write(buf); err != nil {
		return lg.undoWrite(path, err)
	}
	if err := lg.file.Sync(); err != nil {
		return lg.fail("sync", path, err)
	}
	lg.size += int64(len(buf))
	lg.written += int64(len(buf))
	return nil
}

// undoWrite removes the part of a record that a failed write may have left, if the only cause is a full disk.
func (lg *Log) undoWrite(path string, cause error) error {
	if !isFull(cause) {
		return lg.fail("write", path, cause)
	}
	lg.mayBeTorn = true
	if err := lg.truncateTorn(path); err != nil {
		return err
	}
	return &DiskFullError{file: path, cause: cause}
}

// truncateTorn truncates the last segment to its valid length after a failed write.
func (lg *Log) truncateTorn(path string) error {
	if !lg.mayBeTorn {
		return nil
	}
	err := lg.opt.FileSystem.Truncate(path, lg.size)
	switch {
	case err == nil:
		lg.mayBeTorn = false
		return nil
	case isFull(err):
		return &DiskFullError{file: path, cause: err}
	default:
		return lg.fail("truncation", path, err)
	}
}

// fail makes the log unusable and returns the first failure.
func (lg *Log) fail(operation, file string, cause error) error {
	if lg.failure == nil {
		lg.failure = &WriteError{operation: operation, file: file, cause: cause}
	}
	return lg.failure
}

// roll begins the next segment, which repeats the hard state and formation so that older segments can be removed.
// On a full disk the last segment remains in use.
func (lg *Log) roll() error {
	num := uint64(1)
	if len(lg.segments) > 0 {
		num = lg.segments[len(lg.segments)-1].number + 1
	}
	path := lg.segmentPath(num)
	fil, err := lg.opt.FileSystem.Create(path)
	if err != nil && !isFull(err) {
		return lg.fail("creation", path, err)
	}
	if err != nil {
		return lg.abortRoll(path, &DiskFullError{file: path, cause: err})
	}
	old, size := lg.file, lg.size
	lg.file, lg.size = fil, 0
	lg.segments = append(lg.segments, segment{number: num})
	err = lg.writeRecord(lg.segmentHeader(num))
	var dfe *DiskFullError
	if errors.As(err, &dfe) {
		lg.file, lg.size, lg.mayBeTorn = old, size, false
		lg.segments = lg.segments[:len(lg.segments)-1]
		return lg.abortRoll(path, errors.Join(err, fil.Close()))
	}
	if err != nil {
		return err
	}
	if err := lg.opt.FileSystem.SyncDir(lg.opt.Dir); err != nil {
		return lg.fail("sync", lg.opt.Dir, err)
	}
	if old == nil {
		return nil
	}
	if err := old.Close(); err != nil {
		return lg.fail("close", lg.opt.Dir, err)
	}
	return nil
}

// abortRoll removes a segment that could not be started, and returns the cause. The removal is synced, since an
// unfinished segment behind one that is still in use would count as damage.
func (lg *Log) abortRoll(path string, cause error) error {
	if err := lg.opt.FileSystem.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return lg.fail("removal", path, err)
	}
	if err := lg.opt.FileSystem.SyncDir(lg.opt.Dir); err != nil {
		return lg.fail("sync", lg.opt.Dir, err)
	}
	return cause
}

func (lg *Log) segmentHeader(num uint64) func([]byte) ([]byte, error) {
	return func(buf []byte) ([]byte, error) {
		buf, err := addItem(buf, itemSegment, &controlpb.Entry{Index: num})
		if err == nil {
			buf, err = addItem(buf, itemHardState, lg.hardState)
		}
		if err == nil && lg.formation != nil {
			buf, err = addItem(buf, itemFormation, lg.formation)
		}
		return buf, err
	}
}

// Compact removes the oldest segments that only hold entries up to idx; a durable snapshot must cover these.
func (lg *Log) Compact(idx uint64) error {
	if err := lg.Confirm(); err != nil {
		return err
	}
	for len(lg.segments) > 1 && lg.segments[0].maxIndex <= idx {
		path := lg.segmentPath(lg.segments[0].number)
		if err := lg.opt.FileSystem.Remove(path); err != nil {
			return lg.fail("removal", path, err)
		}
		lg.segments = lg.segments[1:]
		// Each removal is synced before the next one, because a gap between segments counts as damage.
		if err := lg.opt.FileSystem.SyncDir(lg.opt.Dir); err != nil {
			return lg.fail("sync", lg.opt.Dir, err)
		}
	}
	return nil
}

// Close closes the files and releases the lock; everything appended is already durable.
func (lg *Log) Close() error {
	var err error
	if lg.file != nil {
		err = lg.file.Close()
	}
	if lg.failure == nil {
		lg.failure = errors.New("the log is closed")
	}
	return errors.Join(err, lg.lock.Close())
}

func (lg *Log) segmentPath(num uint64) string {
	return filepath.Join(lg.opt.Dir, fmt.Sprintf("%08d.wal", num))
}
