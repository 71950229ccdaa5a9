package agent

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// longServed is the age given to upstreams that were there before this term, whose announcement was not seen here.
const longServed = 24 * time.Hour

// fill builds the tables of the policy from the registry and the load figures, in the buffers of the previous tick.
func (trm *term) fill(tbl *siskinrill.Tables, now time.Time) {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	trm.loads.mut.Lock()
	defer trm.loads.mut.Unlock()
	trm.sessions.registry.View(func(stt *controlpb.RegistryState) {
		services := stt.GetConfiguration().GetServices()
		tbl.Services = slices.Grow(tbl.Services[:0], len(services))[:len(services)]
		for pos, svc := range services {
			rows := &tbl.Services[pos]
			rows.Service = svc
			trm.fillUpstreams(rows, stt, now)
			trm.fillShards(rows, findTable(stt, svc.GetName()), now)
		}
	})
}

func (trm *term) fillUpstreams(rows *siskinrill.ServiceRows, stt *controlpb.RegistryState, now time.Time) {
	rows.Upstreams = rows.Upstreams[:0]
	for _, nod := range stt.GetNodes() {
		ups := nod.GetUpstream()
		if ups.GetService() != rows.Service.GetName() || !serves(ups) {
			continue
		}
		row := siskinrill.UpstreamRow{
			Session: nod.GetSession(), Zone: nod.GetZone(), Slots: ups.GetSlots(), State: ups.GetState(),
			ReportAge: neverReported,
		}
		if _, ok := slices.BinarySearch(stt.GetDrains(), ups.GetId()); ok {
			row.State = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
		}
		row.Age = trm.age(nod, now)
		if rep := trm.loads.reports[nod.GetSession()]; rep != nil {
			row.Requests, row.Busy, row.ReportAge = rep.requests, rep.busy, now.Sub(rep.at)
		}
		rows.Upstreams = append(rows.Upstreams, row)
	}
}

// age returns the time since the announcement of an upstream. A plan may see an announcement before the leases are brought up to date, so that one that they do not hold yet has just been made.
func (trm *term) age(nod *controlpb.Node, now time.Time) time.Duration {
	lea := trm.leases[nod.GetSession()]
	if nod.GetUpstream().GetSinceIndex() > trm.base && (lea == nil || lea.announced != nod.GetUpstream().GetSinceIndex()) {
		return 0
	}
	if lea == nil || lea.announcedAt.IsZero() {
		return longServed
	}
	return now.Sub(lea.announcedAt)
}

func serves(ups *controlpb.Upstream) bool {
	return ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING ||
		ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

func (trm *term) fillShards(rows *siskinrill.ServiceRows, tab *controlpb.ServiceTable, now time.Time) {
	svc := trm.loads.service(rows.Service.GetName(), len(tab.GetOwners()))
	trm.fillOverrides(rows, tab, svc, now)
	rows.Partitions = slices.Grow(rows.Partitions[:0], len(tab.GetOwners()))[:len(tab.GetOwners())]
	total := 0.0
	for prt, own := range tab.GetOwners() {
		fig := &svc.partitions[prt]
		row := siskinrill.ShardRow{Partition: uint32(prt), Owner: own, Token: tab.GetTokens()[prt]}
		if own != 0 {
			row.Phase = controlpb.Phase_PHASE_OWNED
		}
		fig.settle(row.Token, trm.reported(own), now, trm.loads.smoothing)
		row.Load = fig.value
		total += row.Load
		rows.Partitions[prt] = row
	}
	for _, shd := range tab.GetMoving() {
		row := &rows.Partitions[shd.GetPartition()]
		row.Phase, row.Target = shd.GetPhase(), shd.GetTarget()
	}
	rows.HotKeys = nil
	if rows.Service.GetKeyMode() != controlpb.KeyMode_KEY_MODE_TEXT {
		return
	}
	floor := hotFloor * total / float64(max(len(rows.Upstreams), 1))
	rows.HotKeys = trm.loads.hottest(rows.Service.GetName(), floor, uint32(len(tab.GetOwners())), now)
	rows.HotKeys = slices.DeleteFunc(rows.HotKeys, func(hot siskinrill.HotKey) bool {
		return rows.Partitions[hot.Partition].Owner != hot.Owner || svc.overrides[hot.Key] != nil
	})
}

// reported returns when the owner of a row last reported, zero for none.
func (trm *term) reported(own uint64) time.Time {
	if rep := trm.loads.reports[own]; own != 0 && rep != nil {
		return rep.at
	}
	return time.Time{}
}

func (trm *term) fillOverrides(rows *siskinrill.ServiceRows, tab *controlpb.ServiceTable, svc *serviceLoads, now time.Time) {
	rows.Overrides = rows.Overrides[:0]
	was := svc.overrides
	svc.overrides = make(map[string]*figure, len(tab.GetOverrides()))
	for _, shd := range tab.GetOverrides() {
		fig := was[shd.GetKey()]
		if fig == nil {
			fig = trm.split(svc, shd, now)
		}
		svc.overrides[shd.GetKey()] = fig
		fig.settle(shd.GetToken(), trm.reported(shd.GetOwner()), now, trm.loads.smoothing)
		rows.Overrides = append(rows.Overrides, siskinrill.ShardRow{
			Partition: shd.GetPartition(), Key: shd.GetKey(), Owner: shd.GetOwner(), Token: shd.GetToken(),
			Phase: shd.GetPhase(), Target: shd.GetTarget(), Retiring: shd.GetRetiring(), Load: fig.value,
		})
	}
}

// split starts the figure of a new override with the key's load, which leaves its partition.
func (trm *term) split(svc *serviceLoads, shd *controlpb.Shard, now time.Time) *figure {
	fig := &figure{token: shd.GetToken()}
	nam := hotName{service: shd.GetService(), key: shd.GetKey()}
	rep := trm.loads.reports[shd.GetOwner()]
	if rep == nil || rep.hot[nam] == nil {
		return fig
	}
	fig.value, fig.at = rep.hot[nam].value, now
	prt := &svc.partitions[shd.GetPartition()]
	prt.value = max(prt.value-fig.value, 0)
	return fig
}

func findTable(stt *controlpb.RegistryState, svc string) *controlpb.ServiceTable {
	for _, tab := range stt.GetTables() {
		if tab.GetService() == svc {
			return tab
		}
	}
	return nil
}

func findNode(stt *controlpb.RegistryState, ses uint64) *controlpb.Node {
	for _, nod := range stt.GetNodes() {
		if nod.GetSession() == ses {
			return nod
		}
	}
	return nil
}
