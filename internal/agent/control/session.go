package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Session is the agent's session with the control group; its methods may be called from any goroutine.
type Session struct {
	opt   Options
	dial  dialFunc
	lease lease
	table *table

	mu                sync.Mutex
	upstream          *controlpb.Upstream
	invalidation      *rowInvalidation // report that control has not confirmed, nil for none
	source            siskinrill.LoadSource
	leaving           bool // by the agent's own wish
	drainedByOperator bool // by an operator's wish
	released          map[refKey]*controlpb.ShardRef
	leader            string        // address of the last leader
	wake              chan struct{} // tells the stream that there is something to send
}

var _ siskinrill.Session = (*Session)(nil)

// refKey identifies a released shard.
type refKey struct {
	service   string
	partition uint32
	key       string
	token     uint64
}

// New returns a session that is not yet connected; Run connects it.
func New(opt Options) *Session {
	ses := &Session{
		opt:      opt.withDefaults(),
		table:    newTable(),
		released: map[refKey]*controlpb.ShardRef{},
		wake:     make(chan struct{}, 1),
	}
	ses.dial = ses.opt.dialGRPC
	return ses
}

// Run keeps the session connected to the leader until the context ends, whose error it returns.
func (ses *Session) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		con, err := ses.find(ctx)
		if err != nil {
			break
		}
		err = ses.serve(ctx, con)
		con.close()
		if ctx.Err() == nil {
			ses.opt.Counters.Event(eventConnectionLost)
			ses.opt.Logger.Infof("session: connection to %s ended: %v", con.address, err)
		}
	}
	return errors.Wrap(ctx.Err(), "session")
}

// Session returns the current session, 0 for none.
func (ses *Session) Session() uint64 { return ses.lease.number() }

// Expires returns the earlier end of the lease by the monotonic clock and the boot time, and whether it lies ahead. It does not count while control may have given the rows of the agent's tables to others, because it was told that the backend server has failed or is another one.
func (ses *Session) Expires() (time.Time, bool) {
	if ses.hasPendingInvalidation() {
		return time.Time{}, false
	}
	return ses.lease.expires()
}

// Fresh reports whether a leader was heard within Options.Freshness.
func (ses *Session) Fresh() bool { return ses.lease.fresh(ses.opt.Freshness) }

// Match returns the route and key of a host, method and escaped path, or the reason why there is none. Without a lease a route may have been added that this agent was not told of.
func (ses *Session) Match(host, method, path string) (*controlpb.Route, string, siskinrill.Reason) {
	rte, key, rsn := ses.table.match(host, method, path)
	if _, valid := ses.Expires(); rsn == siskinrill.ReasonNoRoute && !valid {
		rsn = siskinrill.ReasonNoLease
	}
	return rte, key, rsn
}

// Limits returns the limits of callers' requests, nil if there are none; they must not be changed.
func (ses *Session) Limits() *controlpb.RequestLimits { return ses.table.requestLimits() }

// Upstreams returns the agents whose backend servers serve a service, in the order of their sessions; the slice must not be changed.
func (ses *Session) Upstreams(svc string) []*controlpb.Node { return ses.table.upstreams(svc) }

// Service returns a service of the configuration, nil if there is none; it must not be changed.
func (ses *Session) Service(name string) *controlpb.Service { return ses.table.service(name) }

// Shard returns a copy of the row that holds a key, nil if the service is not known.
func (ses *Session) Shard(svc, key string) *controlpb.Shard { return ses.table.shard(svc, key) }

// Node returns a registered agent by session, nil if it is gone; it must not be changed.
func (ses *Session) Node(session uint64) *controlpb.Node { return ses.table.node(session) }

// Nodes returns the registered agents in no particular order; they must not be changed.
func (ses *Session) Nodes() []*controlpb.Node { return ses.table.allNodes() }

// Version returns the newest applied log index.
func (ses *Session) Version() uint64 {
	ver, _ := ses.table.versions()
	return ver
}

// Await returns once the version is over ver, or with the context's error.
func (ses *Session) Await(ctx context.Context, ver uint64) error { return ses.table.await(ctx, ver) }

// Owned returns copies of the rows whose owner is this session.
func (ses *Session) Owned() []*controlpb.Shard { return ses.table.owned(ses.lease.number()) }

// Incoming reports whether rows of a service are on their way to this agent, or have no owner and may be.
func (ses *Session) Incoming(svc string) bool { return ses.table.incoming(svc, ses.lease.number()) }

// Release tells control that the shards are free; it is repeated on new connections until the table shows it.
func (ses *Session) Release(refs []*controlpb.ShardRef) {
	ses.mu.Lock()
	for _, ref := range refs {
		key := refKey{ref.GetService(), ref.GetPartition(), ref.GetKey(), ref.GetToken()}
		ses.released[key] = ref
	}
	ses.mu.Unlock()
	ses.notify()
}

// SetUpstream tells control of the backend server and its state; it is repeated on new connections.
func (ses *Session) SetUpstream(ups *controlpb.Upstream) {
	ses.mu.Lock()
	ses.recordInvalidation(ups)
	ses.upstream = proto.CloneOf(ups)
	ses.mu.Unlock()
	ses.notify()
}

// SetLoadSource sets where load reports come from.
func (ses *Session) SetLoadSource(src siskinrill.LoadSource) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.source = src
}

// Drain asks control to move everything away from this upstream; it is repeated on new connections.
func (ses *Session) Drain() {
	ses.mu.Lock()
	ses.leaving = true
	ses.mu.Unlock()
	ses.notify()
}

// Draining reports whether this upstream drains, by its own wish or an operator's.
func (ses *Session) Draining() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.leaving || ses.drainedByOperator
}

func (ses *Session) notify() {
	select {
	case ses.wake <- struct{}{}:
	default:
	}
}

func (ses *Session) setDrainedByOperator(drained bool) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.drainedByOperator = drained
}

// dropConfirmedReleases forgets releases that the table shows as done.
func (ses *Session) dropConfirmedReleases() {
	cur := ses.lease.number()
	ses.mu.Lock()
	defer ses.mu.Unlock()
	for key, ref := range ses.released {
		if !ses.table.holds(cur, ref) {
			delete(ses.released, key)
		}
	}
}
