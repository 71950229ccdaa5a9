package control

import (
	"fmt"
	"maps"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// gapError reports a table update that does not continue the agent's version.
type gapError struct {
	have uint64
	from uint64
}

// Error names the version of the update and that of the agent.
func (gap *gapError) Error() string {
	return fmt.Sprintf("table update from version %d does not continue version %d", gap.from, gap.have)
}

// replace replaces the content by a snapshot. It returns a *gapError for a snapshot older than the content,
// which comes from a deposed leader.
func (tbl *table) replace(snp *controlpb.TableSnapshot) error {
	cfg := snp.GetConfiguration()
	services := make(map[string]*controlpb.Service, len(cfg.GetServices()))
	routes := make(map[string]*controlpb.Route, len(cfg.GetRoutes()))
	nodes := make(map[uint64]*controlpb.Node, len(snp.GetNodes()))
	rws := make(map[string]*rows, len(cfg.GetServices()))
	for _, svc := range cfg.GetServices() {
		services[svc.GetName()] = svc
		rws[svc.GetName()] = newRows(svc.GetPartitions())
	}
	for _, rte := range cfg.GetRoutes() {
		routes[rte.GetName()] = rte
	}
	for _, nod := range snp.GetNodes() {
		nodes[nod.GetSession()] = nod
	}
	for _, svt := range snp.GetTables() {
		if row := rws[svt.GetService()]; row != nil {
			row.fill(svt)
		}
	}
	idx := newRouteIndex(routes)
	mem := addresses(snp.GetMembers())
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if snp.GetVersion() < tbl.version {
		return &gapError{have: tbl.version, from: snp.GetVersion()}
	}
	tbl.gap = false
	tbl.configNumber, tbl.limits, tbl.servingByService = cfg.GetNumber(), cfg.GetLimits(), nil
	tbl.services, tbl.routes, tbl.index = services, routes, idx
	tbl.nodes, tbl.rows, tbl.members = nodes, rws, mem
	tbl.zones.replace(snp.GetDrainedZones())
	tbl.quarantine.replace(snp.GetQuarantined())
	tbl.advance(snp.GetVersion())
	return nil
}

func (row *rows) fill(svt *controlpb.ServiceTable) {
	copy(row.owners, svt.GetOwners())
	copy(row.tokens, svt.GetTokens())
	maps.Copy(row.handovers, svt.GetHandovers())
	for _, shd := range svt.GetMoving() {
		row.set(shd)
	}
	for _, shd := range svt.GetOverrides() {
		row.overrides[shd.GetKey()] = shd
	}
}

// set replaces one row; a partition that the service does not have is ignored.
func (row *rows) set(shd *controlpb.Shard) {
	if shd.GetKey() != "" {
		row.overrides[shd.GetKey()] = shd
		return
	}
	par := shd.GetPartition()
	if int(par) >= len(row.owners) {
		return
	}
	row.owners[par] = shd.GetOwner()
	row.tokens[par] = shd.GetToken()
	delete(row.handovers, par)
	if shd.GetHandover() != "" {
		row.handovers[par] = shd.GetHandover()
	}
	if shd.GetPhase() == controlpb.Phase_PHASE_RELEASING {
		row.moving[par] = shd
		return
	}
	delete(row.moving, par)
}

// setBatch replaces rows of partitions that are owned or orphaned, without a handover.
func (row *rows) setBatch(bat *controlpb.RowBatch) {
	owners, tokens := bat.GetOwners(), bat.GetTokens()
	for pos, par := range bat.GetPartitions() {
		if int(par) >= len(row.owners) || pos >= min(len(owners), len(tokens)) {
			continue
		}
		row.owners[par], row.tokens[par] = owners[pos], tokens[pos]
		delete(row.moving, par)
		delete(row.handovers, par)
	}
}

// apply applies a difference; it returns a *gapError if the difference does not continue the version.
func (tbl *table) apply(dif *controlpb.Difference) error {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if dif.GetFrom() != tbl.version {
		return &gapError{have: tbl.version, from: dif.GetFrom()}
	}
	for _, chg := range dif.GetChanges() {
		tbl.applyChange(chg)
	}
	for _, bat := range dif.GetRows() {
		if row := tbl.rows[bat.GetService()]; row != nil {
			row.setBatch(bat)
		}
	}
	tbl.advance(dif.GetTo())
	return nil
}

func (tbl *table) applyChange(chg *controlpb.Change) {
	switch knd := chg.GetKind().(type) {
	case *controlpb.Change_SetNode:
		tbl.nodes[knd.SetNode.GetSession()] = knd.SetNode
		tbl.servingByService = nil
	case *controlpb.Change_RemoveNode:
		delete(tbl.nodes, knd.RemoveNode)
		tbl.servingByService = nil
	case *controlpb.Change_SetShard:
		if row := tbl.rows[knd.SetShard.GetService()]; row != nil {
			row.set(knd.SetShard)
		}
	case *controlpb.Change_RemoveOverride:
		if row := tbl.rows[knd.RemoveOverride.GetService()]; row != nil {
			delete(row.overrides, knd.RemoveOverride.GetKey())
		}
	case *controlpb.Change_Configuration:
		tbl.applyConfiguration(knd.Configuration)
	case *controlpb.Change_Members:
		tbl.members = addresses(knd.Members)
	case *controlpb.Change_SetZoneDrain:
		tbl.zones.apply(knd.SetZoneDrain)
	case *controlpb.Change_SetQuarantine:
		tbl.quarantine.apply(knd.SetQuarantine)
	}
}

func (tbl *table) applyConfiguration(chg *controlpb.ConfigurationChange) {
	services := maps.Clone(tbl.services)
	routes := maps.Clone(tbl.routes)
	for _, name := range chg.GetRemoveServices() {
		delete(services, name)
		delete(tbl.rows, name)
	}
	for _, svc := range chg.GetSetServices() {
		services[svc.GetName()] = svc
		if tbl.rows[svc.GetName()] == nil {
			tbl.rows[svc.GetName()] = newRows(svc.GetPartitions())
		}
	}
	for _, name := range chg.GetRemoveRoutes() {
		delete(routes, name)
	}
	for _, rte := range chg.GetSetRoutes() {
		routes[rte.GetName()] = rte
	}
	tbl.configNumber = chg.GetNumber()
	if chg.GetSetLimits() != nil {
		tbl.limits = chg.GetSetLimits()
	}
	tbl.services, tbl.routes = services, routes
	tbl.index = newRouteIndex(routes)
}

func addresses(mem *controlpb.Members) []string {
	var adrs []string
	for _, mbr := range mem.GetMembers() {
		if !mbr.GetLearner() {
			adrs = append(adrs, mbr.GetAddress())
		}
	}
	return adrs
}

// requestSnapshot makes the next hello request a snapshot; the content stays in use until the snapshot arrives.
func (tbl *table) requestSnapshot() {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.gap = true
}
