package operator

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/agent"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// clusterIdentifier is implemented by logs that know the id of their cluster.
type clusterIdentifier interface {
	ClusterID() string
}

// Status returns the members of the control group and the state of all services and upstreams.
func (svc *Service) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusAnswer, error) {
	if err := svc.confirm(ctx); err != nil {
		return nil, err
	}
	ldr, _ := svc.log.Leadership()
	ans := &controlpb.StatusAnswer{Term: ldr.Term(), Members: svc.log.Members()}
	if clu, ok := svc.log.(clusterIdentifier); ok {
		ans.ClusterId = clu.ClusterID()
	}
	stats := svc.sessions.Stats()
	svc.registry.View(func(stt *controlpb.RegistryState) {
		ans.Commit, ans.ConfigurationNumber = stt.GetIndex(), stt.GetConfiguration().GetNumber()
		ans.Upstreams = upstreamStatuses(stt, stats)
		ans.Zones = zoneStatuses(stt, ans.GetUpstreams())
		for _, sus := range stt.GetSuspects() {
			ans.Suspects = append(ans.Suspects, proto.CloneOf(sus))
		}
		for _, cnf := range stt.GetConfiguration().GetServices() {
			ans.Services = append(ans.Services, serviceStatus(stt, cnf, ans.GetUpstreams()))
		}
	})
	return ans, nil
}

func upstreamStatuses(stt *controlpb.RegistryState, stats map[uint64]agent.SessionStats) []*controlpb.UpstreamStatus {
	bySession := map[uint64]*controlpb.UpstreamStatus{}
	out := make([]*controlpb.UpstreamStatus, 0, len(stt.GetNodes()))
	for _, nod := range stt.GetNodes() {
		row := upstreamStatus(nod, stats[nod.GetSession()])
		_, alone := slices.BinarySearch(stt.GetDrains(), nod.GetUpstream().GetId())
		_, zone := slices.BinarySearch(stt.GetDrainedZones(), nod.GetZone())
		row.Draining = row.GetDraining() || alone || zone
		bySession[nod.GetSession()] = row
		out = append(out, row)
	}
	for _, tab := range stt.GetTables() {
		countShards(tab, bySession)
	}
	return out
}

func upstreamStatus(nod *controlpb.Node, sst agent.SessionStats) *controlpb.UpstreamStatus {
	row := &controlpb.UpstreamStatus{
		Node: nod, RequestsPerSecond: sst.Requests, InFlight: sst.InFlight, Queued: sst.Queued,
		Limit: sst.Limit, Version: sst.Version, Refusals: sst.Refusals,
		Draining: nod.GetUpstream().GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING,
	}
	if slo := nod.GetUpstream().GetSlots(); slo > 0 {
		row.BusyShare = sst.Busy / float64(slo)
	}
	return row
}

func countShards(tab *controlpb.ServiceTable, rows map[uint64]*controlpb.UpstreamStatus) {
	for _, own := range tab.GetOwners() {
		if row := rows[own]; row != nil {
			row.Partitions++
		}
	}
	for _, shd := range tab.GetOverrides() {
		if row := rows[shd.GetOwner()]; row != nil {
			row.Overrides++
		}
	}
	for _, shd := range movingShards(tab) {
		if row := rows[shd.GetOwner()]; row != nil {
			row.Moving++
		}
	}
}

// movingShards returns the shards of a table whose ownership is being transferred.
func movingShards(tab *controlpb.ServiceTable) []*controlpb.Shard {
	out := append([]*controlpb.Shard(nil), tab.GetMoving()...)
	for _, shd := range tab.GetOverrides() {
		if shd.GetPhase() == controlpb.Phase_PHASE_RELEASING {
			out = append(out, shd)
		}
	}
	return out
}

func serviceStatus(stt *controlpb.RegistryState, cnf *controlpb.Service, rows []*controlpb.UpstreamStatus) *controlpb.ServiceStatus {
	out := &controlpb.ServiceStatus{Service: cnf.GetName(), Partitions: cnf.GetPartitions(), Imbalance: imbalance(cnf.GetName(), rows), Carrier: carrierName(cnf)}
	for _, tab := range stt.GetTables() {
		if tab.GetService() != cnf.GetName() {
			continue
		}
		out.Overrides, out.Moving = uint32(len(tab.GetOverrides())), uint32(len(movingShards(tab)))
		for _, own := range tab.GetOwners() {
			if own == 0 {
				out.Orphans++
			}
		}
	}
	return out
}

// imbalance returns the maximum load of a service's upstreams divided by the average, or 0 without load.
func imbalance(svc string, rows []*controlpb.UpstreamStatus) float64 {
	maxLoad, sum, cnt := 0.0, 0.0, 0
	for _, row := range rows {
		if row.GetNode().GetUpstream().GetService() == svc {
			maxLoad = max(maxLoad, row.GetRequestsPerSecond())
			sum += row.GetRequestsPerSecond()
			cnt++
		}
	}
	if sum == 0 {
		return 0
	}
	return maxLoad * float64(cnt) / sum
}

