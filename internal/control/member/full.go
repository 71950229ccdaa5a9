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
	// fullDiskRetryInterval is the time between two tries to write to a full disk, a tenth of what an election takes at most.
	fullDiskRetryInterval = 50 * time.Millisecond
	// snapshotRetryInterval is the time between two tries to save a snapshot on a full disk.
	snapshotRetryInterval = time.Second
)

// storeWithRetry makes a Ready durable. While the disk is full nothing of it is sent, so that this process neither votes, acknowledges nor leads, and callers are told so at once; it goes on as soon as there is room.
func (grp *Group) storeWithRetry(ctx context.Context, rdy *raft.Ready) error {
	var fle *wal.FullError
	err := grp.store(rdy)
	if !errors.As(err, &fle) {
		return err
	}
	grp.opt.Logger.Errorf("member: the disk is full, this process takes no part in the log: %v", err)
	fullSince := time.Now()
	for errors.As(err, &fle) {
		grp.refuseCallers()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fullDiskRetryInterval):
		}
		err = grp.store(rdy)
	}
	if err == nil {
		grp.setDiskFull(false)
		grp.opt.Logger.Infof("member: the disk has room again after %s", time.Since(fullSince).Round(time.Millisecond))
	}
	return err
}

// refuseCallers tells callers that this process does not lead, and drops messages of other members, which send them again.
func (grp *Group) refuseCallers() {
	grp.setDiskFull(true)
	grp.failProposals(siskinrill.NewNotLeaderError(""))
	for {
		select {
		case <-grp.inbox:
		case prp := <-grp.proposals:
			prp.done <- outcome{err: siskinrill.NewNotLeaderError("")}
		case cfm := <-grp.confirmations:
			cfm.done <- siskinrill.NewNotLeaderError("")
		default:
			grp.failConfirmations(siskinrill.NewNotLeaderError(""))
			return
		}
	}
}

func (grp *Group) setDiskFull(diskFull bool) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	grp.pub.diskFull = diskFull
	if diskFull {
		grp.pub.clearLeading()
	}
}

// DiskFull reports whether this process takes no part in the log because its disk is full.
func (grp *Group) DiskFull() bool {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.diskFull
}

// postponeSnapshot puts a snapshot off for which the disk has no room; the log is kept meanwhile.
func (grp *Group) postponeSnapshot(err error) error {
	var fle *wal.FullError
	if !errors.As(err, &fle) {
		return err
	}
	grp.snapshotFailedAt = time.Now()
	grp.opt.Logger.Warnf("member: the snapshot is put off: %v", err)
	return nil
}
