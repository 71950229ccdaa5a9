package ingress

import (
	"runtime/debug"
	"syscall"
)

const (
	// defaultMemory is the memory of a host in bytes if it is not configured.
	defaultMemory = 284 << 20
	// headShare is the part of the memory that heads beyond FreeCost may take together.
	headShare = 16
	// bodyShare is the part that bodies of operators' requests may take together.
	bodyShare = 8
	// callerBodyShare is the part that the bodies of callers' requests may take together.
	callerBodyShare = 6
	// One part in softShare of the memory is left to what the runtime does not count, such as bytes that the kernel holds.
	softShare = 8
	// connectionMemory is the memory in bytes of the host for each connection of a caller. It takes 58 KB at most: its
	// goroutines and buffers, FreeCost and bytes read ahead; the rest is for everything else and for the garbage collector.
	connectionMemory = 138 << 10
	// Of the descriptors, callers may take three eighths, and each other listener a sixteenth.
	callerShare, otherShare, shares = 6, 1, 16
	// maxDescriptors is a number of descriptors that no process uses.
	maxDescriptors = 1 << 20
	// minConnections is the least number of connections that a listener accepts.
	minConnections = 64
)

// Resources is what a process may use of its host.
type Resources struct {
	// Memory is in bytes, 0 for the default.
	Memory int64
	// Descriptors is the number of files and connections, 0 for the limit of the operating system.
	Descriptors int
}

// The memory of the process for heads, for the bodies of operators' requests and for those of callers; all its listeners share it.
var (
	heads        = NewMemory(defaultMemory / headShare)
	bodies       = NewMemory(defaultMemory / bodyShare)
	callerBodies = NewMemory(defaultMemory / callerBodyShare)
)

// Heads returns the memory of the process for heads.
func Heads() *Memory { return heads }

// CallerBodies returns the memory of the process for the parts of callers' bodies that it holds.
func CallerBodies() *Memory { return callerBodies }

// Configure sets the memory of the process for heads and bodies, and lets the garbage collector work harder near the end of a memory that is
// stated.
func Configure(res Resources) {
	heads.limit.Store(res.memory() / headShare)
	bodies.limit.Store(res.memory() / bodyShare)
	callerBodies.limit.Store(res.memory() / callerBodyShare)
	if res.Memory > 0 {
		debug.SetMemoryLimit(res.Memory / softShare * (softShare - 1))
	}
}

// CallerConnections returns how many connections of callers may be open.
func (res Resources) CallerConnections() int {
	num := min(res.descriptors()*callerShare/shares, int(res.memory()/connectionMemory))
	return max(num, minConnections)
}

// OtherConnections returns how many connections any other listener may have open.
func (res Resources) OtherConnections() int {
	return max(res.descriptors()*otherShare/shares, minConnections)
}

func (res Resources) memory() int64 {
	if res.Memory > 0 {
		return res.Memory
	}
	return defaultMemory
}

func (res Resources) descriptors() int {
	if res.Descriptors > 0 {
		return res.Descriptors
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return 0
	}
	return int(min(lim.Cur, maxDescriptors))
}
