package peer

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/siskinrill/siskinrill"
)

// Options are the settings of a Pool; zero values select the defaults stated at the fields.
type Options struct {
	// Logger is logrus's standard logger when nil.
	Logger *logrus.Logger
	// Counters counts connection events if set.
	Counters *siskinrill.Counters
	// ConnectTimeout is the maximum time that a request waits for a new connection, 400 ms by default.
	ConnectTimeout time.Duration
	// DialTimeout limits a connection attempt, which may continue without a waiting request, 1,200 ms by default.
	DialTimeout time.Duration
	// VerifyAfter is the time without received data after which a connection must answer a ping before a
	// non-idempotent request or upload uses it, 200 ms by default.
	VerifyAfter time.Duration
	// VerifyTimeout is the maximum wait for that answer in addition to the round-trip time, 100 ms by default.
	VerifyTimeout time.Duration
	// PingAfter is the minimum time without received data after which a connection with outstanding requests is
	// pinged, 250 ms by default.
	PingAfter time.Duration
	// PingTimeout is the maximum wait for the answer to that ping before the connection is suspect, 1 s by
	// default; the wait is shorter if round trips are short.
	PingTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept, 60 s by default.
	IdleTimeout time.Duration
}

func (opt Options) withDefaults() Options {
	opt.ConnectTimeout = cmp.Or(opt.ConnectTimeout, 400*time.Millisecond)
	opt.DialTimeout = cmp.Or(opt.DialTimeout, 1200*time.Millisecond)
	opt.VerifyAfter = cmp.Or(opt.VerifyAfter, 200*time.Millisecond)
	opt.VerifyTimeout = cmp.Or(opt.VerifyTimeout, 100*time.Millisecond)
	opt.PingAfter = cmp.Or(opt.PingAfter, 250*time.Millisecond)
	opt.PingTimeout = cmp.Or(opt.PingTimeout, time.Second)
	opt.IdleTimeout = cmp.Or(opt.IdleTimeout, time.Minute)
	if opt.Logger == nil {
		opt.Logger = logrus.StandardLogger()
	}
	if opt.Counters == nil {
		opt.Counters = siskinrill.NewCounters()
	}
	return opt
}

// Pool holds one connection to each peer in use, plus suspect ones while they carry requests, and is safe for
// concurrent use.
type Pool struct {
	opt        Options
	hooks      poolHooks
	dials      singleflight.Group
	stopWatch  chan struct{}
	background sync.WaitGroup
	ctx        context.Context // of connection attempts
	cancel     context.CancelFunc

	mu      sync.Mutex
	current map[string]*link // by address
	remotes map[string]*remote
	closing bool
	links   map[*link]struct{} // includes replaced links that still carry requests
}

// poolHooks inject faults for tests.
type poolHooks struct {
	skipPing bool // unresponsive connections are used and kept
	skipEnd  bool // an answer without its end counts as complete
}

var _ siskinrill.Forwarder = (*Pool)(nil)

// NewPool returns a pool that monitors its connections until Close.
func NewPool(opt Options) *Pool {
	poo := &Pool{
		opt:       opt.withDefaults(),
		stopWatch: make(chan struct{}),
		current:   map[string]*link{},
		remotes:   map[string]*remote{},
		links:     map[*link]struct{}{},
	}
	poo.ctx, poo.cancel = context.WithCancel(context.Background())
	poo.background.Go(poo.watch)
	return poo
}

// Close closes all connections; it must be called once.
func (poo *Pool) Close() {
	poo.mu.Lock()
	poo.closing = true
	poo.mu.Unlock()
	close(poo.stopWatch)
	poo.cancel()
	poo.background.Wait()
	poo.mu.Lock()
	lnks := make([]*link, 0, len(poo.links))
	for lnk := range poo.links {
		lnks = append(lnks, lnk)
	}
	poo.mu.Unlock()
	for _, lnk := range lnks {
		poo.closeLink(lnk)
	}
}

