package operator

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// maxZoneBytes limits the name of a zone in an order; it is stored in every snapshot.
	maxZoneBytes = 256
	// maxDrainedZones limits the stored orders. Names without agents are accepted, so that a caller with a fault could
	// otherwise fill the log's snapshots.
	maxDrainedZones = 1024
)

// DrainZone starts or ends the drain of all upstreams in a zone and returns its state once the order is committed; a
// repeated order is acknowledged again. An order for a zone without agents is accepted: its agents may have lost their
// sessions or not have registered yet, and to refuse a proper order would be worse than to store one without effect.
func (svc *Service) DrainZone(ctx context.Context, req *controlpb.DrainZoneRequest) (*controlpb.DrainZoneAnswer, error) {
	zon := req.GetZone()
	switch {
	case zon == "" || len(zon) > maxZoneBytes:
		return nil, status.Errorf(codes.InvalidArgument, "the name of the zone has %d bytes, allowed are 1 to %d", len(zon), maxZoneBytes)
	case !req.GetUndo() && svc.tooManyDrained(zon):
		return nil, status.Errorf(codes.FailedPrecondition, "%d zones are drained already", maxDrainedZones)
	}
	if _, err := svc.log.Propose(ctx, registry.SetZoneDrain(zon, !req.GetUndo())); err != nil {
		return nil, svc.statusError(err)
	}
	ans := &controlpb.DrainZoneAnswer{Zone: &controlpb.ZoneStatus{Zone: zon, Drained: !req.GetUndo()}}
	stats := svc.sessions.Stats()
	svc.registry.View(func(stt *controlpb.RegistryState) {
		for _, row := range zoneStatuses(stt, upstreamStatuses(stt, stats)) {
			if row.GetZone() == zon {
				ans.Zone = row
			}
		}
	})
	return ans, nil
}

// tooManyDrained reports whether no further zone than those that are drained already may be added.
func (svc *Service) tooManyDrained(zon string) bool {
	full := false
	svc.registry.View(func(stt *controlpb.RegistryState) {
		_, known := slices.BinarySearch(stt.GetDrainedZones(), zon)
		full = !known && len(stt.GetDrainedZones()) >= maxDrainedZones
	})
	return full
}

// zoneStatuses returns the zones that have agents or are drained, sorted by name.
func zoneStatuses(stt *controlpb.RegistryState, rows []*controlpb.UpstreamStatus) []*controlpb.ZoneStatus {
	byName := map[string]*controlpb.ZoneStatus{}
	find := func(name string) *controlpb.ZoneStatus {
		if byName[name] == nil {
			byName[name] = &controlpb.ZoneStatus{Zone: name}
		}
		return byName[name]
	}
	for _, name := range stt.GetDrainedZones() {
		find(name).Drained = true
	}
	for _, row := range rows {
		zon := find(row.GetNode().GetZone())
		zon.Partitions += row.GetPartitions() + row.GetOverrides()
		zon.InFlight += row.GetInFlight() + row.GetQueued()
		if row.GetNode().GetUpstream().GetId() != "" {
			zon.Upstreams++
		}
	}
	out := make([]*controlpb.ZoneStatus, 0, len(byName))
	for _, zon := range byName {
		out = append(out, zon)
	}
	slices.SortFunc(out, func(one, two *controlpb.ZoneStatus) int { return strings.Compare(one.GetZone(), two.GetZone()) })
	return out
}
