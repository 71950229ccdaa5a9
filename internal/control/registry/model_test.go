package registry

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	testService    = "shop"
	testPartitions = 16
)

// holder is an agent with a view that lags; it keeps its own copy of the rows and follows the rules of an owner.
type holder struct {
	session  uint64
	version  uint64
	rows     []*controlpb.Shard
	keys     map[string]*controlpb.Shard
	since    uint64 // of its upstream, as seen
	failed   bool
	waits    uint64          // rows count only once since is over it
	released map[string]bool // by shard and token
	dead     bool
}

func name(row *controlpb.Shard) string {
	return fmt.Sprintf("%d/%s@%d", row.GetPartition(), row.GetKey(), row.GetToken())
}

// pull brings the view up to date, by the difference if it is kept.
func (hol *holder) pull(reg *Registry) {
	dif, ok := reg.Since(hol.version)
	if hol.version == 0 || !ok {
		hol.snapshot(reg.Tables())
		return
	}
	for _, chg := range dif.GetChanges() {
		hol.change(chg)
	}
	hol.version = dif.GetTo()
}

func (hol *holder) snapshot(snp *controlpb.TableSnapshot) {
	hol.version, hol.keys = snp.GetVersion(), map[string]*controlpb.Shard{}
	hol.rows = make([]*controlpb.Shard, testPartitions)
	for _, nod := range snp.GetNodes() {
		hol.setNode(nod)
	}
	for prt := range hol.rows {
		hol.rows[prt] = partition(snp.GetTables()[0], uint32(prt))
	}
	for _, row := range snp.GetTables()[0].GetOverrides() {
		hol.keys[row.GetKey()] = row
	}
}

func (hol *holder) setNode(nod *controlpb.Node) {
	if nod.GetSession() == hol.session && serving(nod.GetUpstream()) {
		hol.since = nod.GetUpstream().GetSinceIndex()
	}
}

func (hol *holder) change(chg *controlpb.Change) {
	switch knd := chg.GetKind().(type) {
	case *controlpb.Change_SetNode:
		hol.setNode(knd.SetNode)
	case *controlpb.Change_SetShard:
		if row := knd.SetShard; row.GetKey() != "" {
			hol.keys[row.GetKey()] = row
		} else {
			hol.rows[row.GetPartition()] = row
		}
	case *controlpb.Change_RemoveOverride:
		delete(hol.keys, knd.RemoveOverride.GetKey())
	}
}

// row returns the row that holds a key in this view, nil for none.
func (hol *holder) row(key string) *controlpb.Shard {
	if row := hol.keys[key]; row != nil {
		return row
	}
	return hol.rows[siskinrill.Partition(testService, key, testPartitions)]
}

// serves reports whether this holder would run a request for a key now, work that it finishes before a release included.
func (hol *holder) serves(key string) bool {
	row := hol.row(key)
	return !hol.dead && !hol.failed && hol.since > hol.waits && row.GetOwner() == hol.session &&
		row.GetToken() > hol.waits && !hol.released[name(row)]
}

// releasing returns the rows that this holder sees as being released.
func (hol *holder) releasing() []*controlpb.ShardRef {
	var out []*controlpb.ShardRef
	for _, row := range hol.rows {
		out = hol.appendReleasing(out, row)
	}
	for _, row := range hol.keys {
		out = hol.appendReleasing(out, row)
	}
	return out
}

func (hol *holder) appendReleasing(out []*controlpb.ShardRef, row *controlpb.Shard) []*controlpb.ShardRef {
	if row.GetOwner() != hol.session || row.GetPhase() != releasing {
		return out
	}
	hol.released[name(row)] = true
	return append(out, &controlpb.ShardRef{Service: testService, Partition: row.GetPartition(), Key: row.GetKey(), Token: row.GetToken()})
}

// machine applies random commands to a registry that holders follow.
type machine struct {
	reg     *Registry
	twin    *Registry // applies the same, from a snapshot in the middle
	index   uint64
	holders []*holder
	keys    []string
	delayed []*controlpb.Command // releases on their way, delivered in any order and more than once
	tokens  map[string]uint64
}

func newMachine() *machine {
	mac := &machine{reg: New(), twin: New(), tokens: map[string]uint64{}}
	mac.keys = sameServiceKeys()
	cnf := &controlpb.Configuration{Number: 1, Services: []*controlpb.Service{{Name: testService, Partitions: testPartitions}}}
	mac.apply(&controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{ChangeId: "c", Configuration: cnf}}})
	return mac
}

// sameServiceKeys returns three keys, two of them in one partition.
func sameServiceKeys() []string {
	keys := []string{"k0"}
	for pos := 1; len(keys) < 3; pos++ {
		key := fmt.Sprintf("k%d", pos)
		same := siskinrill.Partition(testService, key, testPartitions) == siskinrill.Partition(testService, "k0", testPartitions)
		if same == (len(keys) == 1) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (mac *machine) apply(cmd *controlpb.Command) *siskinrill.Result {
	mac.index++
	mac.twin.Apply(mac.index, cmd)
	return mac.reg.Apply(mac.index, cmd)
}

func (mac *machine) join() {
	ups := &controlpb.Upstream{Id: "u", Service: testService, State: controlpb.UpstreamState_UPSTREAM_STATE_SERVING}
	mac.apply(registerCommand(&controlpb.Node{Name: "n", Upstream: ups}))
	hol := &holder{session: mac.index, released: map[string]bool{}}
	hol.pull(mac.reg)
	mac.holders = append(mac.holders, hol)
}

func registerCommand(nod *controlpb.Node) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_RegisterNode{RegisterNode: &controlpb.RegisterNode{Node: nod}}}
}

