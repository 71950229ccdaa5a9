package wal

import (
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/go-faster/errors"
)

// inode is the content of a file; a crash discards the data behind synced, except for a part that tear chooses.
type inode struct {
	data   []byte
	synced int
}

// memoryFS is an in-memory file system that discards unsynced data in a crash and fails on demand.
type memoryFS struct {
	names             map[string]*inode // as the process sees them
	durable           map[string]*inode // as of the last SyncDir
	locked            bool
	freeBytes         int // bytes until the disk is full
	syncsUntilFailure int // syncs until one fails
	failOperation     string
}

var errInjected = errors.New("injected")

func newMemoryFS() *memoryFS {
	return &memoryFS{names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: 1 << 30, syncsUntilFailure: 1 << 30}
}

// crash discards unsynced data, except for as many bytes of each file as tear returns.
func (mem *memoryFS) crash(tear func(unsynced int) int) {
	mem.names = maps.Clone(mem.durable)
	for _, ino := range mem.names {
		ino.data = ino.data[:ino.synced+tear(len(ino.data)-ino.synced)]
		ino.synced = len(ino.data)
	}
	mem.locked, mem.failOperation = false, ""
}

func (mem *memoryFS) MkdirAll(string) error { return nil }

func (mem *memoryFS) ReadDir(string) ([]string, error) {
	var names []string
	for path := range mem.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (mem *memoryFS) ReadFile(path string) ([]byte, error) {
	ino := mem.names[path]
	if ino == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(ino.data), nil
}

func (mem *memoryFS) Create(path string) (File, error) {
	if mem.failOperation == "create" {
		return nil, errInjected
	}
	mem.names[path] = &inode{}
	return &memoryFile{mem: mem, ino: mem.names[path]}, nil
}

func (mem *memoryFS) Append(path string) (File, error) {
	return &memoryFile{mem: mem, ino: mem.names[path]}, nil
}

func (mem *memoryFS) Truncate(path string, size int64) error {
	ino := mem.names[path]
	ino.data, ino.synced = ino.data[:size], int(size)
	return nil
}

func (mem *memoryFS) Rename(from, to string) error {
	if mem.failOperation == "rename" {
		return errInjected
	}
	mem.names[to] = mem.names[from]
	delete(mem.names, from)
	return nil
}

func (mem *memoryFS) Remove(path string) error {
	delete(mem.names, path)
	return nil
}

func (mem *memoryFS) SyncDir(string) error {
	if mem.failOperation == "sync directory" {
		return errInjected
	}
	mem.durable = maps.Clone(mem.names)
	return nil
}

func (mem *memoryFS) Lock(string) (io.Closer, error) {
	if mem.locked {
		return nil, errInjected
	}
	mem.locked = true
	return unlocker{mem}, nil
}

type unlocker struct{ mem *memoryFS }

func (unl unlocker) Close() error {
	unl.mem.locked = false
	return nil
}

type memoryFile struct {
	mem *memoryFS
	ino *inode
}

func (mfl *memoryFile) Write(data []byte) (int, error) {
	num := min(len(data), mfl.mem.freeBytes)
	mfl.mem.freeBytes -= num
	mfl.ino.data = append(mfl.ino.data, data[:num]...)
	if num < len(data) {
		return num, syscall.ENOSPC
	}
	return num, nil
}

func (mfl *memoryFile) Sync() error {
	if mfl.mem.syncsUntilFailure--; mfl.mem.syncsUntilFailure < 0 {
		return syscall.EIO
	}
	mfl.ino.synced = len(mfl.ino.data)
	return nil
}

func (mfl *memoryFile) Close() error { return nil }
