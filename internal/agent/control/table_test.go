package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func newRoute(name, method, path string) *controlpb.Route {
	return &controlpb.Route{Name: name, Method: method, Path: path, Service: "checkout"}
}

// newSnapshot returns a snapshot of one service whose partitions are owned by session 101.
func newSnapshot(partitions uint32) *controlpb.TableSnapshot {
	svt := &controlpb.ServiceTable{Service: "checkout", Owners: make([]uint64, partitions), Tokens: make([]uint64, partitions)}
	for num := range svt.GetOwners() {
		svt.Owners[num], svt.Tokens[num] = 101, 40
	}
	return &controlpb.TableSnapshot{
		Version: 50,
		Configuration: &controlpb.Configuration{
			Number:   3,
			Services: []*controlpb.Service{{Name: "checkout", Partitions: partitions}},
			Routes: []*controlpb.Route{
				newRoute("a", "GET", "/shades/{code}"), newRoute("b", "POST", "/orders/{order}/payment"), newRoute("c", "GET", "/{tenant}/status"),
			},
		},
		Nodes:  []*controlpb.Node{{Session: 101, Name: "a"}},
		Tables: []*controlpb.ServiceTable{svt},
	}
}

// TestMatch guards against paths that match the wrong route or return the wrong key.
func TestMatch(t *testing.T) {
	tbl := newTable()
	must.NoError(t, tbl.replace(newSnapshot(16)))
	cases := map[string]struct {
		method, path, route, key string
		reason                   siskinrill.Reason
	}{
		"key at the end":     {"GET", "/shades/RAL9005", "a", "RAL9005", ""},
		"key in the middle":  {"POST", "/orders/17/payment", "b", "17", ""},
		"key first":          {"GET", "/north/status", "c", "north", ""},
		"escaped slash":      {"GET", "/shades/a%2Fb%20c", "a", "a/b c", ""},
		"bad escape":         {"GET", "/shades/a%2", "", "", siskinrill.ReasonBadRequest},
		"empty key":          {"GET", "/shades/", "", "", siskinrill.ReasonNoRoute},
		"trailing slash":     {"GET", "/shades/x/", "", "", siskinrill.ReasonNoRoute},
		"too short":          {"POST", "/orders/17", "", "", siskinrill.ReasonNoRoute},
		"too long":           {"POST", "/orders/17/payment/x", "", "", siskinrill.ReasonNoRoute},
		"other method":       {"PUT", "/shades/x", "", "", siskinrill.ReasonMethodNotAllowed},
		"not a path":         {"GET", "*", "", "", siskinrill.ReasonNoRoute},
		"root":               {"GET", "/", "", "", siskinrill.ReasonNoRoute},
		"literal before key": {"GET", "/shades/status", "a", "status", ""},
	}
	for name, cse := range cases {
		rte, key, rsn := tbl.match("", cse.method, cse.path)
		must.Eq(t, []string{cse.route, cse.key, string(cse.reason)}, []string{rte.GetName(), key, string(rsn)}, must.Sprint(name))
	}
}

func setShard(shd *controlpb.Shard) *controlpb.Change {
	return &controlpb.Change{Kind: &controlpb.Change_SetShard{SetShard: shd}}
}

// TestDifference guards against rows, nodes and routes that differ from what control has sent.
func TestDifference(t *testing.T) {
	tbl := newTable()
	must.NoError(t, tbl.replace(newSnapshot(16)))
	par := siskinrill.HashPartition("checkout", "k", 16)
	must.Eq(t, 101, tbl.shard("checkout", "k").GetOwner())
	must.Len(t, 16, tbl.owned(101))
	ref := &controlpb.ShardRef{Service: "checkout", Partition: par, Token: 40}
	must.True(t, tbl.holds(101, ref))
	must.NoError(t, tbl.apply(&controlpb.Difference{From: 50, To: 52, Changes: []*controlpb.Change{
		setShard(&controlpb.Shard{Service: "checkout", Partition: par, Owner: 101, Token: 40, Phase: controlpb.Phase_PHASE_RELEASING, Target: 102}),
		setShard(&controlpb.Shard{Service: "checkout", Key: "hot", Owner: 102, Token: 51, Phase: controlpb.Phase_PHASE_OWNED}),
		{Kind: &controlpb.Change_SetNode{SetNode: &controlpb.Node{Session: 102}}},
	}}))
	must.Eq(t, controlpb.Phase_PHASE_RELEASING, tbl.shard("checkout", "k").GetPhase())
	must.Eq(t, 102, tbl.shard("checkout", "hot").GetOwner())
	must.NotNil(t, tbl.node(102))
	must.Len(t, 16, tbl.owned(101))
	must.NoError(t, tbl.apply(&controlpb.Difference{From: 52, To: 53, Changes: []*controlpb.Change{
		setShard(&controlpb.Shard{Service: "checkout", Partition: par, Owner: 102, Token: 53, Phase: controlpb.Phase_PHASE_OWNED}),
		{Kind: &controlpb.Change_RemoveOverride{RemoveOverride: &controlpb.ShardRef{Service: "checkout", Key: "hot"}}},
		{Kind: &controlpb.Change_RemoveNode{RemoveNode: 101}},
		{Kind: &controlpb.Change_Configuration{Configuration: &controlpb.ConfigurationChange{
			Number: 4, RemoveRoutes: []string{"a"}, SetRoutes: []*controlpb.Route{newRoute("d", "GET", "/stock/{code}")},
			SetServices: []*controlpb.Service{{Name: "photodesk", Partitions: 32}},
		}}},
	}}))
	must.Eq(t, 102, tbl.shard("checkout", "k").GetOwner())
	must.Eq(t, controlpb.Phase_PHASE_OWNED, tbl.shard("checkout", "k").GetPhase())
	must.False(t, tbl.holds(101, ref))
	must.Eq(t, "", tbl.shard("checkout", "hot").GetKey())
	must.Nil(t, tbl.node(101))
	must.SliceContainsFunc(t, tbl.allNodes(), 102, func(nod *controlpb.Node, ses int) bool { return nod.GetSession() == uint64(ses) })
	must.SliceNotContainsFunc(t, tbl.allNodes(), 101, func(nod *controlpb.Node, ses int) bool { return nod.GetSession() == uint64(ses) })
	must.Eq(t, controlpb.Phase_PHASE_ORPHAN, tbl.shard("photodesk", "k").GetPhase())
	must.Nil(t, tbl.shard("unknown", "k"))
	_, _, rsn := tbl.match("", "GET", "/shades/x")
	must.Eq(t, siskinrill.ReasonNoRoute, rsn)
	rte, _, _ := tbl.match("", "GET", "/stock/x")
	must.Eq(t, "d", rte.GetName())
	ver, num := tbl.versions()
	must.Eq(t, [2]uint64{53, 4}, [2]uint64{ver, num})
	must.Error(t, tbl.apply(&controlpb.Difference{From: 54, To: 55}))
	must.Error(t, tbl.replace(newSnapshot(16)))
}

