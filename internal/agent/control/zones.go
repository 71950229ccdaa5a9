package control

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// drainedZones holds the zones that operators have ordered to be drained, each with the earliest time at which its order
// may have been committed. Reads take no lock, since every request reads it.
type drainedZones struct {
	mu      sync.Mutex
	current boottime.Instant // up to when this copy of the orders is known to have been complete, zero for never
	since   atomic.Pointer[map[string]boottime.Instant]
}

func (dzs *drainedZones) all() map[string]boottime.Instant {
	if all := dzs.since.Load(); all != nil {
		return *all
	}
	return nil
}

// recordCurrent records that no order from before an instant is missing.
func (dzs *drainedZones) recordCurrent(at boottime.Instant) {
	dzs.mu.Lock()
	defer dzs.mu.Unlock()
	dzs.current = at
}

// replace takes over the zones of a snapshot. Zones that were already known as drained keep their time.
func (dzs *drainedZones) replace(zones []string) {
	dzs.mu.Lock()
	defer dzs.mu.Unlock()
	old, all := dzs.all(), make(map[string]boottime.Instant, len(zones))
	for _, zon := range zones {
		all[zon] = dzs.current
		if sin, ok := old[zon]; ok {
			all[zon] = sin
		}
	}
	dzs.since.Store(&all)
}

// apply starts or ends the drain of one zone.
func (dzs *drainedZones) apply(set *controlpb.SetZoneDrain) {
	dzs.mu.Lock()
	defer dzs.mu.Unlock()
	all := maps.Clone(dzs.all())
	if all == nil {
		all = map[string]boottime.Instant{}
	}
	if set.GetDrain() {
		all[set.GetZone()] = dzs.current
	} else {
		delete(all, set.GetZone())
	}
	dzs.since.Store(&all)
}

// ZoneDrained reports whether an operator has ordered that no requests are sent to the upstreams of a zone.
func (ses *Session) ZoneDrained(zone string) bool {
	_, drained := ses.table.zones.all()[zone]
	return drained
}

// ZoneDrainAge returns for how long the zone of this agent may have been drained, and false if it is not. The age counts
// from when the agent last knew that it was not, so that an agent without contact, or one that has just started, does not
// take an old order for a new one.
func (ses *Session) ZoneDrainAge() (time.Duration, bool) {
	sin, drained := ses.table.zones.all()[ses.opt.Node.GetZone()]
	if !drained {
		return 0, false
	}
	return boottime.Mark().Since(sin), true
}

// DrainingAlone reports whether this upstream drains by request of the agent or of an operator, its zone left aside.
func (ses *Session) DrainingAlone() bool {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return ses.leaving || ses.drainedByOperator
}
