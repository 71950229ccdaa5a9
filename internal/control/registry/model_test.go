package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	_ "github.com/siskinrill/siskinrill/internal/fixedseed"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	testService    = "shop"
	testPartitions = 16
)

// machine applies random commands to a registry and checks the result of each one.
type machine struct {
	reg       *Registry
	replica   *Registry // applies the same commands, and is restored from a snapshot halfway
	index     uint64
	keys      []string
	sessions  []uint64
	inTransit []*controlpb.Released // delivered in any order and more than once
	tokens    map[string]uint64
	version   uint64            // of the follower
	follower  map[string]string // rows and nodes as known to an agent that applies the differences
	removed   bool              // the follower's configuration does not have the service
}

func newMachine() *machine {
	mac := &machine{reg: New(), replica: New(), tokens: map[string]uint64{}, keys: []string{"k0"}}
	for pos := 1; len(mac.keys) < 3; pos++ { // two keys in one partition, one in another
		key := fmt.Sprint("k", pos)
		same := siskinrill.HashPartition(testService, key, testPartitions) == siskinrill.HashPartition(testService, "k0", testPartitions)
		if same == (len(mac.keys) == 1) {
			mac.keys = append(mac.keys, key)
		}
	}
	mac.apply(configCommand("c", 1, &controlpb.Service{Name: testService, Partitions: testPartitions}))
	return mac
}

func (mac *machine) apply(cmd *controlpb.Command) *siskinrill.Result {
	mac.index++
	mac.replica.Apply(mac.index, cmd)
	return mac.reg.Apply(mac.index, cmd)
}

// zone returns one of two zones.
func (mac *machine) zone(num uint64) string { return fmt.Sprint("z", num%2) }

func (mac *machine) drained(ses uint64) bool {
	return ses != 0 && slices.Contains(mac.reg.state.GetDrainedZones(), mac.reg.node(ses).GetZone())
}

func upstreamOf(svc string, ste controlpb.UpstreamState) *controlpb.Upstream {
	return &controlpb.Upstream{Id: "u", Service: svc, State: ste}
}

// row returns the row that a key belongs to.
func (mac *machine) row(key string) *controlpb.Shard {
	tab := mac.reg.table(testService)
	if row := override(tab, key); row != nil {
		return row
	}
	return partition(tab, siskinrill.HashPartition(testService, key, testPartitions))
}

// assign returns an assignment that is valid for a key's row, except for an occasional outdated token.
func (mac *machine) assign(rt *rapid.T) *controlpb.Command {
	row := mac.row(rapid.SampledFrom(mac.keys).Draw(rt, "key"))
	ref := &controlpb.ShardRef{Service: testService, Partition: row.GetPartition(), Key: row.GetKey(), Token: row.GetToken()}
	knd := controlpb.AssignmentKind(rapid.IntRange(1, 3).Draw(rt, "kind"))
	if row.GetPhase() == orphan {
		knd = controlpb.AssignmentKind_ASSIGNMENT_KIND_GRANT
	}
	if knd == controlpb.AssignmentKind_ASSIGNMENT_KIND_ISOLATE {
		ref.Key = rapid.SampledFrom(mac.keys).Draw(rt, "isolated")
	}
	ref.Token -= uint64(rapid.IntRange(0, 20).Draw(rt, "age") / 20)
	tgt := rapid.SampledFrom(mac.sessions).Draw(rt, "target")
	return Assign(&controlpb.Assignment{Kind: knd, Shard: ref, Target: tgt})
}

