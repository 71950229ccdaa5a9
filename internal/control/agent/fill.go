package agent

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// earlierUpstreamAge is the assumed age of upstreams announced before this term, whose announcement time is
// unknown here.
const earlierUpstreamAge = 24 * time.Hour

// fill builds the policy's input tables from the registry and the load averages, reusing the buffers of the
// previous tick.
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
		if ups.GetService() != rows.Service.GetName() || !siskinrill.HoldsRows(ups) {
			continue
		}
		row := siskinrill.UpstreamRow{
			Session: nod.GetSession(), Zone: nod.GetZone(), Slots: ups.GetSlots(), State: ups.GetState(),
			ReportAge: noReportAge,
		}
		if isDrained(stt, nod) {
			row.State = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
		}
		row.Age = trm.age(nod, now)
		if rep := trm.loads.reports[nod.GetSession()]; rep != nil {
			row.Requests, row.Busy, row.ReportAge = rep.requests, rep.busy, now.Sub(rep.at)
			row.RateLimited, row.RateLimit = rep.last.GetRateLimited(), rep.last.GetRateLimit()
			row.Cold = time.Duration(rep.last.GetColdMs()) * time.Millisecond
		}
		assumeCold(&row, rows.Service)
		rows.Upstreams = append(rows.Upstreams, row)
	}
}

// assumeCold limits an upstream whose load report is from before its announcement as one that has just started, so that it
// is not given more keys than it can serve before its agent reports that it is cold.
func assumeCold(row *siskinrill.UpstreamRow, svc *controlpb.Service) {
	left := time.Duration(svc.GetColdMs())*time.Millisecond - row.Age
	if svc.GetColdRate() == 0 || left <= 0 || row.ReportAge < row.Age {
		return
	}
	row.RateLimited, row.RateLimit, row.Cold = true, svc.GetColdRate(), left
}

// isDrained reports whether an operator drains the upstream of an agent, alone or with its zone.
func isDrained(stt *controlpb.RegistryState, nod *controlpb.Node) bool {
	_, alone := slices.BinarySearch(stt.GetDrains(), nod.GetUpstream().GetId())
	_, zone := slices.BinarySearch(stt.GetDrainedZones(), nod.GetZone())
	return alone || zone
}

// age returns the time since an upstream was announced. It is 0 for an announcement that the leases do not
// contain yet: a plan may run before they are synchronised with the registry.
func (trm *term) age(nod *controlpb.Node, now time.Time) time.Duration {
	lea := trm.leases[nod.GetSession()]
	if nod.GetUpstream().GetSinceIndex() > trm.startIndex && (lea == nil || lea.announced != nod.GetUpstream().GetSinceIndex()) {
		return 0
	}
	if lea == nil || lea.announcedAt.IsZero() {
		return earlierUpstreamAge
	}
	return now.Sub(lea.announcedAt)
}

func (trm *term) fillShards(rows *siskinrill.ServiceRows, tab *controlpb.ServiceTable, now time.Time) {
	svc := trm.loads.service(rows.Service.GetName(), len(tab.GetOwners()))
	trm.fillOverrides(rows, tab, svc, now)
	rows.Partitions = slices.Grow(rows.Partitions[:0], len(tab.GetOwners()))[:len(tab.GetOwners())]
	total := 0.0
	for prt, own := range tab.GetOwners() {
		avg := &svc.partitions[prt]
		row := siskinrill.ShardRow{Partition: uint32(prt), Owner: own, Token: tab.GetTokens()[prt]}
		if own != 0 {
			row.Phase = controlpb.Phase_PHASE_OWNED
		}
		avg.decayUnreported(row.Token, trm.lastReport(own), now, trm.loads.smoothing)
		row.Load = avg.value
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
	floor := minHotKeyShare * total / float64(max(len(rows.Upstreams), 1))
	rows.HotKeys = trm.loads.hotKeys(rows.Service.GetName(), floor, uint32(len(tab.GetOwners())), now)
	rows.HotKeys = slices.DeleteFunc(rows.HotKeys, func(hot siskinrill.HotKey) bool {
		return rows.Partitions[hot.Partition].Owner != hot.Owner || svc.overrides[hot.Key] != nil
	})
}

// lastReport returns when an owner last reported its load, zero for never.
func (trm *term) lastReport(own uint64) time.Time {
	if rep := trm.loads.reports[own]; own != 0 && rep != nil {
		return rep.at
	}
	return time.Time{}
}

func (trm *term) fillOverrides(rows *siskinrill.ServiceRows, tab *controlpb.ServiceTable, svc *serviceLoads, now time.Time) {
	rows.Overrides = rows.Overrides[:0]
	was := svc.overrides
	svc.overrides = make(map[string]*loadAverage, len(tab.GetOverrides()))
	for _, shd := range tab.GetOverrides() {
		avg := was[shd.GetKey()]
		if avg == nil {
			avg = trm.newOverrideLoad(svc, shd, now)
		}
		svc.overrides[shd.GetKey()] = avg
		avg.decayUnreported(shd.GetToken(), trm.lastReport(shd.GetOwner()), now, trm.loads.smoothing)
		rows.Overrides = append(rows.Overrides, siskinrill.ShardRow{
			Partition: shd.GetPartition(), Key: shd.GetKey(), Owner: shd.GetOwner(), Token: shd.GetToken(),
			Phase: shd.GetPhase(), Target: shd.GetTarget(), Retiring: shd.GetRetiring(), Load: avg.value,
		})
	}
}

// newOverrideLoad returns the load average of a new override. It starts at the hot key's load, which is
// subtracted from the key's partition.
func (trm *term) newOverrideLoad(svc *serviceLoads, shd *controlpb.Shard, now time.Time) *loadAverage {
	avg := &loadAverage{token: shd.GetToken()}
	nam := hotKey{service: shd.GetService(), key: shd.GetKey()}
	rep := trm.loads.reports[shd.GetOwner()]
	if rep == nil || rep.hot[nam] == nil {
		return avg
	}
	avg.value, avg.at = rep.hot[nam].value, now
	prt := &svc.partitions[shd.GetPartition()]
	prt.value = max(prt.value-avg.value, 0)
	return avg
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
