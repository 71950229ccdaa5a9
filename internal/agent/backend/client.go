package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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

// fail marks the backend server as failed; the cause is for the log and the counter. No request is written
// after the failure was reported, because control then grants the shards to others immediately.
func (cli *Client) fail(tgt *target, cause string) {
	cli.mu.Lock()
	if cli.tgt != tgt || !cli.usable() {
		cli.mu.Unlock()
		return
	}
	cli.state = controlpb.UpstreamState_UPSTREAM_STATE_FAILED
	// It may have started anew when it is used again.
	cli.cold.doubt(time.Now())
	if time.Since(cli.backoffUntil) > maxFailureBackoff {
		cli.failures = 0
	}
	backoff := min(minFailureBackoff<<min(cli.failures, 10), maxFailureBackoff)
	cli.failures++
	cli.backoffUntil = time.Now().Add(backoff)
	for rnn := range cli.runs {
		rnn.serverFailed(cause == causeSilent || cause == causeRequestsFail)
	}
	// The server may use its keys, or start requests that it has received, until then; an earlier report would allow a
	// second owner.
	cli.reportFrom = later(time.Now().Add(cli.keys.remaining()), cli.latestStart)
	cli.reportAfterEnd = cli.mayStartAfterMove()
	cli.portClosed = cause == causeRefused
	cli.crashed = cli.portClosed && cli.mustHaveCrashed()
	cli.concludeCrash()
	idt, reportFrom, leaving := cli.ann.ID, cli.reportFrom, cli.leaving
	cli.mu.Unlock()
	cli.cnt.Event("backend_failed_" + cause)
	logrus.Warnf("backend: server %s marked as failed: %s", idt, cause)
	tgt.close()
	if cause == causeRefused && !leaving {
		cli.crashes.recordCrash()
	}
	cli.report()
	if wait := time.Until(reportFrom); wait > 0 {
		time.AfterFunc(wait, cli.report)
	}
}

// mayStartAfterMove reports whether the server may start a request after its key has moved to another owner,
// because it neither checks tokens nor holds its keys for a limited time; the caller holds the mutex.
func (cli *Client) mayStartAfterMove() bool {
	if cli.ann.ChecksFence || cli.ann.HoldsKeys {
		return false
	}
	return cli.opt.Service == nil || cli.service(cli.ann.Service).GetKeyMode() != controlpb.KeyMode_KEY_MODE_NONE
}

// report passes the upstream to OnUpstream if it has changed.
func (cli *Client) report() {
	cli.reportMu.Lock()
	defer cli.reportMu.Unlock()
	ups, changed := cli.upstream()
	if changed && cli.opt.OnUpstream != nil {
		cli.opt.OnUpstream(ups)
	}
}

func (cli *Client) upstream() (*controlpb.Upstream, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == nil {
		ups := departedUpstream(cli.departed, cli.opt.ExpectedService)
		changed := cli.departed.ID != "" && (cli.reported == nil || !sameUpstream(cli.reported, ups))
		if changed {
			cli.reported = ups
		}
		return ups, changed
	}
	if cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED && (cli.reportAfterEnd || time.Now().Before(cli.reportFrom)) {
		return nil, false
	}
	ups := &controlpb.Upstream{
		Id: cli.ann.ID, Service: cli.ann.Service, Slots: cli.ann.Slots,
		Connections: cli.ann.Connections, ChecksFence: cli.ann.ChecksFence, State: cli.state,
		Incarnation: cli.ann.Incarnation, Leaving: cli.advice.leaving,
	}
	if cli.reported != nil && sameUpstream(cli.reported, ups) {
		return nil, false
	}
	cli.reported = ups
	return ups, true
}

func sameUpstream(one, two *controlpb.Upstream) bool {
	return one.Id == two.Id && one.Service == two.Service && one.Slots == two.Slots &&
		one.Connections == two.Connections && one.ChecksFence == two.ChecksFence && one.State == two.State && one.Incarnation == two.Incarnation && one.Leaving == two.Leaving
}