func expireCommand(sessions ...uint64) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_ExpireSessions{ExpireSessions: &controlpb.ExpireSessions{Sessions: sessions}}}
}

func assignCommand(asg ...*controlpb.Assignment) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_Assign{Assign: &controlpb.Assign{Assignments: asg}}}
}

func releasedCommand(ses uint64, refs ...*controlpb.ShardRef) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_Released{Released: &controlpb.Released{Session: ses, Shards: refs}}}
}

func (mac *machine) setUpstream(hol *holder, ste controlpb.UpstreamState) {
	if ste == controlpb.UpstreamState_UPSTREAM_STATE_FAILED {
		hol.failed, hol.waits = true, max(hol.since, hol.waits)
	}
	set := &controlpb.SetUpstream{Session: hol.session, Upstream: &controlpb.Upstream{Id: "u", Service: testService, State: ste}}
	mac.apply(&controlpb.Command{Kind: &controlpb.Command_SetUpstream{SetUpstream: set}})
	hol.failed = ste == controlpb.UpstreamState_UPSTREAM_STATE_FAILED
}

// assign proposes an assignment that suits the row as a holder sees it, which may be long ago.
func (mac *machine) assign(rt *rapid.T, hol *holder) {
	key := rapid.SampledFrom(mac.keys).Draw(rt, "key")
	row := hol.row(key)
	ref := &controlpb.ShardRef{Service: testService, Partition: siskinrill.Partition(testService, key, testPartitions), Key: row.GetKey(), Token: row.GetToken()}
	knd := controlpb.AssignmentKind(rapid.IntRange(1, 3).Draw(rt, "kind"))
	if row.GetPhase() == orphan {
		knd = controlpb.AssignmentKind_ASSIGNMENT_KIND_GRANT
	}
	if knd == controlpb.AssignmentKind_ASSIGNMENT_KIND_ISOLATE {
		ref.Key, ref.Token = key, hol.rows[ref.GetPartition()].GetToken()
	}
	tgt := rapid.IntRange(0, len(mac.holders)-1).Draw(rt, "target")
	mac.apply(assignCommand(&controlpb.Assignment{Kind: knd, Shard: ref, Target: mac.holders[tgt].session}))
}

// step does one random thing.
func (mac *machine) step(rt *rapid.T) {
	if len(mac.holders) < 2 {
		mac.join()
		return
	}
	pos := rapid.IntRange(0, len(mac.holders)-1).Draw(rt, "holder")
	hol := mac.holders[pos]
	// Small numbers are drawn more often than large ones.
	switch stp := rapid.IntRange(0, 39).Draw(rt, "step"); {
	case stp <= 5:
		mac.assign(rt, hol)
	case stp <= 15:
		hol.pull(mac.reg)
	case stp <= 22:
		if refs := hol.releasing(); len(refs) > 0 {
			mac.delayed = append(mac.delayed, releasedCommand(hol.session, refs...))
		}
	case stp <= 30:
		if len(mac.delayed) > 0 {
			mac.apply(mac.delayed[rapid.IntRange(max(0, len(mac.delayed)-3), len(mac.delayed)-1).Draw(rt, "release")])
		}
	case stp <= 32:
		mac.setUpstream(hol, controlpb.UpstreamState_UPSTREAM_STATE_FAILED)
	case stp <= 35:
		mac.setUpstream(hol, controlpb.UpstreamState_UPSTREAM_STATE_SERVING)
	case stp <= 37:
		hol.dead = true // its lease has ended before control expires it
		mac.holders = append(mac.holders[:pos:pos], mac.holders[pos+1:]...)
		mac.apply(expireCommand(hol.session))
	default:
		if len(mac.holders) < 4 {
			mac.join()
		}
	}
}

// check returns what is wrong, empty for nothing.
func (mac *machine) check() string {
	mac.reg.mut.RLock()
	tab := mac.reg.table(testService)
	mac.reg.mut.RUnlock()
	for _, key := range mac.keys {
		var owners []uint64
		for _, hol := range mac.holders {
			if hol.serves(key) {
				owners = append(owners, hol.session)
			}
		}
		if len(owners) > 1 {
			return fmt.Sprintf("key %s is served by %v", key, owners)
		}
		row := override(tab, key)
		if row == nil {
			row = partition(tab, siskinrill.Partition(testService, key, testPartitions))
		}
		if row.GetPhase() != owned {
			continue // nobody starts a request under the token of such a row, and the next grant brings a newer one
		}
		if row.GetToken() < mac.tokens[key] {
			return fmt.Sprintf("token of %s falls from %d to %d", key, mac.tokens[key], row.GetToken())
		}
		mac.tokens[key] = row.GetToken()
	}
	return ""
}