// acquire returns a link to an address and counts one more outstanding request; it connects if there is no usable link.
func (poo *Pool) acquire(ctx context.Context, addr string) (*link, error) {
	if lnk := poo.existing(addr); lnk != nil {
		return lnk, nil
	}
	for range 3 {
		res := poo.dials.DoChan(addr, func() (any, error) { return nil, poo.connect(addr) })
		select {
		case got := <-res:
			if got.Err != nil {
				// A suspect link may have received data in the meantime.
				if lnk := poo.existing(addr); lnk != nil {
					return lnk, nil
				}
				return nil, got.Err
			}
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for connection")
		}
		if lnk := poo.existing(addr); lnk != nil {
			return lnk, nil
		}
	}
	return nil, errors.Errorf("connections to %s were closed immediately after connecting", addr)
}

func (poo *Pool) existing(addr string) *link {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	lnk := poo.current[addr]
	if lnk == nil {
		lnk = poo.recoveredLink(addr)
	}
	if lnk == nil || lnk.socket.closed.Load() {
		return nil
	}
	if lnk.outstanding == 0 {
		lnk.busySince = time.Now()
	}
	lnk.outstanding++
	return lnk
}

func (poo *Pool) release(lnk *link) {
	now := time.Now()
	poo.mu.Lock()
	defer poo.mu.Unlock()
	lnk.outstanding--
	lnk.lastUsed = now
}

// recordAnswerTime records how long a request waited for its answer.
func (poo *Pool) recordAnswerTime(lnk *link, took time.Duration) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.remote(lnk.address).answerTimes.Add(took)
}

// acquireVerified returns a link that has received data within Options.VerifyAfter or has just answered a ping.
func (poo *Pool) acquireVerified(ctx context.Context, addr string) (*link, error) {
	lnk, err := poo.acquire(ctx, addr)
	if err != nil || poo.hooks.skipPing || lnk.socket.sinceReceived() <= poo.opt.VerifyAfter {
		return lnk, err
	}
	limit, timeout := context.WithTimeout(ctx, poo.verifyTimeout(addr))
	defer timeout()
	err = poo.ping(limit, lnk)
	if err == nil {
		return lnk, nil
	}
	poo.release(lnk)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "verify connection")
	}
	poo.opt.Counters.Event("peer_ping_failed")
	poo.mu.Lock()
	poo.markSuspect(lnk, time.Now())
	poo.mu.Unlock()
	return poo.acquire(ctx, addr)
}

// verifyTimeout returns the maximum wait for the ping answer that verifies a link.
func (poo *Pool) verifyTimeout(addr string) time.Duration {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return poo.opt.VerifyTimeout + min(poo.remote(addr).roundTrips.Timeout(), poo.opt.PingTimeout)
}

// ping returns when the peer has answered; concurrent callers share one ping, which continues if they give up.
func (poo *Pool) ping(ctx context.Context, lnk *link) error {
	select {
	case got := <-lnk.pings.DoChan("", poo.pinger(lnk)):
		return got.Err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "ping")
	}
}

// pinger returns a function that pings a link and records the round-trip time.
func (poo *Pool) pinger(lnk *link) func() (any, error) {
	return func() (any, error) {
		ctx, cancel := context.WithTimeout(poo.ctx, maxPingTime)
		defer cancel()
		beg := time.Now()
		if err := lnk.ping(ctx); err != nil {
			return nil, err
		}
		poo.mu.Lock()
		defer poo.mu.Unlock()
		poo.remote(lnk.address).roundTrips.Add(time.Since(beg))
		return nil, nil
	}
}

// closeLink closes a link, so that every request on it fails.
func (poo *Pool) closeLink(lnk *link) {
	poo.mu.Lock()
	if poo.current[lnk.address] == lnk {
		delete(poo.current, lnk.address)
	}
	_, known := poo.links[lnk]
	delete(poo.links, lnk)
	poo.mu.Unlock()
	lnk.close()
	if known {
		poo.opt.Counters.Event("peer_connection_closed")
	}
}
