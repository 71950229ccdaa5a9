package ingress

import "sync/atomic"

const (
	// costPerByte and costPerLine are what a byte and a line of a head take in bytes of memory in all its forms together: read,
	// parsed, copied for the next hop, encoded and read there again.
	costPerByte = 4
	costPerLine = 300
	// FreeCost is the cost of a head that each connection may hold in any case, enough for 30 ordinary lines.
	FreeCost = 16 << 10
)

// Cost returns the memory in bytes that a head takes.
func Cost(size, lines int) int64 { return int64(size)*costPerByte + int64(lines)*costPerLine }

// Memory is a number of bytes that heads may take together; it is safe for concurrent use.
type Memory struct {
	limit atomic.Int64
	used  atomic.Int64
}

// NewMemory returns memory of a number of bytes.
func NewMemory(limit int64) *Memory {
	mem := &Memory{}
	mem.limit.Store(limit)
	return mem
}

// Used returns how many bytes are taken.
func (mem *Memory) Used() int64 { return mem.used.Load() }

// Take takes a number of bytes, or returns false if they are not left.
func (mem *Memory) Take(num int64) bool {
	if mem.used.Add(num) > mem.limit.Load() && num > 0 {
		mem.used.Add(-num)
		return false
	}
	return true
}

// Return gives back bytes that were taken.
func (mem *Memory) Return(num int64) { mem.used.Add(-num) }

// TakeHead takes the memory for a head of which all bytes have arrived. It returns how much it took, to be given back when the
// request has ended, or false if that is not left.
func (mem *Memory) TakeHead(size, lines int) (int64, bool) {
	num := max(Cost(size, lines)-FreeCost, 0)
	return num, mem.Take(num)
}
