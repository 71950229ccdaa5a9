package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Reasons for refusing a configuration change.
const (
	ReasonNumberTaken     = "number_taken"
	ReasonNumberNotNext   = "number_not_next"
	ReasonPartitionsFixed = "partitions_fixed"
	ReasonPartitionsRange = "partitions_out_of_range"
	ReasonUnknownService  = "unknown_service"
	ReasonDuplicateName   = "duplicate_name"
	ReasonBaseNotCurrent  = "base_not_current"
	ReasonNumberNotAbove  = "number_not_above"
	ReasonKeyModeFixed    = "key_mode_fixed"
	ReasonSamePlace       = "same_place"
	ReasonNoWeight        = "no_weight"
)

// Bounds of the number of partitions of a service.
const (
	MinPartitions = 16
	MaxPartitions = 16384
)

// maxChangeRecords is the number of kept records, which lasts 18 days at 1,100 changes a day.
const maxChangeRecords = 20000

// ContentHash returns the SHA-256 in hex of a configuration without its number, independent of the order of
// services and routes.
func ContentHash(cnf *controlpb.Configuration) string {
	cpy := normalize(cnf)
	cpy.Number = 0
	return hashOf(cpy)
}

func hashOf(msg proto.Message) string {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		// Only text that is not valid UTF-8 fails here, and a command with such text cannot be decoded from
		// the log.
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func normalize(cnf *controlpb.Configuration) *controlpb.Configuration {
	cpy := &controlpb.Configuration{
		Number:   cnf.GetNumber(),
		Limits:   cnf.GetLimits(),
		Document: cnf.GetDocument(),
		Services: append([]*controlpb.Service(nil), cnf.GetServices()...),
		Routes:   append([]*controlpb.Route(nil), cnf.GetRoutes()...),
	}
	slices.SortStableFunc(cpy.Services, func(one, two *controlpb.Service) int { return strings.Compare(one.GetName(), two.GetName()) })
	slices.SortStableFunc(cpy.Routes, func(one, two *controlpb.Route) int { return strings.Compare(one.GetName(), two.GetName()) })
	return cpy
}

// configure accepts or refuses a configuration change; a resent change id gets its first answer.
func (reg *Registry) configure(idx uint64, cmd *controlpb.ApplyConfiguration) *controlpb.ChangeRecord {
	if rec, ok := reg.changeRecords[cmd.GetChangeId()]; ok {
		return rec
	}
	cnf := reg.proposedConfiguration(cmd)
	rec := &controlpb.ChangeRecord{
		ChangeId: cmd.GetChangeId(), Number: cnf.GetNumber(), Index: idx, ContentHash: contentHash(cmd),
	}
	rec.Reason, rec.Winner = reg.refusalReason(cmd, cnf)
	rec.Accepted = rec.GetReason() == ""
	// A refused change on a base is not recorded: it cannot become valid, because the current number only
	// increases.
	if rec.GetAccepted() || cmd.GetBase() == nil {
		reg.keepRecord(rec)
	}
	if rec.GetAccepted() {
		reg.install(idx, cnf)
	}
	return rec
}

func (reg *Registry) keepRecord(rec *controlpb.ChangeRecord) {
	reg.changeRecords[rec.GetChangeId()] = rec
	reg.state.Changes = append(reg.state.Changes, rec)
	if len(reg.state.Changes) > maxChangeRecords {
		delete(reg.changeRecords, reg.state.Changes[0].GetChangeId())
		reg.state.Changes[0] = nil
		reg.state.Changes = reg.state.Changes[1:]
	}
}

func (reg *Registry) refusalReason(cmd *controlpb.ApplyConfiguration, cnf *controlpb.Configuration) (string, string) {
	cur := reg.state.GetConfiguration().GetNumber()
	if cmd.GetBase() != nil {
		if rsn := numberRefusal(cmd, cur); rsn != "" {
			return rsn, ""
		}
	} else if cnf.GetNumber() != cur+1 {
		if win := reg.acceptedChange(cnf.GetNumber()); win != "" {
			return ReasonNumberTaken, win
		}
		return ReasonNumberNotNext, ""
	}
	if rsn := reg.servicesRefusal(cnf.GetServices()); rsn != "" {
		return rsn, ""
	}
	return routesRefusal(cnf), ""
}

// acceptedChange returns the id of the change that was accepted with a number, empty if its record is no
// longer kept.
func (reg *Registry) acceptedChange(num uint64) string {
	for pos := len(reg.state.GetChanges()) - 1; pos >= 0; pos-- {
		if rec := reg.state.GetChanges()[pos]; rec.GetAccepted() && rec.GetNumber() <= num {
			if rec.GetNumber() == num {
				return rec.GetChangeId()
			}
			return ""
		}
	}
	return ""
}

func (reg *Registry) servicesRefusal(services []*controlpb.Service) string {
	for pos, svc := range services {
		if pos > 0 && services[pos-1].GetName() == svc.GetName() {
			return ReasonDuplicateName
		}
		if svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NONE && (svc.GetPartitions() < MinPartitions || svc.GetPartitions() > MaxPartitions) {
			return ReasonPartitionsRange
		}
		if tab := reg.table(svc.GetName()); tab != nil && len(tab.GetOwners()) != int(svc.GetPartitions()) {
			return ReasonPartitionsFixed
		}
		if old := findService(reg.state.GetConfiguration(), svc.GetName()); old != nil && old.GetKeyMode() != svc.GetKeyMode() {
			return ReasonKeyModeFixed
		}
	}
	return ""
}

func routesRefusal(cnf *controlpb.Configuration) string {
	for pos, rou := range cnf.GetRoutes() {
		if pos > 0 && cnf.GetRoutes()[pos-1].GetName() == rou.GetName() {
			return ReasonDuplicateName
		}
		if rsn := targetsRefusal(cnf, rou); rsn != "" {
			return rsn
		}
	}
	return duplicateMatchRefusal(cnf.GetRoutes())
}

func findService(cnf *controlpb.Configuration, name string) *controlpb.Service {
	for _, svc := range cnf.GetServices() {
		if svc.GetName() == name {
			return svc
		}
	}
	return nil
}

// install makes a configuration the current one and records the differences.
func (reg *Registry) install(idx uint64, cnf *controlpb.Configuration) {
	old := reg.state.GetConfiguration()
	chg := &controlpb.ConfigurationChange{Number: cnf.GetNumber()}
	set, removed := diffServices(old.GetServices(), cnf.GetServices())
	chg.SetServices, chg.RemoveServices = servicesForAgents(set), removed
	setRoutes, removedRoutes := diffRoutes(old.GetRoutes(), cnf.GetRoutes())
	chg.SetRoutes, chg.RemoveRoutes = routesForAgents(setRoutes), removedRoutes
	chg.SetLimits = cnf.GetLimits()
	if chg.GetSetLimits() == nil {
		chg.SetLimits = &controlpb.RequestLimits{} // agents keep the earlier ones without this
	}
	reg.state.Configuration = cnf
	reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_Configuration{Configuration: chg}})
	for _, svc := range cnf.GetServices() {
		reg.addTable(idx, svc, findService(old, svc.GetName()) == nil)
	}
	reg.pruneTables()
}

