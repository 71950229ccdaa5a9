package wal

import "path/filepath"

// Confirm makes what Open has read durable, which it may not be: an earlier process may have ended between a write and its
// sync, or because the sync failed, after which another sync of the same file proves nothing. The last segment, the only
// file that is written in place, is therefore replaced by a copy without its torn tail. The names are synced first, since the
// copy may follow from a snapshot whose name is not durable yet.
//
// Until Confirm has succeeded nothing that Open has read may be acknowledged. A *DiskFullError leaves the log unchanged and
// the call may be repeated; a *WriteError makes the log unusable.
func (lg *Log) Confirm() error {
	if lg.failure != nil || lg.unconfirmed == nil {
		return lg.failure
	}
	if err := lg.opt.FileSystem.SyncDir(lg.opt.Dir); err != nil {
		return lg.fail("sync", lg.opt.Dir, err)
	}
	path := lg.segmentPath(lg.segments[len(lg.segments)-1].number)
	if err := lg.replaceFile(filepath.Base(path), lg.unconfirmed); err != nil {
		return err
	}
	fil, err := lg.opt.FileSystem.Append(path)
	if err != nil {
		return lg.fail("opening", path, err)
	}
	lg.file, lg.size, lg.unconfirmed = fil, int64(len(lg.unconfirmed)), nil
	return nil
}

// resetToSnapshot adds a reset to the last segment if the snapshot replaces the entries that were read.
func (lg *Log) resetToSnapshot(rpl *replay) error {
	reset, err := rpl.applySnapshot(lg.opt.Dir)
	if err != nil || !reset {
		return err
	}
	rec, err := encodeBatch(newRecord(nil), Batch{Reset: rpl.sta.snapshot}, &lg.segments[len(lg.segments)-1])
	if err != nil {
		return err
	}
	if err := sealRecord(rec); err != nil {
		return err
	}
	lg.unconfirmed = append(lg.unconfirmed, rec...)
	return nil
}
