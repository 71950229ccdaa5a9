package wal

import (
	"io"
	"os"
	"slices"

	"golang.org/x/sys/unix"
)

// File is an open file for writing at its end.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
}

// FileSystem contains the file operations that the log uses; a created, renamed or removed name
// is durable after SyncDir.
type FileSystem interface {
	MkdirAll(path string) error
	// ReadDir returns the sorted names in a directory.
	ReadDir(path string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file, Append an existing one.
	Create(path string) (File, error)
	Append(path string) (File, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(path string) error
	// Lock takes an exclusive lock, which is released by Close or when the process ends.
	Lock(path string) (io.Closer, error)
}

const (
	fileMode      = 0o600
	directoryMode = 0o700
)

// HostFileSystem is the file system of the host.
type HostFileSystem struct{}

// MkdirAll creates a directory and its parents.
func (HostFileSystem) MkdirAll(path string) error { return os.MkdirAll(path, directoryMode) }

// ReadDir returns the sorted names in a directory.
func (HostFileSystem) ReadDir(path string) ([]string, error) {
	ents, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(ents))
	for _, ent := range ents {
		names = append(names, ent.Name())
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile returns the content of a file.
func (HostFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create opens a file for writing and empties it if it exists.
func (HostFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
}

// Append opens an existing file for writing at its end.
func (HostFileSystem) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate shortens a file to a size in bytes and syncs it.
func (HostFileSystem) Truncate(path string, size int64) error {
	fil, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer fil.Close()
	if err := fil.Truncate(size); err != nil {
		return err
	}
	return fil.Sync()
}

// Rename moves a file, replacing the one at the new path.
func (HostFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (HostFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a directory durable.
func (HostFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Lock takes an exclusive lock on a file without waiting.
func (HostFileSystem) Lock(path string) (io.Closer, error) {
	fil, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(fil.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		fil.Close()
		return nil, err
	}
	return fil, nil
}