// drawCommand draws the next command; rapid draws small numbers more often than large ones.
func (mac *machine) drawCommand(rt *rapid.T) *controlpb.Command {
	if len(mac.sessions) < 2 {
		return RegisterNode(&controlpb.Node{Zone: mac.zone(mac.index), Upstream: upstreamOf(testService, controlpb.UpstreamState_UPSTREAM_STATE_SERVING)})
	}
	ses := rapid.SampledFrom(mac.sessions).Draw(rt, "session")
	switch stp := rapid.IntRange(0, 39).Draw(rt, "step"); {
	case stp <= 10:
		return mac.assign(rt)
	case stp <= 30 && len(mac.inTransit) > 0:
		rel := mac.inTransit[rapid.IntRange(0, len(mac.inTransit)-1).Draw(rt, "release")]
		if rapid.IntRange(0, 9).Draw(rt, "from another session") < 9 {
			ses = rel.GetSession()
		}
		return Released(ses, rel.GetShards()...)
	case stp <= 35:
		return SetUpstream(ses, upstreamOf(testService, controlpb.UpstreamState(stp%4)))
	case stp == 36:
		return ExpireSessions(ses)
	case stp == 37:
		return mac.toggleService()
	case stp == 38:
		return SetZoneDrain(mac.zone(uint64(rapid.IntRange(0, 1).Draw(rt, "zone"))), rapid.Bool().Draw(rt, "drain"))
	}
	return RegisterNode(&controlpb.Node{Zone: mac.zone(mac.index), Upstream: upstreamOf(testService, controlpb.UpstreamState_UPSTREAM_STATE_SERVING)})
}

// toggleService removes the service from the configuration, or adds it again.
func (mac *machine) toggleService() *controlpb.Command {
	num := mac.reg.state.GetConfiguration().GetNumber() + 1
	if len(mac.reg.state.GetConfiguration().GetServices()) > 0 {
		return configCommand(fmt.Sprint("c", num), num)
	}
	return configCommand(fmt.Sprint("c", num), num, &controlpb.Service{Name: testService, Partitions: testPartitions})
}

// step applies a command and returns a description of the first violation, empty for none.
func (mac *machine) step(rt *rapid.T) string {
	cmd, before := mac.drawCommand(rt), map[string]*controlpb.Shard{}
	for _, key := range mac.keys {
		before[key] = mac.row(key)
	}
	mac.apply(cmd)
	mac.sessions = nil
	for _, nod := range mac.reg.state.GetNodes() {
		mac.sessions = append(mac.sessions, nod.GetSession())
	}
	for _, key := range mac.keys {
		if bad := mac.checkKey(key, before[key], mac.row(key), cmd.GetReleased()); bad != "" {
			return bad
		}
	}
	return mac.syncFollower(rapid.IntRange(0, 3).Draw(rt, "follow") == 0)
}

// checkKey checks that a key's owner changes only after it released exactly that row or stopped serving, and
// that tokens only increase.
func (mac *machine) checkKey(key string, was, now *controlpb.Shard, rel *controlpb.Released) string {
	mayChangeOwner := was.GetOwner() == 0 || !mac.reg.canOwn(was.GetOwner(), testService)
	for _, ref := range rel.GetShards() {
		mayChangeOwner = mayChangeOwner || rel.GetSession() == was.GetOwner() && was.GetPhase() == releasing &&
			ref.GetKey() == was.GetKey() && ref.GetPartition() == was.GetPartition() && ref.GetToken() == was.GetToken()
	}
	if now.GetOwner() != was.GetOwner() && !mayChangeOwner {
		return fmt.Sprintf("the owner of key %s changed without a release: from %v to %v", key, was, now)
	}
	assigned := was.GetKey() == now.GetKey() && !now.GetRetiring() && was.GetTarget() == 0
	if assigned && (was.GetOwner() == 0 && mac.drained(now.GetOwner()) || was.GetPhase() == owned && mac.drained(now.GetTarget())) {
		return fmt.Sprintf("key %s was assigned to a drained zone: from %v to %v", key, was, now)
	}
	if now.GetPhase() == releasing && now.GetOwner() == was.GetOwner() {
		ref := &controlpb.ShardRef{Service: testService, Partition: now.GetPartition(), Key: now.GetKey(), Token: now.GetToken()}
		mac.inTransit = append(mac.inTransit, &controlpb.Released{Session: now.GetOwner(), Shards: []*controlpb.ShardRef{ref}})
	}
	// No request starts under the token of an orphan or of a row that is being released, and the next grant
	// gets a newer one.
	if now.GetPhase() != owned {
		return ""
	}
	if now.GetToken() < mac.tokens[key] || now.GetOwner() != was.GetOwner() && now.GetToken() != mac.index {
		return fmt.Sprintf("key %s has token %d after %d", key, now.GetToken(), mac.tokens[key])
	}
	mac.tokens[key] = now.GetToken()
	return ""
}

