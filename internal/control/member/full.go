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
	// fullDiskRetryInterval is the time between attempts to write to a full disk, a tenth of the
	// maximum election timeout.
	fullDiskRetryInterval = 50 * time.Millisecond
	// slowStore is the time to store a batch from which it is logged: the longest election timeout, after which others may elect
	// a leader because this process sends nothing.
	slowStore = 500 * time.Millisecond
	// snapshotRetryInterval is the time between attempts to save a snapshot on a full disk.
	snapshotRetryInterval = time.Second
)

// storeWithRetry makes a Ready durable and retries while the disk is full. Until it succeeds, the messages that depend
// on it are not sent, so this process neither votes, acknowledges nor leads, and its callers are refused immediately.
func (grp *Group) storeWithRetry(ctx context.Context, rdy *raft.Ready) error {
	return grp.retryWhileFull(ctx, func() error {
		begin := time.Now()
		defer func() { grp.recordStore(time.Since(begin)) }()
		return grp.store(rdy)
	})
}

// recordStore keeps how long the slowest batch took to store, and logs a slow one: a disk that stalls looks like a lost host.
func (grp *Group) recordStore(took time.Duration) {
	if took >= slowStore {
		grp.opt.Logger.Warnf("member: the disk took %s to store a batch, nothing was sent meanwhile", took.Round(time.Millisecond))
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	grp.pub.slowestStore = max(grp.pub.slowestStore, took)
}

// SlowestStore returns the longest time that the disk took to store a batch since the start.
func (grp *Group) SlowestStore() time.Duration {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.slowestStore
}

// retryWhileFull repeats a write to the log until the disk has room for it, and refuses callers meanwhile.
func (grp *Group) retryWhileFull(ctx context.Context, write func() error) error {
	var dfe *wal.DiskFullError
	err := write()
	if !errors.As(err, &dfe) {
		return err
	}
	grp.opt.Logger.Errorf("member: the disk is full, this process takes no part in replication: %v", err)
	fullSince := time.Now()
	for errors.As(err, &dfe) {
		grp.refuseCallers()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fullDiskRetryInterval):
		}
		err = write()
	}
	if err == nil {
		grp.setDiskFull(false)
		grp.opt.Logger.Infof("member: disk space is available again after %s", time.Since(fullSince).Round(time.Millisecond))
	}
	return err
}

// refuseCallers answers callers that this process does not lead, and drops messages from other
// members, which send them again.
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

// DiskFull reports whether this process takes no part in replication because its disk is full.
func (grp *Group) DiskFull() bool {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.pub.diskFull
}

// postponeSnapshot ignores a failure to save a snapshot on a full disk; the log is kept until a later attempt succeeds.
func (grp *Group) postponeSnapshot(err error) error {
	var dfe *wal.DiskFullError
	if !errors.As(err, &dfe) {
		return err
	}
	grp.snapshotFailedAt = time.Now()
	grp.opt.Logger.Warnf("member: snapshot postponed: %v", err)
	return nil
}
