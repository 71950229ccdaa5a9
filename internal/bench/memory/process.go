package memory

import (
	"bytes"
	"fmt"
	"os"
	"strconv"

	"github.com/go-faster/errors"
)

// ProcessPeak returns the most resident memory in bytes that a process has had.
func ProcessPeak(pid int) (uint64, error) {
	dat, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the state of the process")
	}
	_, rest, found := bytes.Cut(dat, []byte("VmHWM:"))
	val, _, ends := bytes.Cut(rest, []byte(" kB"))
	if !found || !ends {
		return 0, errors.Errorf("process %d has no resident memory", pid)
	}
	num, err := strconv.ParseUint(string(bytes.TrimSpace(val)), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read the resident memory")
	}
	return num << 10, nil
}

// ProcessDescriptors returns the number of open descriptors of a process.
func ProcessDescriptors(pid int) (int, error) {
	ents, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read the descriptors of the process")
	}
	return len(ents), nil
}