// TestAwait guards against a wait that misses a version or continues after its context has ended.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tbl := newTable()
		time.AfterFunc(time.Second, func() { _ = tbl.replace(newSnapshot(16)) })
		beg := time.Now()
		must.NoError(t, tbl.await(t.Context(), 49))
		must.Eq(t, time.Second, time.Since(beg))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, tbl.await(ctx, 50), context.DeadlineExceeded)
	})
}

// BenchmarkLookup measures the route match and row lookup of one request with 16,384 partitions and 100 routes.
func BenchmarkLookup(b *testing.B) {
	snp := newSnapshot(16384)
	for num := range 100 {
		snp.Configuration.Routes = append(snp.Configuration.Routes, newRoute(fmt.Sprintf("r%d", num), "GET", fmt.Sprintf("/p%d/{key}", num)))
	}
	ses := New(Options{})
	must.NoError(b, ses.table.replace(snp))
	b.ReportAllocs()
	for b.Loop() {
		rte, key, _ := ses.Match("", "GET", "/p50/RAL9005")
		if ses.Shard(rte.GetService(), key).GetOwner() != 101 {
			b.Fatal("wrong owner")
		}
	}
}

// Guards against an answer to a heartbeat that does not wait for rows moving to this agent, or that waits for
// rows moving to others.
func TestIncoming(tst *testing.T) {
	for name, tcs := range map[string]struct {
		row  *controlpb.Shard
		want bool
	}{
		"owned":              {row: &controlpb.Shard{Service: "s", Owner: 7, Token: 3, Phase: controlpb.Phase_PHASE_OWNED}},
		"moves here":         {row: &controlpb.Shard{Service: "s", Owner: 8, Token: 3, Phase: controlpb.Phase_PHASE_RELEASING, Target: 7}, want: true},
		"moves to another":   {row: &controlpb.Shard{Service: "s", Owner: 7, Token: 3, Phase: controlpb.Phase_PHASE_RELEASING, Target: 8}},
		"without an owner":   {row: &controlpb.Shard{Service: "s", Phase: controlpb.Phase_PHASE_ORPHAN}, want: true},
		"of another service": {row: &controlpb.Shard{Service: "t", Phase: controlpb.Phase_PHASE_ORPHAN}},
	} {
		tst.Run(name, func(tst *testing.T) {
			tbl := newTable()
			tbl.rows["s"], tbl.rows["t"] = newRows(1), newRows(1)
			tbl.rows["s"].owners[0] = 8
			tbl.rows[tcs.row.GetService()].set(tcs.row)
			must.Eq(tst, tcs.want, tbl.incoming("s", 7))
		})
	}
}

// Guards against a 404, which callers treat as final, from an agent that has no configuration yet.
func TestMatchWithoutConfiguration(tst *testing.T) {
	tbl := newTable()
	_, _, rsn := tbl.match("h", "GET", "/p/1")
	must.Eq(tst, siskinrill.ReasonNoLease, rsn)
	tbl.configNumber = 1
	_, _, rsn = tbl.match("h", "GET", "/p/1")
	must.Eq(tst, siskinrill.ReasonNoRoute, rsn)
}

// TestLimitsOfEarlierConfiguration guards against bodies that are refused by a limit that the configuration no longer has, at agents
// that were running when it changed.
func TestLimitsOfEarlierConfiguration(t *testing.T) {
	reg, tbl := registry.New(), newTable()
	limits := &controlpb.RequestLimits{MaxBodyBytes: 100}
	reg.Apply(1, registry.ApplyConfiguration("one", "", &controlpb.Configuration{Number: 1, Limits: limits}))
	must.NoError(t, tbl.replace(reg.Tables()))
	must.Eq(t, 100, tbl.requestLimits().GetMaxBodyBytes())
	reg.Apply(2, registry.ApplyConfiguration("two", "", &controlpb.Configuration{Number: 2}))
	dif, ok := reg.Since(1)
	must.True(t, ok)
	must.NoError(t, tbl.apply(dif))
	must.Eq(t, 0, tbl.requestLimits().GetMaxBodyBytes())
}
