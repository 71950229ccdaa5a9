package replay

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	leaseTime = time.Hour // longer than any replay
	timeout   = 5 * time.Second
)

// embeddedSession renames the interface for embedding, since Session is also the name of one of its methods.
type embeddedSession = siskinrill.Session

// session is the session of one agent with control; its calls that only services with keys need are missing.
type session struct {
	embeddedSession
	svc *Service
	num uint64
}

// Session returns the number of the agent, from 1.
func (ses *session) Session() uint64 { return ses.num }

// Fresh returns true.
func (ses *session) Fresh() bool { return true }

// Version returns a version that never changes.
func (ses *session) Version() uint64 { return 1 }

// Expires returns a valid lease.
func (ses *session) Expires() (time.Time, bool) { return time.Now().Add(leaseTime), true }

// Owned returns nothing.
func (ses *session) Owned() []*controlpb.Shard { return nil }

// Nodes returns nothing.
func (ses *session) Nodes() []*controlpb.Node { return nil }

// Limits returns nil.
func (ses *session) Limits() *controlpb.RequestLimits { return nil }

// SetLoadSource does nothing: there is no control process.
func (ses *session) SetLoadSource(siskinrill.LoadSource) {}

// Service returns the service, whatever its name.
func (ses *session) Service(string) *controlpb.Service { return ses.svc.opt.Service }

// Node returns an agent.
func (ses *session) Node(num uint64) *controlpb.Node { return ses.svc.nodes[num-1] }

// Upstreams returns the agents whose servers are in service and not drained.
func (ses *session) Upstreams(string) []*controlpb.Node { return ses.svc.listed() }

// Draining reports whether the upstream of this agent is drained.
func (ses *session) Draining() bool { return ses.svc.isDrained(int(ses.num) - 1) }

// Match returns the only route.
func (ses *session) Match(_, _, path string) (*controlpb.Route, string, siskinrill.Reason) {
	return &controlpb.Route{
		Name: "replay", Service: ses.svc.opt.Service.GetName(), Kind: controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT,
		TimeoutMs: uint32(timeout.Milliseconds()), TargetLatencyMs: uint32(ses.svc.opt.Target.Milliseconds()),
	}, path, ""
}

// Await waits until the context ends.
func (ses *session) Await(ctx context.Context, _ uint64) error {
	<-ctx.Done()
	return ctx.Err()
}

// ZoneDrained returns false: drains of a replay name single upstreams.
func (ses *session) ZoneDrained(string) bool { return false }

// ZoneDrainAge returns false for the same reason.
func (ses *session) ZoneDrainAge() (time.Duration, bool) { return 0, false }

// AnyQuarantined returns false: servers of a replay do not crash.
func (ses *session) AnyQuarantined() bool { return false }
