package registry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	deadly  = uint64(7)
	healthy = uint64(8)
)

func crash(server uint64, reqs ...uint64) *controlpb.Command {
	return RecordCrash(&controlpb.CrashReport{Server: server, Requests: reqs})
}

// TestQuarantine guards against a quarantine that begins late, after a report that arrived twice, or for requests that ran at
// few crashes, and against one that a snapshot loses or whose begin or end agents are not told.
func TestQuarantine(t *testing.T) {
	reg := New()
	for num, stp := range []struct {
		cmd     *controlpb.Command
		want    []uint64
		changes int
	}{
		{cmd: crash(1, deadly, healthy)},
		{cmd: crash(1, deadly, healthy)},
		{cmd: crash(2, deadly)},
		{cmd: crash(2, deadly)},
		{cmd: LowerSuspicion(1, deadly)}, // a later crash has been counted
		{cmd: crash(3, deadly), want: []uint64{deadly}, changes: 1},
		{cmd: crash(4, deadly, healthy), want: []uint64{deadly}},
		{cmd: LowerSuspicion(7, deadly), changes: 1},
		{cmd: crash(5, deadly), want: []uint64{deadly}, changes: 1},
		{cmd: ForgetSuspects(deadly, 99), changes: 1},
		{cmd: crash(6, deadly)},
		{cmd: crash(7, healthy), want: []uint64{healthy}, changes: 1},
	} {
		ver := reg.Index()
		reg.Apply(ver+1, stp.cmd)
		dif, ok := reg.Since(ver)
		must.True(t, ok)
		must.Len(t, stp.changes, dif.GetChanges(), must.Sprint("step ", num))
		must.Eq(t, stp.want, reg.Tables().GetQuarantined(), must.Sprint("step ", num))
	}
	raw, err := reg.Save()
	must.NoError(t, err)
	restored := New()
	must.NoError(t, restored.Restore(raw))
	must.Eq(t, []uint64{healthy}, restored.Tables().GetQuarantined())
	restored.Apply(restored.Index()+1, LowerSuspicion(0, deadly))
	_, found := restored.findSuspect(deadly)
	must.False(t, found)
}

// TestSuspectsBounded guards against a flood of requests that fills the snapshots, ends a quarantine, or keeps further
// requests from being counted.
func TestSuspectsBounded(t *testing.T) {
	reg := New()
	apply := func(cmd *controlpb.Command) { reg.Apply(reg.Index()+1, cmd) }
	for server := range uint64(siskinrill.QuarantineCrashes) {
		apply(crash(server, deadly))
	}
	apply(crash(100, healthy))
	apply(crash(101, healthy))
	for num := range uint64(2 * MaxSuspects) {
		apply(crash(200+num, 1000+num))
	}
	must.Len(t, MaxSuspects, reg.state.GetSuspects())
	must.Eq(t, []uint64{deadly}, reg.Tables().GetQuarantined())
	apply(crash(102, healthy))
	must.Eq(t, []uint64{deadly, healthy}, reg.Tables().GetQuarantined())
	many := make([]uint64, 10*siskinrill.MaxCrashSuspects)
	for num := range many {
		many[num] = 10_000 + uint64(num)
	}
	apply(crash(300, many...))
	_, found := reg.findSuspect(10_000 + siskinrill.MaxCrashSuspects)
	must.False(t, found)
}
