package siskinrill

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Session is the agent's session with control.
type Session interface {
	Lease
	RoutingTable
	Quarantine
	// Owned returns copies of the rows that this session owns, including those that are being released.
	Owned() []*controlpb.Shard
	// Release reports to control that no request of the shards is in flight and none will be dispatched.
	Release(refs []*controlpb.ShardRef)
	// SetUpstream reports the backend server and its state to control, again after each new registration.
	SetUpstream(ups *controlpb.Upstream)
	// SetLoadSource sets the source of the load reports.
	SetLoadSource(src LoadSource)
	// Drain requests control to move all keys away from this upstream.
	Drain()
	// Draining reports whether this upstream is being drained, at the request of its agent or of an operator, alone or with
	// its zone.
	Draining() bool
	// ZoneDrainAge returns for how long the zone of this agent may have been drained, and false if it is not. It is an
	// upper limit: without earlier contact with control the order may have any age.
	ZoneDrainAge() (time.Duration, bool)
	// ReportCrash reports to control which requests ran at the backend server when it crashed.
	ReportCrash(rep *controlpb.CrashReport)
}

// LoadSource collects the load figures that an agent reports to control.
type LoadSource interface {
	// Load returns the figures since the previous call, which was interval ago, and resets them.
	Load(interval time.Duration) *controlpb.LoadReport
}
