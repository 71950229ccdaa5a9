package caller

import (
	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// mayRunAt reports whether the zone and the region of an agent allow the request to run at its upstream.
func (cal *call) mayRunAt(nod *controlpb.Node) bool {
	return !cal.han.session.ZoneDrained(nod.GetZone()) && cal.regionAllowed(nod)
}

// regionAllowed reports whether the route allows the region of an agent.
func (cal *call) regionAllowed(nod *controlpb.Node) bool {
	return siskinrill.RegionAllowed(cal.route.GetAllowedRegions(), nod.GetRegion())
}

// barredReason returns why no upstream of the service may run the request, empty if one may or if there is none at all.
func (cal *call) barredReason() siskinrill.Reason {
	rsn := siskinrill.Reason("")
	for _, nod := range cal.han.session.Upstreams(cal.service.GetName()) {
		switch {
		case cal.mayRunAt(nod):
			return ""
		case cal.regionAllowed(nod):
			rsn = siskinrill.ReasonZoneDrained
		case rsn == "":
			rsn = siskinrill.ReasonRegionNotAllowed
		}
	}
	return rsn
}

// placeReason returns why a request may not be sent to the owner of a row because of its zone or region, empty if it may.
// An owner in a drained zone decides itself how long it accepts requests while other upstreams can take over its keys.
func (cal *call) placeReason(row *controlpb.Shard, own *controlpb.Node) siskinrill.Reason {
	if own != nil && cal.mayRunAt(own) {
		return ""
	}
	if rsn := cal.barredReason(); rsn != "" {
		return rsn
	}
	if own == nil || cal.regionAllowed(own) {
		return ""
	}
	if row.GetPhase() == controlpb.Phase_PHASE_RELEASING && (row.GetTarget() == 0 || cal.regionAllowed(cal.han.session.Node(row.GetTarget()))) {
		return siskinrill.ReasonMoving
	}
	return siskinrill.ReasonRegionNotAllowed
}