// syncFollower brings the follower up to date and returns a description of its differences from the tables.
func (mac *machine) syncFollower(update bool) string {
	snp := mac.reg.Tables()
	want := map[string]string{}
	for _, nod := range snp.GetNodes() {
		want[fmt.Sprint("node ", nod.GetSession())] = nod.String()
	}
	for _, zon := range snp.GetDrainedZones() {
		want["zone "+zon] = ""
	}
	for _, tab := range snp.GetTables() {
		for prt := range tab.GetOwners() {
			want[fmt.Sprint("row ", prt)] = partition(tab, uint32(prt)).String()
		}
		for _, row := range tab.GetOverrides() {
			want["key "+row.GetKey()] = row.String()
		}
	}
	if mac.follower == nil {
		mac.follower, mac.version, mac.removed = want, snp.GetVersion(), len(snp.GetTables()) == 0
	}
	if !update {
		return ""
	}
	dif, ok := mac.reg.Since(mac.version)
	for _, chg := range dif.GetChanges() {
		mac.applyChange(chg)
	}
	mac.version = dif.GetTo()
	if !ok || !maps.Equal(want, mac.follower) {
		return fmt.Sprintf("the differences lead to %v instead of %v", mac.follower, want)
	}
	return ""
}

func (mac *machine) applyChange(chg *controlpb.Change) {
	switch knd := chg.GetKind().(type) {
	case *controlpb.Change_SetNode:
		mac.follower[fmt.Sprint("node ", knd.SetNode.GetSession())] = knd.SetNode.String()
	case *controlpb.Change_RemoveNode:
		delete(mac.follower, fmt.Sprint("node ", knd.RemoveNode))
	case *controlpb.Change_SetZoneDrain:
		delete(mac.follower, "zone "+knd.SetZoneDrain.GetZone())
		if knd.SetZoneDrain.GetDrain() {
			mac.follower["zone "+knd.SetZoneDrain.GetZone()] = ""
		}
	case *controlpb.Change_Configuration:
		mac.applyConfiguration(knd.Configuration)
	case *controlpb.Change_SetShard:
		if mac.removed {
			return
		}
		name := fmt.Sprint("row ", knd.SetShard.GetPartition())
		if knd.SetShard.GetKey() != "" {
			name = "key " + knd.SetShard.GetKey()
		}
		mac.follower[name] = knd.SetShard.String()
	case *controlpb.Change_RemoveOverride:
		delete(mac.follower, "key "+knd.RemoveOverride.GetKey())
	}
}

// applyConfiguration removes or adds the rows of the service, as agents do.
func (mac *machine) applyConfiguration(chg *controlpb.ConfigurationChange) {
	if len(chg.GetRemoveServices()) > 0 {
		mac.removed = true
		maps.DeleteFunc(mac.follower, func(name, _ string) bool {
			return strings.HasPrefix(name, "row ") || strings.HasPrefix(name, "key ")
		})
	}
	if len(chg.GetSetServices()) > 0 {
		mac.removed = false
		for prt := range uint32(testPartitions) {
			mac.follower[fmt.Sprint("row ", prt)] = (&controlpb.Shard{Service: testService, Partition: prt}).String()
		}
	}
}
