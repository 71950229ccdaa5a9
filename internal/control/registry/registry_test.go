package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Guards against two owners of a key among holders with views of any age, falling tokens, differences that do not lead to the tables, and copies that diverge.
func TestOwnershipProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mac := newMachine()
		steps := rapid.IntRange(1, 250).Draw(rt, "steps")
		for stp := range steps {
			mac.step(rt)
			if bad := mac.check(); bad != "" {
				rt.Fatalf("step %d: %s", stp, bad)
			}
			if stp == steps/2 {
				raw, err := mac.twin.Save()
				must.NoError(rt, err)
				mac.twin = New()
				must.NoError(rt, mac.twin.Restore(raw))
			}
		}
		one, err := mac.reg.Save()
		must.NoError(rt, err)
		two, err := mac.twin.Save()
		must.NoError(rt, err)
		must.Eq(rt, one, two)
		for _, hol := range mac.holders {
			hol.pull(mac.reg)
			checkView(rt, hol, mac.reg.Tables())
		}
	})
}

func checkView(rt *rapid.T, hol *holder, snp *controlpb.TableSnapshot) {
	want := &holder{session: hol.session}
	want.snapshot(snp)
	must.Eq(rt, len(want.keys), len(hol.keys))
	for key, row := range want.keys {
		must.Eq(rt, row.String(), hol.keys[key].String())
	}
	for prt, row := range want.rows {
		must.Eq(rt, row.String(), hol.rows[prt].String())
	}
}

func configCommand(cid string, num uint64, services ...*controlpb.Service) *controlpb.ApplyConfiguration {
	return &controlpb.ApplyConfiguration{ChangeId: cid, Configuration: &controlpb.Configuration{Number: num, Services: services}}
}

func applyConfig(reg *Registry, cmd *controlpb.ApplyConfiguration) *controlpb.ChangeRecord {
	knd := &controlpb.Command_ApplyConfiguration{ApplyConfiguration: cmd}
	return reg.Apply(reg.Index()+1, &controlpb.Command{Kind: knd}).Record()
}

// Guards against changes that are accepted or refused for the wrong reason.
func TestConfigurationRefusals(t *testing.T) {
	svc := func(name string, prt uint32) *controlpb.Service {
		return &controlpb.Service{Name: name, Partitions: prt}
	}
	routed := configCommand("x", 2, svc("a", 16))
	routed.Configuration.Routes = []*controlpb.Route{{Name: "r", Service: "b"}}
	cases := map[string]struct {
		cmd    *controlpb.ApplyConfiguration
		reason string
		winner string
	}{
		"taken":          {configCommand("x", 1, svc("b", 16)), ReasonNumberTaken, "first"},
		"taken equal":    {configCommand("x", 1, svc("a", 16)), ReasonNumberTaken, "first"},
		"too high":       {configCommand("x", 3, svc("a", 16)), ReasonNumberNotNext, ""},
		"zero":           {configCommand("x", 0, svc("a", 16)), ReasonNumberNotNext, ""},
		"other number":   {configCommand("x", 2, svc("a", 32)), ReasonPartitionsFixed, ""},
		"few partitions": {configCommand("x", 2, svc("b", 15)), ReasonPartitionsRange, ""},
		"many":           {configCommand("x", 2, svc("b", 16385)), ReasonPartitionsRange, ""},
		"twice":          {configCommand("x", 2, svc("a", 16), svc("a", 16)), ReasonDuplicateName, ""},
		"unknown":        {routed, ReasonUnknownService, ""},
		"accepted":       {configCommand("x", 2, svc("a", 16), svc("b", 16)), "", ""},
		"resent":         {configCommand("first", 9, svc("z", 16)), "", ""},
	}
	for name, tcs := range cases {
		t.Run(name, func(t *testing.T) {
			reg := New()
			applyConfig(reg, configCommand("first", 1, svc("a", 16)))
			rec := applyConfig(reg, tcs.cmd)
			must.Eq(t, tcs.reason, rec.GetReason())
			must.Eq(t, tcs.winner, rec.GetWinner())
			must.Eq(t, tcs.reason == "", rec.GetAccepted())
			again := applyConfig(reg, tcs.cmd)
			must.Eq(t, rec.String(), again.String())
		})
	}
}

// Guards against answers that are forgotten too early, kept for ever, or lost in a snapshot.
func TestKeptAnswers(t *testing.T) {
	reg := New()
	first := applyConfig(reg, configCommand("c1", 1))
	second := applyConfig(reg, configCommand("c2", 2))
	for num := uint64(3); num <= keptChanges+1; num++ {
		applyConfig(reg, configCommand(fmt.Sprint("c", num), num))
	}
	must.MapLen(t, keptChanges, reg.answers)
	raw, err := reg.Save()
	must.NoError(t, err)
	must.NoError(t, reg.Restore(raw))
	must.Eq(t, second.String(), applyConfig(reg, configCommand("c2", 2)).String())
	must.Eq(t, ReasonNumberTaken, applyConfig(reg, configCommand("late", 2)).GetReason())
	again := applyConfig(reg, configCommand("c1", 1))
	must.NotEq(t, first.String(), again.String())
	must.False(t, again.GetAccepted())
	must.MapLen(t, keptChanges, reg.answers)
}

