package actor

import (
	"cmp"
	"net/http"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

const (
	// defaultHeadBytes is the default limit of the head of a request in bytes.
	defaultHeadBytes = 64 << 10
	// defaultHeadLines is the default limit of its lines, which no head of the default size exceeds.
	defaultHeadLines = defaultHeadBytes / len("a:\r\n")
	// defaultWriteTime limits one write of a response, of 16 KiB at most, without a deadline of its own. A caller that reads more
	// slowly does not want the answer.
	defaultWriteTime = 30 * time.Second
	// maxHeadBytes is the largest head in bytes that any limit allows.
	maxHeadBytes = 1 << 20
)

// Limits are what an HTTP server accepts of its callers; fields that are zero have defaults.
type Limits struct {
	// HeadBytes returns the limit of the head of a request in bytes, 0 for the default of 64 KiB.
	HeadBytes func() int
	// HeadLines is the limit of its lines, 16384 by default.
	HeadLines int
	// Memory is for the heads of all requests together, that of the process by default.
	Memory *ingress.Memory
	// HeadTime returns the time for a head from its first byte on, 0 for the default of 10 s.
	HeadTime func() time.Duration
	// IdleTime returns how long a connection may be idle after a response, 0 for any time.
	IdleTime func() time.Duration
	// WriteTime limits each write of a response that has no deadline of its own, 30 s by default.
	WriteTime time.Duration
	// Connections is the number of open connections above which those are closed that wait for their callers; by default what
	// the process may use.
	Connections int
	// Refusal answers a request whose head was refused; by default with a line of text.
	Refusal func(err *ingress.HeadError) http.Handler
}

func (lim Limits) withDefaults() Limits {
	lim.WriteTime = cmp.Or(lim.WriteTime, defaultWriteTime)
	lim.HeadLines = cmp.Or(lim.HeadLines, defaultHeadLines)
	lim.Memory = cmp.Or(lim.Memory, ingress.Heads())
	if lim.HeadBytes == nil {
		lim.HeadBytes = func() int { return 0 }
	}
	if lim.HeadTime == nil {
		lim.HeadTime = func() time.Duration { return 0 }
	}
	if lim.IdleTime == nil {
		lim.IdleTime = func() time.Duration { return 0 }
	}
	if lim.Connections == 0 {
		lim.Connections = ingress.Resources{}.OtherConnections()
	}
	if lim.Refusal == nil {
		lim.Refusal = refuseAsText
	}
	return lim
}

// headTime returns the time for a head.
func (lim *Limits) headTime() time.Duration { return cmp.Or(lim.HeadTime(), headerTimeout) }

// head returns the limits of a head.
func (lim *Limits) head() ingress.Limits {
	size := cmp.Or(lim.HeadBytes(), defaultHeadBytes)
	return ingress.Limits{Bytes: min(size, maxHeadBytes), Lines: lim.HeadLines}
}
