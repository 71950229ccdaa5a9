package wal

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// DamageError reports that a file differs from what was synced; the process must not start with it.
type DamageError struct {
	file   string
	offset int64
	reason string
}

// File returns the path of the damaged or missing file.
func (dme *DamageError) File() string { return dme.file }

// Offset returns the offset of the first damaged record in bytes.
func (dme *DamageError) Offset() int64 { return dme.offset }

// Error states the file, the offset and the reason.
func (dme *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", dme.file, dme.offset, dme.reason)
}

// WriteError reports that a write or sync failed; the log remains unusable because the state of the file is unknown.
type WriteError struct {
	operation string
	file      string
	cause     error
}

// Operation returns the operation that failed, such as write or sync.
func (wre *WriteError) Operation() string { return wre.operation }

// File returns the path of the file or directory.
func (wre *WriteError) File() string { return wre.file }

// Unwrap returns the error of the file system.
func (wre *WriteError) Unwrap() error { return wre.cause }

// Error states the operation, the file and the cause.
func (wre *WriteError) Error() string {
	return fmt.Sprintf("%s of %s failed, the log is unusable: %v", wre.operation, wre.file, wre.cause)
}

// DiskFullError reports that there was not enough disk space; nothing of the data is stored, and
// the write may be retried.
type DiskFullError struct {
	file  string
	cause error
}

// File returns the path of the file that was written.
func (dfe *DiskFullError) File() string { return dfe.file }

// Unwrap returns the error of the file system.
func (dfe *DiskFullError) Unwrap() error { return dfe.cause }

// Error states the file and the cause.
func (dfe *DiskFullError) Error() string {
	return fmt.Sprintf("not enough disk space for %s: %v", dfe.file, dfe.cause)
}

// isFull reports whether a write was refused because the disk is full. It does not apply to a failed sync, after
// which the content on disk is unknown.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// LockedError reports that another process uses the data directory.
type LockedError struct {
	file  string
	cause error
}

// File returns the path of the lock file.
func (lke *LockedError) File() string { return lke.file }

// Unwrap returns the error of the lock call.
func (lke *LockedError) Unwrap() error { return lke.cause }

// Error states the lock file and the cause.
func (lke *LockedError) Error() string {
	return fmt.Sprintf("%s is locked by another process: %v", lke.file, lke.cause)
}

// FormedError reports that the data directory already belongs to a cluster.
type FormedError struct {
	clusterID string
}

// ClusterID returns the id of the cluster that the directory belongs to.
func (fme *FormedError) ClusterID() string { return fme.clusterID }

// Error states the cluster.
func (fme *FormedError) Error() string {
	return "the data directory already belongs to cluster " + fme.clusterID
}
