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

// Session is the agent's session with the control group; it is safe for concurrent use.
type Session struct {
	opt   Options
	dial  dialFunc
	lease lease
	table *table

	mu                sync.Mutex
	upstream          *controlpb.Upstream
	invalidation      *rowInvalidation // invalidation that control has not confirmed, nil for none
	source            siskinrill.LoadSource
	leaving           bool // the agent has requested a drain
	drainedByOperator bool // an operator has requested a drain
	released          map[refKey]*controlpb.ShardRef
	leader            string        // address of the last known leader
	wake              chan struct{} // signals that there is something to send
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

// Expires returns the end of the lease by the monotonic or the boot-time clock, whichever is earlier, and
// whether it is in the future. It reports no lease while control may have granted rows of the agent's tables to
// others because the backend server was reported as failed or replaced.
func (ses *Session) Expires() (time.Time, bool) {
	if ses.hasPendingInvalidation() {
		return time.Time{}, false
	}
	return ses.lease.expires()
}

// Fresh reports whether a leader's message arrived within Options.Freshness.
func (ses *Session) Fresh() bool { return ses.lease.fresh(ses.opt.Freshness) }

// Match returns the route and key of a host, method and escaped path, or the reason why there is none. Without
// a lease the reason is never ReasonNoRoute, since this agent may have missed a new route.
func (ses *Session) Match(host, method, path string) (*controlpb.Route, string, siskinrill.Reason) {
	rte, key, rsn := ses.table.match(host, method, path)
	if _, valid := ses.Expires(); rsn == siskinrill.ReasonNoRoute && !valid {
		rsn = siskinrill.ReasonNoLease
	}
	return rte, key, rsn
}

// Limits returns the limits of callers' requests, nil for none; they must not be modified.
func (ses *Session) Limits() *controlpb.RequestLimits { return ses.table.requestLimits() }

// Upstreams returns the agents whose backend servers serve a service, in the order of their sessions; the slice
// must not be modified.
func (ses *Session) Upstreams(svc string) []*controlpb.Node { return ses.table.upstreams(svc) }

// Service returns a service of the configuration, nil if there is none; it must not be modified.
func (ses *Session) Service(name string) *controlpb.Service { return ses.table.service(name) }

// Shard returns a copy of the row of a key, nil for an unknown service.
func (ses *Session) Shard(svc, key string) *controlpb.Shard { return ses.table.shard(svc, key) }

// Node returns a registered agent by session, nil if it is not registered; it must not be modified.
func (ses *Session) Node(session uint64) *controlpb.Node { return ses.table.node(session) }

// Nodes returns the registered agents in no particular order; they must not be modified.
func (ses *Session) Nodes() []*controlpb.Node { return ses.table.allNodes() }

// Version returns the log index of the newest applied table update.
func (ses *Session) Version() uint64 {
	ver, _ := ses.table.versions()
	return ver
}

// Await blocks until the version is higher than ver, or returns the context's error.
func (ses *Session) Await(ctx context.Context, ver uint64) error { return ses.table.await(ctx, ver) }

// Owned returns copies of the rows whose owner is this session.
func (ses *Session) Owned() []*controlpb.Shard { return ses.table.owned(ses.lease.number()) }

// Incoming reports whether rows of a service are moving to this agent, or have no owner and may be granted to
// it.
func (ses *Session) Incoming(svc string) bool { return ses.table.incoming(svc, ses.lease.number()) }

// Release reports to control that the shards are free; the report is repeated on new connections until the
// table confirms it.
func (ses *Session) Release(refs []*controlpb.ShardRef) {
	ses.mu.Lock()
	for _, ref := range refs {
		key := refKey{ref.GetService(), ref.GetPartition(), ref.GetKey(), ref.GetToken()}
		ses.released[key] = ref
	}
	ses.mu.Unlock()
	ses.notify()
}

// SetUpstream reports the backend server and its state to control; the report is repeated on new connections.
func (ses *Session) SetUpstream(ups *controlpb.Upstream) {
	ses.mu.Lock()
	ses.recordInvalidation(ups)
	ses.upstream = proto.CloneOf(ups)
	ses.mu.Unlock()
	ses.notify()
}

// SetLoadSource sets the source of load reports, which are only sent once there is one.
func (ses *Session) SetLoadSource(src siskinrill.LoadSource) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.source = src
}

// Drain requests that control moves all rows away from this upstream; the request is repeated on new
// connections.
func (ses *Session) Drain() {
	ses.mu.Lock()
	ses.leaving = true
	ses.mu.Unlock()
	ses.notify()
}

// Draining reports whether this upstream drains, by request of the agent or of an operator, alone or with its zone.
func (ses *Session) Draining() bool {
	return ses.DrainingAlone() || ses.ZoneDrained(ses.opt.Node.GetZone())
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

// dropConfirmedReleases removes the releases of rows that this session no longer owns in the table.
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
