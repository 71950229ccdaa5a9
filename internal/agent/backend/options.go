package backend

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Limits and times of the connection to the backend server.
const (
	// maxIdle is the default of Options.MaxIdle.
	maxIdle = 200 * time.Millisecond
	// maxStartDelay is how long after its hand-over a request may start; it covers a new connection and the server's own queue.
	maxStartDelay = 300 * time.Millisecond
	// dialTimeout is under the lease reserve of 200 ms, so that a slow connect cannot use up the reserve.
	dialTimeout = 100 * time.Millisecond
	// announceExpiry is how long an announcement stands; it is repeated every second.
	announceExpiry = 5 * time.Second
	// heartbeatGrace is the age of a heartbeat over which a server that answers nothing is probed, where it sends one every second or so.
	heartbeatGrace = 1300 * time.Millisecond
	// unresponsiveTime is the time without an answer, with requests running, after which the server is probed.
	unresponsiveTime = time.Second
	// probeInterval is the time between the two probes that must both fail.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe of the health endpoint.
	probeTimeout = 250 * time.Millisecond
	// grantsTimeout bounds one call of the grants endpoint.
	grantsTimeout = 500 * time.Millisecond
	// tickInterval is how often expiry and silence are checked.
	tickInterval = 100 * time.Millisecond
	// maxBufferedAnswer is the longest answer that is read before Do returns; longer ones are streamed.
	maxBufferedAnswer = 64 << 10
	// maxAnswerHeader is the longest header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
	// maxFailures is how many requests in a row may end without an answer before the server counts as failed even though its health endpoint answers.
	maxFailures = 8
	// minFailureBackoff is the shortest time between a failure and the next use of the server; it doubles up to failedHoldMax, because a health endpoint that misleads would otherwise bring the server back at once.
	minFailureBackoff = 500 * time.Millisecond
	// maxFailureBackoff is the longest time between a failure and the next use of the server.
	maxFailureBackoff = 30 * time.Second
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
	// Owned returns the rows of this agent, for servers that take their keys by heartbeats; default: none.
	Owned func() []*controlpb.Shard
	// Lease returns the end of the agent's lease and whether it lies ahead; default: none.
	Lease func() (time.Time, bool)
	// Incoming reports whether rows of a service are on their way to this agent; answers to heartbeats wait for them a while; default: never.
	Incoming func(service string) bool
	// Service returns a service of the configuration, nil if there is none; default: none.
	Service func(name string) *controlpb.Service
	// Grants writes the calls to servers that take their keys from them; default: the product's own.
	Grants siskinrill.GrantCalls
	// Transport wraps the connections for requests, to translate headers; default: none.
	Transport func(pool http.RoundTripper) http.RoundTripper
	// Dial opens connections to the backend server, TCP by default.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxIdle is the longest idle time of a connection that is used again, 200 ms by default; older ones may have gone silent.
	MaxIdle time.Duration
	// MaxRanges is the most ranges of keys in the answer to a heartbeat, unlimited by default; further ones are left out. A handover of up to 24 bytes counts as a range.
	MaxRanges int
	// Unframed accepts answers that end with their connection; default: they are refused, since a proxy in between may cut them.
	Unframed bool
}

func (opt Options) withDefaults() Options {
	opt.MaxIdle = cmp.Or(opt.MaxIdle, maxIdle)
	if opt.Grants == nil {
		opt.Grants = defaultGrantCalls{}
	}
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if opt.Transport == nil {
		opt.Transport = func(pool http.RoundTripper) http.RoundTripper { return pool }
	}
	return opt
}
