package registry

import (
	"cmp"
	"slices"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// MaxSuspects is the maximum number of requests for which crashes are counted. The least suspicious and oldest makes room
// for a new one, so that a flood of different requests can neither fill the snapshots nor end a quarantine.
const MaxSuspects = 1024

// recordCrash counts the crash of a server for each request that ran there. A report that arrives again is not counted.
func (reg *Registry) recordCrash(idx uint64, rep *controlpb.CrashReport) {
	for _, req := range rep.GetRequests()[:min(len(rep.GetRequests()), siskinrill.MaxCrashSuspects)] {
		sus := reg.suspect(req)
		if sus == nil || slices.Contains(sus.GetServers(), rep.GetServer()) {
			continue
		}
		was := siskinrill.InQuarantine(sus)
		sus.Servers = append(sus.GetServers(), rep.GetServer())
		sus.Servers = sus.GetServers()[max(0, len(sus.GetServers())-siskinrill.QuarantineCrashes):]
		sus.Index = idx
		if !was && siskinrill.InQuarantine(sus) {
			reg.sendQuarantine(idx, req, true)
		}
	}
}

// suspect returns the entry of a request, a new one if there is none, and nil if all entries are in quarantine.
func (reg *Registry) suspect(req uint64) *controlpb.Suspect {
	if pos, found := reg.findSuspect(req); found {
		return reg.state.GetSuspects()[pos]
	}
	if len(reg.state.GetSuspects()) >= MaxSuspects && !reg.evictSuspect() {
		return nil
	}
	sus := &controlpb.Suspect{Request: req}
	pos, _ := reg.findSuspect(req)
	reg.state.Suspects = slices.Insert(reg.state.GetSuspects(), pos, sus)
	return sus
}

func (reg *Registry) findSuspect(req uint64) (int, bool) {
	return slices.BinarySearchFunc(reg.state.GetSuspects(), req, func(sus *controlpb.Suspect, req uint64) int {
		return cmp.Compare(sus.GetRequest(), req)
	})
}

// evictSuspect removes the suspect with the fewest crashes, of these the oldest; none in quarantine is removed.
func (reg *Registry) evictSuspect() bool {
	least := slices.MinFunc(reg.state.GetSuspects(), func(one, two *controlpb.Suspect) int {
		return cmp.Or(cmp.Compare(len(one.GetServers()), len(two.GetServers())), cmp.Compare(one.GetIndex(), two.GetIndex()))
	})
	if siskinrill.InQuarantine(least) {
		return false
	}
	reg.removeSuspect(least.GetRequest())
	return true
}

func (reg *Registry) removeSuspect(req uint64) {
	if pos, found := reg.findSuspect(req); found {
		reg.state.Suspects = slices.Delete(reg.state.GetSuspects(), pos, pos+1)
	}
}

// lowerSuspicion ends quarantines and forgets requests. The next crash of a server puts a request whose quarantine has
// ended back into it.
func (reg *Registry) lowerSuspicion(idx uint64, cmd *controlpb.LowerSuspicion) {
	for _, req := range cmd.GetRequests() {
		pos, found := reg.findSuspect(req)
		if !found {
			continue
		}
		sus := reg.state.GetSuspects()[pos]
		if cmd.GetIndex() != 0 && sus.GetIndex() > cmd.GetIndex() {
			continue
		}
		was := siskinrill.InQuarantine(sus)
		if cmd.GetForget() || !was {
			reg.removeSuspect(req)
		} else {
			sus.Servers, sus.Index = sus.GetServers()[1:], idx
		}
		if was {
			reg.sendQuarantine(idx, req, false)
		}
	}
}

func (reg *Registry) sendQuarantine(idx, req uint64, on bool) {
	set := &controlpb.SetQuarantine{Request: req, Quarantined: on}
	reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_SetQuarantine{SetQuarantine: set}})
}

// quarantined returns the requests in quarantine.
func (reg *Registry) quarantined() []uint64 {
	var reqs []uint64
	for _, sus := range reg.state.GetSuspects() {
		if siskinrill.InQuarantine(sus) {
			reqs = append(reqs, sus.GetRequest())
		}
	}
	return reqs
}
