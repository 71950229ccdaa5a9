package registry

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// proposedConfiguration returns the full configuration that would result from a change.
func (reg *Registry) proposedConfiguration(cmd *controlpb.ApplyConfiguration) *controlpb.Configuration {
	if cmd.GetPatch() == nil {
		return normalize(cmd.GetConfiguration())
	}
	return applyPatch(reg.state.GetConfiguration(), cmd.GetPatch(), cmd.GetConfiguration().GetNumber())
}

// contentHash hashes what the operator sent, which for a patch is not the full configuration.
func contentHash(cmd *controlpb.ApplyConfiguration) string {
	if cmd.GetPatch() == nil {
		return ContentHash(cmd.GetConfiguration())
	}
	return PatchHash(cmd.GetPatch())
}

// applyPatch returns a configuration with the named items replaced, added and removed.
func applyPatch(old *controlpb.Configuration, pat *controlpb.ConfigurationChange, num uint64) *controlpb.Configuration {
	cnf := &controlpb.Configuration{Number: num, Limits: old.GetLimits(), Document: old.GetDocument()}
	if pat.GetSetLimits() != nil {
		cnf.Limits = proto.CloneOf(pat.GetSetLimits())
	}
	for _, svc := range old.GetServices() {
		if !slices.Contains(pat.GetRemoveServices(), svc.GetName()) && !slices.ContainsFunc(pat.GetSetServices(), func(set *controlpb.Service) bool { return set.GetName() == svc.GetName() }) {
			cnf.Services = append(cnf.Services, svc)
		}
	}
	for _, rou := range old.GetRoutes() {
		if !slices.Contains(pat.GetRemoveRoutes(), rou.GetName()) && !slices.ContainsFunc(pat.GetSetRoutes(), func(set *controlpb.Route) bool { return set.GetName() == rou.GetName() }) {
			cnf.Routes = append(cnf.Routes, rou)
		}
	}
	cnf.Services = append(cnf.Services, pat.GetSetServices()...)
	cnf.Routes = append(cnf.Routes, pat.GetSetRoutes()...)
	return normalize(cnf)
}

// numberRefusal returns why the numbers of a change with a base are refused, empty if they are valid.
func numberRefusal(cmd *controlpb.ApplyConfiguration, cur uint64) string {
	switch {
	case cmd.GetBase().GetNumber() != cur:
		return ReasonBaseNotCurrent
	case cmd.GetConfiguration().GetNumber() <= cur:
		return ReasonNumberNotAbove
	default:
		return ""
	}
}

// targetsRefusal returns why the services of a route are refused, empty if they are valid.
func targetsRefusal(cnf *controlpb.Configuration, rou *controlpb.Route) string {
	if len(rou.GetTargets()) == 0 {
		if findService(cnf, rou.GetService()) == nil {
			return ReasonUnknownService
		}
		return ""
	}
	sum := uint64(0)
	for _, tgt := range rou.GetTargets() {
		if findService(cnf, tgt.GetService()) == nil {
			return ReasonUnknownService
		}
		sum += uint64(tgt.GetWeight())
	}
	if sum == 0 {
		return ReasonNoWeight
	}
	return ""
}

// duplicateMatchRefusal refuses two routes with the same host and prefix; host names are compared without
// regard to case.
func duplicateMatchRefusal(routes []*controlpb.Route) string {
	type place struct{ host, prefix string }
	seen := map[place]bool{}
	for _, rou := range routes {
		if rou.GetPrefix() == "" {
			continue
		}
		plc := place{host: strings.ToLower(rou.GetHost()), prefix: rou.GetPrefix()}
		if seen[plc] {
			return ReasonSamePlace
		}
		seen[plc] = true
	}
	return ""
}

// PatchHash returns the SHA-256 in hex of a patch, independent of the order of its items.
func PatchHash(pat *controlpb.ConfigurationChange) string {
	cpy := proto.CloneOf(pat)
	cpy.Number = 0
	slices.SortStableFunc(cpy.SetServices, func(one, two *controlpb.Service) int { return cmp.Compare(one.GetName(), two.GetName()) })
	slices.SortStableFunc(cpy.SetRoutes, func(one, two *controlpb.Route) int { return cmp.Compare(one.GetName(), two.GetName()) })
	slices.Sort(cpy.RemoveServices)
	slices.Sort(cpy.RemoveRoutes)
	return hashOf(cpy)
}