// addTable creates the rows of a new service. A service that is added again keeps the rows that its owners
// may still serve, and they are sent to agents again.
func (reg *Registry) addTable(idx uint64, svc *controlpb.Service, added bool) {
	pos, ok := reg.findTable(svc.GetName())
	if !ok {
		cnt := svc.GetPartitions()
		tab := &controlpb.ServiceTable{Service: svc.GetName(), Owners: make([]uint64, cnt), Tokens: make([]uint64, cnt)}
		reg.state.Tables = slices.Insert(reg.state.Tables, pos, tab)
		return
	}
	if !added {
		return
	}
	tab := reg.state.GetTables()[pos]
	for prt := range tab.GetOwners() {
		if row := partition(tab, uint32(prt)); row.GetToken() != 0 {
			reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_SetShard{SetShard: row}})
		}
	}
	for _, row := range tab.GetOverrides() {
		reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_SetShard{SetShard: row}})
	}
}

// pruneTables removes the tables of removed services once no session owns any of their rows. Until then an
// agent that has not received the removal may still serve them.
func (reg *Registry) pruneTables() {
	reg.state.Tables = slices.DeleteFunc(reg.state.Tables, func(tab *controlpb.ServiceTable) bool {
		if findService(reg.state.GetConfiguration(), tab.GetService()) != nil {
			return false
		}
		used := func(row *controlpb.Shard) bool { return row.GetOwner() != 0 }
		return !slices.ContainsFunc(tab.GetOwners(), func(own uint64) bool { return own != 0 }) &&
			!slices.ContainsFunc(tab.GetOverrides(), used)
	})
}

func diffServices(old, cur []*controlpb.Service) (set []*controlpb.Service, removed []string) {
	was := map[string]*controlpb.Service{}
	for _, svc := range old {
		was[svc.GetName()] = svc
	}
	for _, svc := range cur {
		if !proto.Equal(was[svc.GetName()], svc) {
			set = append(set, svc)
		}
		delete(was, svc.GetName())
	}
	for _, svc := range old {
		if was[svc.GetName()] != nil {
			removed = append(removed, svc.GetName())
		}
	}
	return set, removed
}

func diffRoutes(old, cur []*controlpb.Route) (set []*controlpb.Route, removed []string) {
	was := map[string]*controlpb.Route{}
	for _, rou := range old {
		was[rou.GetName()] = rou
	}
	for _, rou := range cur {
		if !proto.Equal(was[rou.GetName()], rou) {
			set = append(set, rou)
		}
		delete(was, rou.GetName())
	}
	for _, rou := range old {
		if was[rou.GetName()] != nil {
			removed = append(removed, rou.GetName())
		}
	}
	return set, removed
}
