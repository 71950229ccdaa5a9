package registry

import (
	"maps"
	"sync"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// MaxOverrides is the maximum number of overrides of a service.
const MaxOverrides = 1024

// Registry is the replicated state; it implements siskinrill.Registry.
type Registry struct {
	mut           sync.RWMutex
	state         *controlpb.RegistryState
	changeRecords map[string]*controlpb.ChangeRecord
	ring          ring
	changed       chan struct{}
}

var _ siskinrill.Registry = (*Registry)(nil)

// New returns an empty registry at index 0 with configuration number 0.
func New() *Registry {
	return &Registry{
		state:         &controlpb.RegistryState{Configuration: &controlpb.Configuration{}},
		changeRecords: map[string]*controlpb.ChangeRecord{},
		changed:       make(chan struct{}),
	}
}

// Apply applies a committed entry; for an index that is already applied it returns an empty result.
func (reg *Registry) Apply(idx uint64, cmd *controlpb.Command) *siskinrill.Result {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	if idx <= reg.state.GetIndex() {
		return siskinrill.NewResult(idx, nil, 0)
	}
	reg.state.Index = idx
	rec, skipped := reg.dispatch(idx, cmd)
	close(reg.changed)
	reg.changed = make(chan struct{})
	return siskinrill.NewResult(idx, rec, skipped)
}

func (reg *Registry) dispatch(idx uint64, cmd *controlpb.Command) (*controlpb.ChangeRecord, int) {
	switch knd := cmd.GetKind().(type) {
	case *controlpb.Command_RegisterNode:
		reg.register(idx, knd.RegisterNode)
	case *controlpb.Command_ExpireSessions:
		reg.expire(idx, knd.ExpireSessions.GetSessions())
	case *controlpb.Command_SetUpstream:
		reg.setUpstream(idx, knd.SetUpstream)
	case *controlpb.Command_Assign:
		return nil, reg.assign(idx, knd.Assign)
	case *controlpb.Command_Released:
		return nil, reg.released(idx, knd.Released)
	case *controlpb.Command_ApplyConfiguration:
		return reg.configure(idx, knd.ApplyConfiguration), 0
	case *controlpb.Command_SetDrain:
		reg.setDrain(knd.SetDrain)
	case *controlpb.Command_SetZoneDrain:
		reg.setZoneDrain(idx, knd.SetZoneDrain)
	case *controlpb.Command_CrashReport:
		reg.recordCrash(idx, knd.CrashReport)
	case *controlpb.Command_LowerSuspicion:
		reg.lowerSuspicion(idx, knd.LowerSuspicion)
	}
	return nil, 0
}

// Index returns the newest applied log index.
func (reg *Registry) Index() uint64 {
	reg.mut.RLock()
	defer reg.mut.RUnlock()
	return reg.state.GetIndex()
}

// View calls fn with the state itself rather than a copy; fn must neither change nor keep it.
func (reg *Registry) View(fn func(st *controlpb.RegistryState)) {
	reg.mut.RLock()
	defer reg.mut.RUnlock()
	fn(reg.state)
}

// Since returns the changes after a version, false if they are no longer kept.
func (reg *Registry) Since(ver uint64) (*controlpb.Difference, bool) {
	reg.mut.RLock()
	defer reg.mut.RUnlock()
	if ver > reg.state.GetIndex() {
		return nil, false
	}
	return reg.ring.since(ver)
}

// Tables returns a snapshot for an agent, without members, which the registry does not contain.
func (reg *Registry) Tables() *controlpb.TableSnapshot {
	reg.mut.RLock()
	defer reg.mut.RUnlock()
	snp := &controlpb.TableSnapshot{
		Version:       reg.ring.newest,
		Configuration: forAgents(reg.state.GetConfiguration()),
		Nodes:         append([]*controlpb.Node(nil), reg.state.GetNodes()...),
		DrainedZones:  append([]string(nil), reg.state.GetDrainedZones()...),
		Quarantined:   reg.quarantined(),
	}
	for _, svc := range reg.state.GetConfiguration().GetServices() {
		if tab := reg.table(svc.GetName()); tab != nil {
			snp.Tables = append(snp.Tables, copyTable(tab))
		}
	}
	return snp
}

func copyTable(tab *controlpb.ServiceTable) *controlpb.ServiceTable {
	return &controlpb.ServiceTable{
		Service:   tab.GetService(),
		Owners:    append([]uint64(nil), tab.GetOwners()...),
		Tokens:    append([]uint64(nil), tab.GetTokens()...),
		Moving:    append([]*controlpb.Shard(nil), tab.GetMoving()...),
		Handovers: maps.Clone(tab.GetHandovers()),
		Overrides: append([]*controlpb.Shard(nil), tab.GetOverrides()...),
	}
}

// Changed returns a channel that is closed when the next entry is applied.
func (reg *Registry) Changed() <-chan struct{} {
	reg.mut.RLock()
	defer reg.mut.RUnlock()
	return reg.changed
}
