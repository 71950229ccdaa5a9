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

// inode is the content of a file; what follows synced is lost in a crash, except for a part that tear chooses.
type inode struct {
	data   []byte
	synced int
}

// memory is a file system that forgets what was not synced and fails on demand.
type memory struct {
	names   map[string]*inode // as the process sees them
	durable map[string]*inode // as of the newest SyncDir
	locked  bool
	room    int // bytes until the disk is full
	syncs   int // syncs until one fails
	fails   string
}

var errInjected = errors.New("injected")

func newMemory() *memory {
	return &memory{names: map[string]*inode{}, durable: map[string]*inode{}, room: 1 << 30, syncs: 1 << 30}
}

// crash leaves what was synced, and of each file the part of the rest that tear returns.
func (mem *memory) crash(tear func(unsynced int) int) {
	mem.names = maps.Clone(mem.durable)
	for _, ino := range mem.names {
		ino.data = ino.data[:ino.synced+tear(len(ino.data)-ino.synced)]
		ino.synced = len(ino.data)
	}
	mem.locked, mem.fails = false, ""
}

func (mem *memory) MkdirAll(string) error { return nil }

func (mem *memory) ReadDir(string) ([]string, error) {
	var names []string
	for path := range mem.names {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

func (mem *memory) ReadFile(path string) ([]byte, error) {
	ino := mem.names[path]
	if ino == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(ino.data), nil
}

func (mem *memory) Create(path string) (File, error) {
	if mem.fails == "create" {
		return nil, errInjected
	}
	mem.names[path] = &inode{}
	return &handle{mem: mem, ino: mem.names[path]}, nil
}

func (mem *memory) Append(path string) (File, error) {
	return &handle{mem: mem, ino: mem.names[path]}, nil
}

func (mem *memory) Truncate(path string, size int64) error {
	ino := mem.names[path]
	ino.data, ino.synced = ino.data[:size], int(size)
	return nil
}

func (mem *memory) Rename(from, to string) error {
	if mem.fails == "rename" {
		return errInjected
	}
	mem.names[to] = mem.names[from]
	delete(mem.names, from)
	return nil
}

func (mem *memory) Remove(path string) error {
	delete(mem.names, path)
	return nil
}

func (mem *memory) SyncDir(string) error {
	if mem.fails == "sync directory" {
		return errInjected
	}
	mem.durable = maps.Clone(mem.names)
	return nil
}

func (mem *memory) Lock(string) (io.Closer, error) {
	if mem.locked {
		return nil, errInjected
	}
	mem.locked = true
	return unlocker{mem}, nil
}

type unlocker struct{ mem *memory }

func (unl unlocker) Close() error {
	unl.mem.locked = false
	return nil
}

type handle struct {
	mem *memory
	ino *inode
}

func (hdl *handle) Write(data []byte) (int, error) {
	num := min(len(data), hdl.mem.room)
	hdl.mem.room -= num
	hdl.ino.data = append(hdl.ino.data, data[:num]...)
	if num < len(data) {
		return num, syscall.ENOSPC
	}
	return num, nil
}

func (hdl *handle) Sync() error {
	if hdl.mem.syncs--; hdl.mem.syncs < 0 {
		return syscall.EIO
	}
	hdl.ino.synced = len(hdl.ino.data)
	return nil
}

func (hdl *handle) Close() error { return nil }
