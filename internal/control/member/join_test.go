package member

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// seeded starts a process with the first three addresses as its seeds.
func (clu *cluster) seeded(name, dir string, bootstrap bool) *process {
	pos := slices.IndexFunc(clu.peers, func(per Peer) bool { return per.Name == name })
	return clu.start(name, clu.peers[pos].Address, dir, func(opt *Options) {
		opt.InitialMembers, opt.Bootstrap = nil, bootstrap
		for _, per := range clu.peers[:3] {
			opt.Seeds = append(opt.Seeds, per.Address)
		}
	})
}

// awaitVoters waits until the leader holds exactly the given stores as voters.
func (clu *cluster) awaitVoters(within time.Duration) {
	clu.tst.Helper()
	for end := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		var got, want []string
		for _, sta := range clu.leader(within).Members() {
			if !sta.GetMember().GetLearner() {
				got = append(got, sta.GetMember().GetStoreId())
			}
		}
		for _, prc := range clu.prcs {
			want = append(want, prc.wal.StoreID())
		}
		slices.Sort(got)
		slices.Sort(want)
		if slices.Equal(got, want) {
			return
		}
		if time.Now().After(end) {
			clu.tst.Fatalf("voters within %s: %d, want %d", within, len(got), len(want))
		}
	}
}

func newSeeded(tst *testing.T) *cluster {
	clu := &cluster{tst: tst, dir: tst.TempDir(), prcs: map[string]*process{}, reserved: map[string]net.Listener{}}
	for num := range 6 {
		clu.peers = append(clu.peers, Peer{Name: fmt.Sprintf("c%d", num+1), Address: clu.reserve()})
	}
	for _, per := range clu.peers[:5] {
		clu.seeded(per.Name, per.Name, true)
	}
	tst.Cleanup(func() {
		for _, prc := range clu.prcs {
			_ = prc.kill()
		}
	})
	return clu
}

// TestSeeds guards against processes that start without a list of members and form two clusters, or never all become voters.
func TestSeeds(tst *testing.T) {
	clu := newSeeded(tst)
	clu.awaitVoters(10 * time.Second)
	clu.run(clu.leader(settle), "a", 5)
	clu.converge(5, settle)
	ids := map[string]bool{}
	for _, prc := range clu.prcs {
		ids[prc.ClusterID()] = true
	}
	must.MapLen(tst, 1, ids)
}

// TestLostDisksRejoin guards against a lost disk that stays a dead voter, so that the next loss ends the majority: two processes return empty at their addresses, then two others are lost.
func TestLostDisksRejoin(tst *testing.T) {
	clu := newSeeded(tst)
	clu.awaitVoters(10 * time.Second)
	clu.run(clu.leader(settle), "a", 5)
	for _, name := range []string{"c1", "c4"} {
		must.NoError(tst, clu.prcs[name].kill())
		delete(clu.prcs, name)
	}
	for _, name := range []string{"c1", "c4"} {
		clu.seeded(name, name+"-new", false)
	}
	clu.awaitVoters(4 * time.Second)
	for _, name := range []string{"c2", "c3"} {
		must.NoError(tst, clu.prcs[name].kill())
		delete(clu.prcs, name)
	}
	clu.run(clu.leader(settle), "b", 5)
	clu.converge(10, settle)
}

// TestHostReplaced guards against a host that was removed for good and keeps its vote, while the one that came in its place at another address gets none.
func TestHostReplaced(tst *testing.T) {
	clu := newSeeded(tst)
	clu.awaitVoters(10 * time.Second)
	clu.seeded("c6", "c6", false)
	time.Sleep(500 * time.Millisecond)
	must.NoError(tst, clu.prcs["c2"].kill())
	delete(clu.prcs, "c2")
	clu.awaitVoters(4 * time.Second)
}

// TestNextRepair guards against a repair that removes a voter before its successor votes, or replaces one that is only slow.
func TestNextRepair(tst *testing.T) {
	mem := func(mid uint64, learner, silent bool) standing {
		return standing{member: &controlpb.Member{Id: mid, Learner: learner}, silent: silent}
	}
	full := []standing{mem(1, false, false), mem(2, false, false), mem(3, false, false), mem(4, false, false), mem(5, false, false)}
	lost := slices.Clone(full)
	lost[4] = mem(5, false, true)
	for nam, tcs := range map[string]struct {
		sts      []standing
		mid      uint64
		promotes bool
	}{
		"full":                  {sts: full},
		"lost and nobody there": {sts: lost},
		"lost and a learner":    {sts: append(slices.Clone(lost), mem(6, true, false)), mid: 6, promotes: true},
		"lost and a successor":  {sts: append(slices.Clone(lost), mem(6, false, false)), mid: 5},
		"a spare learner":       {sts: append(slices.Clone(full), mem(6, true, false))},
		"a silent learner":      {sts: append(slices.Clone(lost), mem(6, true, true))},
		"too few":               {sts: append(slices.Clone(full[:3]), mem(4, true, false)), mid: 4, promotes: true},
	} {
		tst.Run(nam, func(tst *testing.T) {
			mid, promotes := nextRepair(tcs.sts, 5)
			must.Eq(tst, tcs.mid, mid)
			must.Eq(tst, tcs.promotes, promotes)
		})
	}
}

// TestProposeAfterStop guards against a command that was certainly not appended and counts as of unknown outcome, because it came after the end of the loop.
func TestProposeAfterStop(tst *testing.T) {
	clu := newCluster(tst, 1)
	ldr := clu.leader(settle)
	must.NoError(tst, ldr.Stop(tst.Context()))
	_, err := ldr.Propose(tst.Context(), command("late"))
	var nle *siskinrill.NotLeaderError
	var uoe *UnknownOutcomeError
	must.True(tst, errors.As(err, &nle))
	must.False(tst, errors.As(err, &uoe))
}
