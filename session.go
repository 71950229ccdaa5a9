package siskinrill

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Session is the agent's session with control.
type Session interface {
	Lease
	Routes
	// Owned returns copies of the rows whose owner is this session, those being released included.
	Owned() []*controlpb.Shard
	// Release tells control that no request is in flight for the shards and none will be dispatched.
	Release(refs []*controlpb.ShardRef)
	// SetUpstream tells control of the backend server and its state; it is repeated after a new registration.
	SetUpstream(ups *controlpb.Upstream)
	// SetLoadSource sets where load reports come from.
	SetLoadSource(src LoadSource)
	// Drain asks control to move everything away from this upstream.
	Drain()
	// Draining reports whether this upstream drains, by its own wish or an operator's.
	Draining() bool
}

// LoadSource gives the figures of a load report.
type LoadSource interface {
	// Load returns the figures since the previous call and resets them; interval is the time between the calls.
	Load(interval time.Duration) *controlpb.LoadReport
}