// Guards against a removed service whose owners are forgotten while they may still serve.
func TestReturningService(t *testing.T) {
	reg := New()
	svc := &controlpb.Service{Name: "a", Partitions: 16}
	applyConfig(reg, configCommand("c1", 1, svc))
	ups := &controlpb.Upstream{Id: "u", Service: "a", State: controlpb.UpstreamState_UPSTREAM_STATE_SERVING}
	reg.Apply(2, registerCommand(&controlpb.Node{Upstream: ups}))
	reg.Apply(3, assignCommand(&controlpb.Assignment{Shard: &controlpb.ShardRef{Service: "a", Partition: 5}, Target: 2}))
	applyConfig(reg, configCommand("c2", 2))
	must.SliceEmpty(t, reg.Tables().GetTables())
	ver := reg.Index()
	must.Eq(t, ReasonPartitionsFixed, applyConfig(reg, configCommand("c3", 3, &controlpb.Service{Name: "a", Partitions: 32})).GetReason())
	applyConfig(reg, configCommand("c4", 3, svc))
	must.Eq(t, 2, reg.Tables().GetTables()[0].GetOwners()[5])
	dif, ok := reg.Since(ver)
	must.True(t, ok)
	must.Eq(t, 2, dif.GetChanges()[1].GetSetShard().GetOwner())
	applyConfig(reg, configCommand("c5", 4))
	reg.Apply(reg.Index()+1, expireCommand(2))
	must.True(t, applyConfig(reg, configCommand("c6", 5)).GetAccepted())
	must.True(t, applyConfig(reg, configCommand("c7", 6, &controlpb.Service{Name: "a", Partitions: 32})).GetAccepted())
}

// Guards against a ring that loses changes or claims to have those it dropped.
func TestRing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rng ring
		var at []uint64
		idx := uint64(0)
		for range rapid.IntRange(0, 3*ringSize/64).Draw(rt, "commands") {
			idx += uint64(rapid.IntRange(1, 3).Draw(rt, "gap"))
			for range rapid.IntRange(1, 128).Draw(rt, "changes") {
				rng.add(idx, &controlpb.Change{})
				at = append(at, idx)
			}
		}
		ver := uint64(rapid.IntRange(0, int(idx)).Draw(rt, "version"))
		want := 0
		for _, pos := range at {
			if pos > ver {
				want++
			}
		}
		dif, ok := rng.since(ver)
		must.Eq(rt, want <= ringSize, ok)
		if ok {
			must.Len(rt, want, dif.GetChanges())
		}
	})
}

// Guards against an isolated key with two owners: its partition's owner holds the override until it has released it, and the same on the way back.
func TestIsolateAndRetire(t *testing.T) {
	mac := newMachine()
	mac.join()
	mac.join()
	one, two, key := mac.holders[0].session, mac.holders[1].session, "k1"
	prt := siskinrill.Partition(testService, key, testPartitions)
	asg := func(knd controlpb.AssignmentKind, key string, tok, tgt uint64) int {
		ref := &controlpb.ShardRef{Service: testService, Partition: prt, Key: key, Token: tok}
		return mac.apply(assignCommand(&controlpb.Assignment{Kind: knd, Shard: ref, Target: tgt})).Skipped()
	}
	row := func() *controlpb.Shard { return override(mac.reg.table(testService), key) }
	release := func(ses, tok uint64) int {
		return mac.apply(releasedCommand(ses, &controlpb.ShardRef{Service: testService, Partition: prt, Key: key, Token: tok})).Skipped()
	}
	must.Zero(t, asg(controlpb.AssignmentKind_ASSIGNMENT_KIND_GRANT, "", 0, one))
	granted := mac.index
	must.One(t, asg(controlpb.AssignmentKind_ASSIGNMENT_KIND_ISOLATE, key, granted-1, two))
	must.Zero(t, asg(controlpb.AssignmentKind_ASSIGNMENT_KIND_ISOLATE, key, granted, two))
	must.Eq(t, releasing, row().GetPhase())
	must.Eq(t, one, row().GetOwner())
	tok := row().GetToken()
	must.Greater(t, granted, tok)
	must.One(t, release(two, tok))
	must.One(t, release(one, granted))
	must.Zero(t, release(one, tok))
	must.Eq(t, two, row().GetOwner())
	must.Greater(t, tok, row().GetToken())
	must.Zero(t, asg(controlpb.AssignmentKind_ASSIGNMENT_KIND_RETIRE, key, row().GetToken(), 0))
	must.Eq(t, two, row().GetOwner())
	must.True(t, row().GetRetiring())
	must.Zero(t, release(two, row().GetToken()))
	must.Nil(t, row())
	must.Eq(t, mac.index, partition(mac.reg.table(testService), prt).GetToken())
}