// Owner returns the current owner of a key, with its fencing token and phase.
func (svc *Service) Owner(ctx context.Context, req *controlpb.OwnerRequest) (*controlpb.OwnerAnswer, error) {
	if err := svc.confirm(ctx); err != nil {
		return nil, err
	}
	var ans *controlpb.OwnerAnswer
	svc.registry.View(func(stt *controlpb.RegistryState) {
		for _, tab := range stt.GetTables() {
			if tab.GetService() == req.GetService() && len(tab.GetOwners()) > 0 {
				ans = keyOwner(stt, tab, serviceByName(stt, req.GetService()), req.GetKey())
			}
		}
	})
	if ans == nil {
		return nil, status.Errorf(codes.NotFound, "unknown_service: %s has no key %q", req.GetService(), req.GetKey())
	}
	return ans, nil
}

func serviceByName(stt *controlpb.RegistryState, name string) *controlpb.Service {
	for _, svc := range stt.GetConfiguration().GetServices() {
		if svc.GetName() == name {
			return svc
		}
	}
	return nil
}

// keyOwner returns the owner of a key, or nil if the service cannot have this key.
func keyOwner(stt *controlpb.RegistryState, tab *controlpb.ServiceTable, svc *controlpb.Service, key string) *controlpb.OwnerAnswer {
	prt, ok := siskinrill.PartitionOf(svc, key)
	if !ok || int(prt) >= len(tab.GetOwners()) {
		return nil
	}
	ans := &controlpb.OwnerAnswer{
		Service: tab.GetService(), Key: key, Partition: prt,
		Session: tab.GetOwners()[prt], Token: tab.GetTokens()[prt], Phase: "owned", Carrier: carrierName(svc),
	}
	if ans.GetSession() == 0 {
		ans.Phase = "orphan"
	}
	for _, shd := range append(append([]*controlpb.Shard(nil), tab.GetMoving()...), tab.GetOverrides()...) {
		if shd.GetKey() == key || shd.GetKey() == "" && shd.GetPartition() == prt {
			ans.Session, ans.Token, ans.Phase = shd.GetOwner(), shd.GetToken(), phaseName(shd.GetPhase())
			ans.Overridden = shd.GetKey() != ""
		}
	}
	for _, nod := range stt.GetNodes() {
		if nod.GetSession() == ans.GetSession() {
			ans.Upstream, ans.Node, ans.Zone = nod.GetUpstream().GetId(), nod.GetName(), nod.GetZone()
		}
	}
	return ans
}

// carrierName returns how grants reach the backend servers of a service, empty if they hold no keys.
func carrierName(svc *controlpb.Service) string {
	if svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER {
		return ""
	}
	return strings.ToLower(strings.TrimPrefix(svc.GetCarrier().String(), "CARRIER_"))
}

func phaseName(pha controlpb.Phase) string {
	return strings.ToLower(strings.TrimPrefix(pha.String(), "PHASE_"))
}

// Drain starts or undoes the drain of an upstream and returns how much it still owns; a repeated
// call returns the progress.
func (svc *Service) Drain(ctx context.Context, req *controlpb.DrainRequest) (*controlpb.DrainAnswer, error) {
	if req.GetUpstream() == "" {
		return nil, status.Error(codes.InvalidArgument, "upstream is needed")
	}
	if err := svc.confirm(ctx); err != nil {
		return nil, err
	}
	if !req.GetUndo() && !svc.upstreamRegistered(req.GetUpstream()) {
		return nil, status.Errorf(codes.NotFound, "unknown_upstream: %s", req.GetUpstream())
	}
	if _, err := svc.log.Propose(ctx, registry.SetDrain(req.GetUpstream(), !req.GetUndo())); err != nil {
		return nil, svc.statusError(err)
	}
	ans := &controlpb.DrainAnswer{}
	stats := svc.sessions.Stats()
	svc.registry.View(func(stt *controlpb.RegistryState) {
		for _, row := range upstreamStatuses(stt, stats) {
			if row.GetNode().GetUpstream().GetId() == req.GetUpstream() {
				ans.Partitions += row.GetPartitions() + row.GetOverrides()
				ans.InFlight += row.GetInFlight()
			}
		}
	})
	return ans, nil
}

// upstreamRegistered reports whether a registered agent has the upstream.
func (svc *Service) upstreamRegistered(ups string) bool {
	found := false
	svc.registry.View(func(stt *controlpb.RegistryState) {
		for _, nod := range stt.GetNodes() {
			found = found || nod.GetUpstream().GetId() == ups
		}
	})
	return found
}
