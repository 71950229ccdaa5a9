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

// Limits and timeouts of the connection to the backend server.
const (
	// maxIdle is the default of Options.MaxIdle.
	maxIdle = 200 * time.Millisecond
	// maxStartDelay is how long after it was sent a request may start; it covers a new connection and the
	// server's own queue.
	maxStartDelay = 300 * time.Millisecond
	// dialTimeout is below the lease reserve of 200 ms, so that a slow connection cannot use up the reserve.
	dialTimeout = 100 * time.Millisecond
	// announceEvery is the default of Options.AnnounceEvery.
	announceEvery = time.Second
	// announceExpiry is how long an announcement is valid.
	announceExpiry = 5 * time.Second
	// maxAnnounceGap limits the time between two announcements that is expected of a server.
	maxAnnounceGap = 2 * time.Second
	// heartbeatGrace is the age of the last heartbeat over which a server that answers nothing is probed;
	// heartbeats arrive about every second.
	heartbeatGrace = 1300 * time.Millisecond
	// unresponsiveTime is the time without an answer, with requests in flight, after which the server is
	// probed.
	unresponsiveTime = time.Second
	// probeInterval is the time between the two probes that must both fail, and between checks of an
	// unresponsive server.
	probeInterval = 250 * time.Millisecond
	// leavingCheckInterval is the time between checks whether a server that is leaving and sends no announcements still listens.
	leavingCheckInterval = 500 * time.Millisecond
	// maxFailedDials is the number of consecutive checks without a connection after which such a server has failed.
	maxFailedDials = 2
	// probeTimeout limits a probe of the health endpoint.
	probeTimeout = 250 * time.Millisecond
	// grantsTimeout limits a call of the grants endpoint.
	grantsTimeout = 500 * time.Millisecond
	// tickInterval is the interval at which announcements, answers and due grants are checked.
	tickInterval = 100 * time.Millisecond
	// maxBufferedAnswer is the largest answer, in bytes, that is read before Do returns; larger ones are
	// streamed.
	maxBufferedAnswer = 64 << 10
	// maxAnswerHeader is the maximum size of an answer's header in bytes.
	maxAnswerHeader = 64 << 10
	// maxFailures is the number of consecutive requests without an answer after which the server is marked as
	// failed even though its health endpoint answers.
	maxFailures = 8
	// minFailureBackoff is the shortest time between a failure and the next use of the server. It doubles up
	// to maxFailureBackoff, because a misleading health endpoint would otherwise bring the server back
	// immediately.
	minFailureBackoff = 500 * time.Millisecond
	// maxFailureBackoff is the longest time between a failure and the next use of the server.
	maxFailureBackoff = 30 * time.Second
	// maxRetryAfter is the longest wait before a retry that is accepted from a server; a longer one is taken for an error.
	maxRetryAfter = time.Hour
	// defaultTimeout limits a request that states no timeout.
	defaultTimeout = 30 * time.Second
)

// Options configure a client; every field may be zero.
type Options struct {
	// OnUpstream receives the backend server and its state whenever they change; calls do not overlap.
	OnUpstream func(ups *controlpb.Upstream)
	// OnCrash receives the requests that ran at the backend server when it crashed; default: nothing is recorded.
	OnCrash func(rep *controlpb.CrashReport)
	// CallerHeaders are the canonical names of the headers that tell callers apart; default: none.
	CallerHeaders []string
	// OnDrain is called once when the backend server announces that it is leaving.
	OnDrain func()
	// Draining reports whether this upstream is draining, for the answer to announcements; default: only if
	// the server announces that it is leaving.
	Draining func() bool
	// MayStop reports whether the agent owns nothing and has no request in flight, for the answer to announcements; default: never.
	MayStop func() bool
	// Owned returns the rows of this agent, for servers that hold their keys for a limited time; default:
	// none.
	Owned func() []*controlpb.Shard
	// Lease returns the end of the agent's lease and whether the lease is valid; default: none.
	Lease func() (time.Time, bool)
	// Incoming reports whether rows of a service are in transit to this agent, in which case answers to
	// heartbeats wait for them briefly; default: never.
	Incoming func(service string) bool
	// Service returns a configured service, nil if there is none; default: none.
	Service func(name string) *controlpb.Service
	// Registered returns the backend server of this agent as control has it, nil for none; without it control is not asked.
	Registered func() *controlpb.Upstream
	// ExpectedService is the only service whose announcements are accepted; default: any.
	ExpectedService string
	// Grants builds the calls that grant and release keys; default: siskinrill's own.
	Grants siskinrill.GrantCalls
	// Transport wraps the connection pool for requests, to translate headers; default: none.
	Transport func(pool http.RoundTripper) http.RoundTripper
	// Dial opens connections to the backend server, TCP by default.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxIdle is the longest idle time after which a connection is reused, 200 ms by default; older ones may
	// have stopped responding.
	MaxIdle time.Duration
	// AnnounceEvery is the time between two announcements of the server, 1 s by default; later ones leave open whether it is
	// about to stop.
	AnnounceEvery time.Duration
	// MaxRanges is the maximum number of key ranges in the answer to a heartbeat, unlimited by default;
	// further ranges are omitted, and a handover counts as one more range per started 24 bytes.
	MaxRanges int
	// NamedAttempts requires that the server names the attempt in each answer, refusals as not run excepted; by default an
	// answer without a name is accepted.
	NamedAttempts bool
	// Unframed accepts answers that end with their connection; by default they are refused, since a proxy in
	// between may truncate them.
	Unframed bool
}

func (opt Options) withDefaults() Options {
	opt.MaxIdle = cmp.Or(opt.MaxIdle, maxIdle)
	opt.AnnounceEvery = cmp.Or(opt.AnnounceEvery, announceEvery)
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
