package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Client is the agent's connection to the backend server on its host.
type Client struct {
	opt Options
	cnt *siskinrill.Counters
	mtr meter

	mu             sync.Mutex
	ann            *Announcement // nil before the first announcement
	tgt            *target
	state          controlpb.UpstreamState
	announcedAt    time.Time     // arrival of the last announcement
	announceGap    time.Duration // longest time between two announcements of the current start, 0 after the first
	heard          *Announcement // last announcement, also if it was not accepted
	answeredAt     time.Time     // when the last announcement was answered
	lateAt         time.Time     // arrival of the last late announcement, see mustHaveCrashed
	delay          time.Duration // by which the last announcement may have been delayed, unless it was late
	guessed        bool          // the current server was accepted without proof, see isGuessed
	portClosed     bool          // the port of the current server has refused a connection
	crashed        bool          // the current server must have crashed; it has ended once no run is open
	ended          bool          // the current server is proved to have ended
	failures       uint          // consecutive failures, for the backoff
	backoffUntil   time.Time
	reportFrom     time.Time // earliest time to report the failure
	reportAfterEnd bool      // the failure may be reported only once the server has terminated
	// latestStart is the latest time at which a server that checks tokens may start the last request that was
	// sent to it.
	latestStart time.Time
	leaving     bool
	departed    siskinrill.ServerStart // has deregistered before this process has heard an announcement of it
	knownToStay bool                   // control has had the current start as one that is not leaving
	advice      advice
	crashes     *crashes
	cold        coldLimit
	granted     map[string]uint64   // by fence partition
	runs        map[*run]struct{}   // requests in flight
	reported    *controlpb.Upstream // last upstream passed to OnUpstream

	keys  keys
	calls calls

	coldKnown   atomic.Bool   // the service is configured
	coldEnabled atomic.Bool   // the service has a limit for cold servers
	pollNow     chan struct{} // triggers a poll of the health path
	connEnded   atomic.Bool   // the server has closed or reset a connection since the last check of its port

	lastService atomic.Pointer[controlpb.Service] // last configuration of the server's service, nil for none

	reportMu sync.Mutex // serializes OnUpstream

	// Only Run uses these.
	probedAt    time.Time // last answered probe of an unresponsive server
	dialedAt    time.Time // last check of a server that is leaving
	failedDials int       // consecutive checks of such a server that found nothing
	portChecks  portChecks
}

var _ siskinrill.Backend = (*Client)(nil)

// New returns a client that has no server until the first announcement.
func New(opt Options, cnt *siskinrill.Counters) *Client {
	return &Client{opt: opt.withDefaults(), cnt: cnt, crashes: newCrashes(opt), granted: map[string]uint64{}, runs: map[*run]struct{}{}, keys: newKeys(), calls: newCalls(), pollNow: make(chan struct{}, 1)}
}

// Stats returns the agent's own statistics about the backend server.
func (cli *Client) Stats() Stats { return cli.mtr.snapshot() }

// Slots returns how many requests the backend server can run concurrently, limited by its slots and its
// connections; 0 before its announcement and after a failure.
func (cli *Client) Slots() int {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return 0
	}
	return int(min(cli.ann.Slots, cli.ann.Connections))
}

// State returns the state of the backend server, NONE before the first announcement.
func (cli *Client) State() controlpb.UpstreamState {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.state
}

// Warmup returns how long the backend server is still slow after its start, false if it does not state it.
func (cli *Client) Warmup() (time.Duration, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == nil || cli.ann.WarmupMs == nil {
		return 0, false
	}
	return time.Duration(*cli.ann.WarmupMs)*time.Millisecond - time.Since(cli.announcedAt), true
}

// Run monitors the announcements, the answers and the health path, and grants keys by calls, until the context ends.
func (cli *Client) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { cli.grantLoop(ctx) })
	loops.Go(func() { cli.pollColdness(ctx) })
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
			cli.checkServer(ctx)
		}
	}
}

// usable reports whether requests may be sent to the server; the caller holds the mutex.
func (cli *Client) usable() bool {
	return cli.state == controlpb.UpstreamState_UPSTREAM_STATE_SERVING || cli.state == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// current returns the connections to the backend server, nil while it is not usable.
func (cli *Client) current() *target {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return nil
	}
	return cli.tgt
}

// begin registers a request in flight and returns the server's connections, nil if it is not usable.
func (cli *Client) begin(rnn *run) *target {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() || cli.ann.Service != rnn.att.Open().GetService() {
		return nil
	}
	rnn.start = cli.ann.start()
	cli.latestStart = time.Now().Add(maxStartDelay)
	cli.runs[rnn] = struct{}{}
	cli.countSent(rnn)
	cli.countCold()
	return cli.tgt
}

func (cli *Client) end(rnn *run) {
	cli.mu.Lock()
	delete(cli.runs, rnn)
	ended := cli.concludeCrash()
	cli.mu.Unlock()
	if ended {
		cli.report()
	}
}
