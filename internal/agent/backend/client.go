package backend

import (
	"context"
	"sync"
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
	ann            *Announcement // nil before the first one
	tgt            *target
	state          controlpb.UpstreamState
	announcedAt    time.Time // last announcement
	failures       uint      // failures in a row, for the hold
	backoffUntil   time.Time
	reportFrom     time.Time // when the failure may be told
	reportAfterEnd bool      // the failure may be told only once the server has ended
	// latestStart is when the last request that was handed over may start at the latest, by a server that checks its fence.
	latestStart time.Time
	leaving     bool                // the server has announced that it is leaving
	granted     map[string]uint64   // by fence partition
	runs        map[*run]struct{}   // requests that have not ended
	reported    *controlpb.Upstream // last one given to OnUpstream

	keys  keys  // that the server holds for a limited time
	calls calls // that grant them

	reportMu sync.Mutex // serializes OnUpstream
	probedAt time.Time  // last answer to a probe of a silent server; only Run uses it
}

var _ siskinrill.Backend = (*Client)(nil)

// New returns a client that waits for the first announcement.
func New(opt Options, cnt *siskinrill.Counters) *Client {
	return &Client{opt: opt.withDefaults(), cnt: cnt, granted: map[string]uint64{}, runs: map[*run]struct{}{}, keys: newKeys(), calls: newCalls()}
}

// Stats returns the agent's own counts of what the backend server did.
func (cli *Client) Stats() Stats { return cli.mtr.snapshot() }

// Slots returns how many requests the backend server can run at once, also bounded by its connections; 0 while it is not announced or has failed.
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

// Warmup returns for how long the backend server stays slow after its start, false if it does not tell.
func (cli *Client) Warmup() (time.Duration, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == nil || cli.ann.WarmupMs == nil {
		return 0, false
	}
	return time.Duration(*cli.ann.WarmupMs)*time.Millisecond - time.Since(cli.announcedAt), true
}

// Run watches over the announcements and the answers, and grants keys by calls, until the context ends.
func (cli *Client) Run(ctx context.Context) error {
	var grants sync.WaitGroup
	defer grants.Wait()
	grants.Go(func() { cli.grantLoop(ctx) })
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

// usable reports whether requests may be handed over; the caller holds the mutex.
func (cli *Client) usable() bool {
	return cli.state == controlpb.UpstreamState_UPSTREAM_STATE_SERVING || cli.state == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// current returns the pools of the backend server, nil while it is not usable.
func (cli *Client) current() *target {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() {
		return nil
	}
	return cli.tgt
}

// begin registers a request with a usable server, or returns nil.
func (cli *Client) begin(rnn *run) *target {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.usable() || cli.ann.Service != rnn.att.Open().GetService() {
		return nil
	}
	rnn.upstream = cli.ann.ID
	cli.latestStart = time.Now().Add(maxStartDelay)
	cli.runs[rnn] = struct{}{}
	return cli.tgt
}

func (cli *Client) end(rnn *run) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	delete(cli.runs, rnn)
}

// fail marks the backend server as failed; the cause is a word for the log and the counter. No request is written after the report, because control then grants the shards to others at once.
func (cli *Client) fail(tgt *target, cause string) {
	cli.mu.Lock()
	if cli.tgt != tgt || !cli.usable() {
		cli.mu.Unlock()
		return
	}
	cli.state = controlpb.UpstreamState_UPSTREAM_STATE_FAILED
	if time.Since(cli.backoffUntil) > maxFailureBackoff {
		cli.failures = 0
	}
	backoff := min(minFailureBackoff<<min(cli.failures, 10), maxFailureBackoff)
	cli.failures++
	cli.backoffUntil = time.Now().Add(backoff)
	// A silent server may return and hold its keys, or start what it was given, until then; another owner before that would be a second one.
	cli.reportFrom = time.Time{}
	cli.reportAfterEnd = cause != causeRefused && cli.mayStartAfterMove()
	if cause != causeRefused {
		cli.reportFrom = later(time.Now().Add(cli.keys.remaining()), cli.latestStart)
	}
	idt, reportFrom := cli.ann.ID, cli.reportFrom
	for rnn := range cli.runs {
		rnn.serverFailed()
	}
	cli.mu.Unlock()
	cli.cnt.Event("backend_failed_" + cause)
	logrus.Warnf("backend: server %s counts as failed: %s", idt, cause)
	tgt.close()
	cli.report()
	if wait := time.Until(reportFrom); wait > 0 {
		time.AfterFunc(wait, cli.report)
	}
}

// mayStartAfterMove reports whether the server may start a request whose key has another owner by then: it neither checks tokens nor holds its keys for a limited time. The caller holds the mutex.
func (cli *Client) mayStartAfterMove() bool {
	if cli.ann.ChecksFence || cli.ann.HoldsKeys {
		return false
	}
	return cli.opt.Service == nil || cli.opt.Service(cli.ann.Service).GetKeyMode() != controlpb.KeyMode_KEY_MODE_NONE
}

// report tells the upstream and its state if it has changed.
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
		return nil, false
	}
	if cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED && (cli.reportAfterEnd || time.Now().Before(cli.reportFrom)) {
		return nil, false
	}
	ups := &controlpb.Upstream{
		Id: cli.ann.ID, Service: cli.ann.Service, Slots: cli.ann.Slots,
		Connections: cli.ann.Connections, ChecksFence: cli.ann.ChecksFence, State: cli.state,
		Incarnation: cli.ann.Incarnation,
	}
	if cli.reported != nil && sameUpstream(cli.reported, ups) {
		return nil, false
	}
	cli.reported = ups
	return ups, true
}

func sameUpstream(one, two *controlpb.Upstream) bool {
	return one.Id == two.Id && one.Service == two.Service && one.Slots == two.Slots &&
		one.Connections == two.Connections && one.ChecksFence == two.ChecksFence && one.State == two.State && one.Incarnation == two.Incarnation
}
