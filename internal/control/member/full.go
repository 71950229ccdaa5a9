package member

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/control/wal"
)

const (
	// fullPause is the time between two tries to write to a full disk, a tenth of what an election takes at most.
	fullPause = 50 * time.Millisecond
	// snapshotPause is the time between two tries to save a snapshot on a full disk.
	snapshotPause = time.Second
)

// storeWithRoom makes a Ready durable. While the disk is full nothing of it is sent, so that this process neither votes, acknowledges nor leads, and callers are told so at once; it goes on as soon as there is room.
func (grp *Group) storeWithRoom(ctx context.Context, rdy *raft.Ready) error {
	var fle *wal.FullError
	err := grp.store(rdy)
	if !errors.As(err, &fle) {
		return err
	}
	grp.opt.Logger.Errorf("member: the disk is full, this process takes no part in the log: %v", err)
	begin := time.Now()
	for errors.As(err, &fle) {
		grp.leave()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fullPause):
		}
		err = grp.store(rdy)
	}
	if err == nil {
		grp.setFull(false)
		grp.opt.Logger.Infof("member: the disk has room again after %s", time.Since(begin).Round(time.Millisecond))
	}
	return err
}

// leave tells callers that this process does not lead, and drops messages of other members, which send them again.
func (grp *Group) leave() {
	grp.setFull(true)
	grp.failWaiting(siskinrill.NewNotLeaderError(""))
	for {
		select {
		case <-grp.inbox:
		case prp := <-grp.proposals:
			prp.done <- outcome{err: siskinrill.NewNotLeaderError("")}
		case cfm := <-grp.confirms:
			cfm.done <- siskinrill.NewNotLeaderError("")
		default:
			grp.failConfirms(siskinrill.NewNotLeaderError(""))
			return
		}
	}
}

func (grp *Group) setFull(full bool) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	grp.pub.full = full
	if full {
		grp.pub.leave()
	}
}

// DiskFull reports whether this process takes no part in the log because its disk is full.
func (grp *Group) DiskFull() bool {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.full
}

// skipSnapshot puts a snapshot off for which the disk has no room; the log is kept meanwhile.
func (grp *Group) skipSnapshot(err error) error {
	var fle *wal.FullError
	if !errors.As(err, &fle) {
		return err
	}
	grp.snapshotFailed = time.Now()
	grp.opt.Logger.Warnf("member: the snapshot is put off: %v", err)
	return nil
}
