package wal

import (
	"fmt"
	"syscall"

	"github.com/go-faster/errors"
)

// DamageError tells that a file holds something else than what was synced; the process must not start on it.
type DamageError struct {
	file   string
	offset int64
	reason string
}

// File returns the path of the damaged or missing file.
func (dme *DamageError) File() string { return dme.file }

// Offset returns the position of the first damaged record in bytes.
func (dme *DamageError) Offset() int64 { return dme.offset }

// Error names the file and the offset.
func (dme *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: %s", dme.file, dme.offset, dme.reason)
}

// WriteError tells that a write or sync failed; the log stays unusable because the state of the file is not known.
type WriteError struct {
	operation string
	file      string
	cause     error
}

// Operation returns what failed, such as write or sync.
func (wre *WriteError) Operation() string { return wre.operation }

// File returns the path of the file or directory.
func (wre *WriteError) File() string { return wre.file }

// Unwrap returns the cause.
func (wre *WriteError) Unwrap() error { return wre.cause }

// Error names the operation, the file and the cause.
func (wre *WriteError) Error() string {
	return fmt.Sprintf("%s of %s failed, the log is unusable: %v", wre.operation, wre.file, wre.cause)
}

// DiskFullError tells that the disk has no room for what was to be written; nothing of it is stored, and the same may be tried again.
type DiskFullError struct {
	file  string
	cause error
}

// File returns the path of the file.
func (dfe *DiskFullError) File() string { return dfe.file }

// Unwrap returns the cause.
func (dfe *DiskFullError) Unwrap() error { return dfe.cause }

// Error names the file.
func (dfe *DiskFullError) Error() string {
	return fmt.Sprintf("no room for %s: %v", dfe.file, dfe.cause)
}

// isFull reports whether a write was refused because the disk has no room. A sync that fails so is no such refusal: what the disk holds is not known then.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// LockedError tells that another process uses the data directory.
type LockedError struct {
	file  string
	cause error
}

// File returns the path of the lock file.
func (lke *LockedError) File() string { return lke.file }

// Unwrap returns the cause.
func (lke *LockedError) Unwrap() error { return lke.cause }

// Error names the lock file.
func (lke *LockedError) Error() string {
	return fmt.Sprintf("%s is locked by another process: %v", lke.file, lke.cause)
}

// FormedError tells that the data directory already belongs to a cluster.
type FormedError struct {
	clusterID string
}

// ClusterID returns the id of the cluster that the directory belongs to.
func (fme *FormedError) ClusterID() string { return fme.clusterID }

// Error names the cluster.
func (fme *FormedError) Error() string {
	return "the data directory already belongs to cluster " + fme.clusterID
}
