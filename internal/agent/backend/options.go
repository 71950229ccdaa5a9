package backend

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Limits and times of the connection to the backend server.
const (
	// maxIdle is the longest idle time of a connection that is used again; older ones may have gone silent.
	maxIdle = 200 * time.Millisecond
	// dialTimeout is under the lease reserve of 200 ms, so that a slow connect cannot use up the reserve.
	dialTimeout = 100 * time.Millisecond
	// announceExpiry is how long an announcement stands; it is repeated every second.
	announceExpiry = 5 * time.Second
	// silence is the time without an answer, with requests running, after which the server is probed.
	silence = time.Second
	// probeGap is the time between the two probes that must both fail.
	probeGap = 250 * time.Millisecond
	// probeTimeout bounds one probe of the health endpoint.
	probeTimeout = 250 * time.Millisecond
	// grantsTimeout bounds one call of the grants endpoint.
	grantsTimeout = 500 * time.Millisecond
	// tickInterval is how often expiry and silence are checked.
	tickInterval = 100 * time.Millisecond
	// wholeAnswer is the longest answer that is read before Do returns; longer ones are streamed.
	wholeAnswer = 64 << 10
	// maxFailures is how many requests in a row may end without an answer before the server counts as failed even though its health endpoint answers.
	maxFailures = 8
	// failedHold is the shortest time between a failure and the next use of the server; it doubles up to failedHoldMax, because a health endpoint that misleads would otherwise bring the server back at once.
	failedHold = 500 * time.Millisecond
	// failedHoldMax is the longest time between a failure and the next use of the server.
	failedHoldMax = 30 * time.Second
	// defaultTimeout bounds a request that names no timeout.
	defaultTimeout = 30 * time.Second
)

// Options configure a client; every field may be zero.
type Options struct {
	// OnUpstream is told the backend server and its state whenever they change; calls do not overlap.
	OnUpstream func(ups *controlpb.Upstream)
	// OnDrain is called once when the backend server announces that it is leaving.
	OnDrain func()
	// Draining reports whether this upstream drains, for the answer to announcements; default: the server's own wish.
	Draining func() bool
	// MayStop reports whether the agent owns nothing and has no request in flight, for the answer to announcements; default: never.
	MayStop func() bool
}
