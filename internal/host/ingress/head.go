package ingress

import (
	"bytes"
	"fmt"
	"net/http"
)

// Reasons of a HeadError, which also name the counters.
const (
	ReasonBytes  = "head_bytes"  // the head is over the limit of bytes
	ReasonLines  = "head_lines"  // it is over the limit of lines
	ReasonMemory = "head_memory" // heads have taken all memory that is left for them
)

// Limits are those of a single head.
type Limits struct {
	// Bytes is the size of the first line and that of all others.
	Bytes int
	// Lines is the number of lines.
	Lines int
}

// HeadError is the refusal of a head.
type HeadError struct {
	reason string
	size   int
	lines  int
}

// Reason returns the reason in snake case.
func (hee *HeadError) Reason() string { return hee.reason }

// Status returns the HTTP status of the refusal; 503 tells the caller to try again.
func (hee *HeadError) Status() int {
	if hee.reason == ReasonMemory {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestHeaderFieldsTooLarge
}

// Error returns the reason with the part of the head that was read.
func (hee *HeadError) Error() string {
	return fmt.Sprintf("%s: a head of more than %d bytes in %d lines", hee.reason, hee.size, hee.lines)
}

// Head counts the head of a request while it arrives and holds memory for it. It is not safe for concurrent use.
type Head struct {
	mem      *Memory
	scn      Scanner
	size     int
	first    int // bytes of the first line
	lines    int
	held     int64
	complete bool
}

// NewHead returns a head of which nothing has arrived.
func NewHead(mem *Memory) Head { return Head{mem: mem} }

// Complete reports whether the whole head has arrived.
func (hea *Head) Complete() bool { return hea.complete }

// Add counts bytes that were read. Those behind the end of the head do not count, unless they are read for the same head all the same.
// The error is a *HeadError.
func (hea *Head) Add(dat []byte, lim Limits) error {
	if !hea.complete {
		if end := hea.scn.End(dat); end > 0 {
			dat, hea.complete = dat[:end], true
		}
	}
	if hea.lines == 0 {
		hea.first += firstLine(dat)
	}
	hea.size += len(dat)
	hea.lines += Lines(dat)
	return hea.check(lim)
}

// firstLine returns the number of bytes up to the end of the first line.
func firstLine(dat []byte) int {
	if idx := bytes.IndexByte(dat, '\n'); idx >= 0 {
		return idx + 1
	}
	return len(dat)
}

func (hea *Head) check(lim Limits) error {
	switch {
	case hea.first > lim.Bytes || hea.size-hea.first > lim.Bytes:
		return hea.refuse(ReasonBytes)
	case hea.lines > lim.Lines:
		return hea.refuse(ReasonLines)
	}
	if more := Cost(hea.size, hea.lines) - FreeCost - hea.held; more > 0 {
		if !hea.mem.Take(more) {
			return hea.refuse(ReasonMemory)
		}
		hea.held += more
	}
	return nil
}

func (hea *Head) refuse(rsn string) error {
	return &HeadError{reason: rsn, size: hea.size, lines: hea.lines}
}

// Reset gives back the memory and waits for the next head.
func (hea *Head) Reset() {
	if hea.held > 0 {
		hea.mem.Return(hea.held)
	}
	*hea = Head{mem: hea.mem}
}
