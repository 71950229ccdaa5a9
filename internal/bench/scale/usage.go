package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// clockTicks is the number of clock ticks per second in /proc/PID/stat on Linux.
const clockTicks = 100

// Usage is the processor time and the resident memory of a process.
type Usage struct {
	cpu time.Duration
	rss int64
}

// CPU returns the processor time, user and system, since the start of the process.
func (usg Usage) CPU() time.Duration { return usg.cpu }

// RSS returns the resident memory in bytes.
func (usg Usage) RSS() int64 { return usg.rss }

// ReadUsage reads the usage of a process from /proc/PID/stat, so it works on Linux only.
func ReadUsage(pid int) (Usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process usage")
	}
	// The command name in parentheses may contain blanks; field 3 follows the last parenthesis.
	fld := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	num := func(pos int) int64 {
		val, _ := strconv.ParseInt(fld[pos-3], 10, 64)
		return val
	}
	ticks := num(14) + num(15)
	return Usage{cpu: time.Duration(ticks) * time.Second / clockTicks, rss: num(24) * int64(os.Getpagesize())}, nil
}
