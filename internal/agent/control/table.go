package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// rows is the ownership table of one service; owners and tokens are indexed by partition.
type rows struct {
	owners    []uint64
	tokens    []uint64
	moving    map[uint32]*controlpb.Shard // partitions that are being released
	overrides map[string]*controlpb.Shard
	handovers map[uint32]string // handover data for the next owner, by partition
}

func newRows(partitions uint32) *rows {
	return &rows{
		owners:    make([]uint64, partitions),
		tokens:    make([]uint64, partitions),
		moving:    map[uint32]*controlpb.Shard{},
		overrides: map[string]*controlpb.Shard{},
		handovers: map[uint32]string{},
	}
}

// table is the agent's copy of the configuration and of the ownership; it is safe for concurrent use.
type table struct {
	mu               sync.RWMutex
	version          uint64
	configNumber     uint64 // number of the configuration, 0 for none
	services         map[string]*controlpb.Service
	routes           map[string]*controlpb.Route
	index            *routeIndex
	nodes            map[uint64]*controlpb.Node
	rows             map[string]*rows
	members          []string // addresses of the control processes
	changed          chan struct{}
	gap              bool // a difference was missed, so the next hello requests a snapshot
	limits           *controlpb.RequestLimits
	servingByService map[string][]*controlpb.Node // index by service, nil until built after a change of the nodes
	zones            drainedZones
	quarantine       quarantine
}

func newTable() *table {
	return &table{
		services: map[string]*controlpb.Service{},
		routes:   map[string]*controlpb.Route{},
		index:    newRouteIndex(nil),
		nodes:    map[uint64]*controlpb.Node{},
		rows:     map[string]*rows{},
		changed:  make(chan struct{}),
	}
}

// match returns the route of a request with its key, or the reason why there is none. Without a configuration
// the reason is ReasonNoLease, since it is unknown whether a route exists.
func (tbl *table) match(host, method, path string) (*controlpb.Route, string, siskinrill.Reason) {
	tbl.mu.RLock()
	idx, number := tbl.index, tbl.configNumber
	tbl.mu.RUnlock()
	if number == 0 {
		return nil, "", siskinrill.ReasonNoLease
	}
	return idx.match(host, method, path)
}

func (tbl *table) service(name string) *controlpb.Service {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return tbl.services[name]
}

func (tbl *table) node(ses uint64) *controlpb.Node {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return tbl.nodes[ses]
}

func (tbl *table) allNodes() []*controlpb.Node {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return slices.Collect(maps.Values(tbl.nodes))
}

// upstreams returns the agents whose backend servers serve a service, in the order of their sessions; the slice
// must not be modified.
func (tbl *table) upstreams(svc string) []*controlpb.Node {
	tbl.mu.RLock()
	byService := tbl.servingByService
	tbl.mu.RUnlock()
	if byService == nil {
		byService = tbl.servingNodes()
	}
	return byService[svc]
}

func (tbl *table) servingNodes() map[string][]*controlpb.Node {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.servingByService != nil {
		return tbl.servingByService
	}
	byService := map[string][]*controlpb.Node{}
	for _, nod := range tbl.nodes {
		if nod.GetUpstream().GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING {
			byService[nod.GetUpstream().GetService()] = append(byService[nod.GetUpstream().GetService()], nod)
		}
	}
	for _, nods := range byService {
		slices.SortFunc(nods, func(one, two *controlpb.Node) int { return cmp.Compare(one.GetSession(), two.GetSession()) })
	}
	tbl.servingByService = byService
	return byService
}

func (tbl *table) requestLimits() *controlpb.RequestLimits {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return tbl.limits
}

func (tbl *table) versions() (uint64, uint64) {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return tbl.version, tbl.configNumber
}

// baseVersion returns the version that the next difference may start from, 0 to request a snapshot.
func (tbl *table) baseVersion() uint64 {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	if tbl.gap {
		return 0
	}
	return tbl.version
}

func (tbl *table) addresses() []string {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	return tbl.members
}

func (tbl *table) shard(svc, key string) *controlpb.Shard {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	row := tbl.rows[svc]
	if row == nil || len(row.owners) == 0 {
		return nil
	}
	if len(row.overrides) > 0 {
		if shd := row.overrides[key]; shd != nil {
			return copyShard(shd)
		}
	}
	par, ok := siskinrill.PartitionOf(tbl.services[svc], key)
	if !ok || int(par) >= len(row.owners) {
		return nil
	}
	return row.shard(svc, par)
}

// shard returns a copy of the row of a partition.
func (row *rows) shard(svc string, par uint32) *controlpb.Shard {
	if shd := row.moving[par]; shd != nil {
		return copyShard(shd)
	}
	shd := &controlpb.Shard{Service: svc, Partition: par, Owner: row.owners[par], Token: row.tokens[par]}
	if shd.Owner != 0 {
		shd.Phase, shd.Handover = controlpb.Phase_PHASE_OWNED, row.handovers[par]
	}
	return shd
}

func copyShard(shd *controlpb.Shard) *controlpb.Shard {
	return &controlpb.Shard{
		Service: shd.Service, Partition: shd.Partition, Key: shd.Key, Owner: shd.Owner,
		Token: shd.Token, Phase: shd.Phase, Target: shd.Target, Retiring: shd.Retiring, Handover: shd.Handover,
	}
}

// owned returns copies of the rows of an owner.
func (tbl *table) owned(ses uint64) []*controlpb.Shard {
	if ses == 0 {
		return nil
	}
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	var shds []*controlpb.Shard
	for svc, row := range tbl.rows {
		for par, own := range row.owners {
			if own == ses {
				shds = append(shds, row.shard(svc, uint32(par)))
			}
		}
		for _, shd := range row.overrides {
			if shd.Owner == ses {
				shds = append(shds, copyShard(shd))
			}
		}
	}
	return shds
}

// incoming reports whether rows of a service are moving to a session, or have no owner and may be granted to
// it.
func (tbl *table) incoming(svc string, ses uint64) bool {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	row := tbl.rows[svc]
	if row == nil || ses == 0 {
		return false
	}
	for _, shd := range row.moving {
		if shd.GetTarget() == ses {
			return true
		}
	}
	return slices.Contains(row.owners, 0)
}

// holds reports whether a session still owns a shard with the token of the reference.
func (tbl *table) holds(ses uint64, ref *controlpb.ShardRef) bool {
	tbl.mu.RLock()
	defer tbl.mu.RUnlock()
	row := tbl.rows[ref.GetService()]
	if row == nil {
		return false
	}
	if ref.GetKey() != "" {
		shd := row.overrides[ref.GetKey()]
		return shd != nil && shd.Owner == ses && shd.Token == ref.GetToken()
	}
	par := int(ref.GetPartition())
	return par < len(row.owners) && row.owners[par] == ses && row.tokens[par] == ref.GetToken()
}

func (tbl *table) await(ctx context.Context, ver uint64) error {
	for {
		tbl.mu.RLock()
		cur, chg := tbl.version, tbl.changed
		tbl.mu.RUnlock()
		if cur > ver {
			return nil
		}
		select {
		case <-chg:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "await version")
		}
	}
}

// advance sets the version and wakes the waiting goroutines; the lock is held.
func (tbl *table) advance(ver uint64) {
	tbl.version = ver
	close(tbl.changed)
	tbl.changed = make(chan struct{})
}
