package member

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/wal"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const settle = 10 * time.Second

// Guards against a group that cannot form, serve, or continue from its disks.
func TestRestart(tst *testing.T) {
	for name, size := range map[string]int{"one": 1, "five": 5} {
		tst.Run(name, func(tst *testing.T) {
			clu := newCluster(tst, size)
			clu.run(clu.leader(settle), "a", 20)
			clu.converge(20, settle)
			for _, prc := range clu.prcs {
				must.NoError(tst, prc.kill())
			}
			for _, per := range clu.peers {
				clu.start(per.Name, per.Address, per.Name, nil)
			}
			clu.run(clu.leader(settle), "b", 20)
			clu.converge(40, settle)
		})
	}
}

// Guards against a founding member that stays out because the founder ended before it sent the formation.
func TestFounderEnds(tst *testing.T) {
	clu := newClusterWith(tst, 3, func(opt *Options) { opt.InitialMembers = nil })
	fnd := clu.prcs["c1"]
	asker := &Group{opt: fnd.opt, wal: fnd.wal}
	asker.opt.InitialMembers = clu.peers
	mbs, formed := asker.gather(context.Background())
	must.Eq(tst, "", formed)
	must.NoError(tst, fnd.call(context.Background(), func() { fnd.acceptFormation(mbs) }))
	clu.run(clu.leader(settle), "a", 3)
	clu.converge(3, settle)
	must.NoError(tst, fnd.kill())
	delete(clu.prcs, "c1")
	clu.run(clu.leader(settle), "b", 3)
}

// Guards against a slow election after the loss of the leader, and against losing what it acknowledged.
func TestLeaderKilled(tst *testing.T) {
	clu := newCluster(tst, 5)
	for num := range 2 {
		ldr := clu.leader(settle)
		clu.run(ldr, fmt.Sprintf("k%d-", num), 10)
		began := time.Now()
		must.NoError(tst, ldr.kill())
		delete(clu.prcs, ldr.opt.Name)
		nxt := clu.leader(settle)
		clu.run(nxt, fmt.Sprintf("n%d-", num), 1)
		took := time.Since(began)
		tst.Logf("served by %s after %s", nxt.opt.Name, took)
		must.Less(tst, time.Second, took)
	}
	clu.converge(22, settle)
}

// Guards against an isolated leader that goes on serving, and against hiding that a proposal's fate is not known.
func TestMajorityLost(tst *testing.T) {
	clu := newCluster(tst, 3)
	ldr := clu.leader(settle)
	clu.run(ldr, "a", 3)
	for name, prc := range clu.prcs {
		if prc != ldr {
			must.NoError(tst, prc.kill())
			delete(clu.prcs, name)
		}
	}
	began := time.Now()
	var uoe *UnknownOutcomeError
	var nle *siskinrill.NotLeaderError
	_, err := ldr.Propose(context.Background(), command("lost"))
	must.True(tst, errors.As(err, &uoe), must.Sprintf("error is %v", err))
	must.True(tst, errors.As(ldr.Confirm(context.Background()), &nle))
	must.Less(tst, time.Second, time.Since(began))
	_, err = ldr.Propose(context.Background(), command("refused"))
	must.True(tst, errors.As(err, &nle) && !errors.As(err, &uoe), must.Sprintf("error is %v", err))
	now, _ := ldr.Leadership()
	must.False(tst, now.Leading())
}

// Guards against a planned stop that costs an election timeout or leaves outcomes unknown, and against confirmations that wait for a tick or each cost a round.
func TestHandOver(tst *testing.T) {
	slow := func(opt *Options) { opt.Tick = 200 * time.Millisecond }
	clu := newClusterWith(tst, 3, slow)
	ldr := clu.leader(settle)
	clu.run(ldr, "a", 1)
	began := time.Now()
	for range 20 {
		must.NoError(tst, ldr.Confirm(context.Background()))
	}
	tst.Logf("confirmation takes %s, a tick %s", time.Since(began)/20, ldr.opt.Tick)
	must.Less(tst, 2*time.Second, time.Since(began))
	must.LessEq(tst, 3, clu.rounds(ldr, 100))
	var target string
	for name, prc := range clu.prcs {
		if prc != ldr {
			target = name
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	_, err := ldr.ChangeMembers(ctx, &controlpb.MembersRequest{Action: controlpb.MemberAction_MEMBER_ACTION_TRANSFER, Name: target})
	must.NoError(tst, err)
	nxt := clu.leader(settle)
	must.Eq(tst, target, nxt.opt.Name)
	began = time.Now()
	var wgr errgroup.Group
	for range 100 {
		wgr.Go(func() error {
			var nle *siskinrill.NotLeaderError
			var uoe *UnknownOutcomeError
			_, err := nxt.Propose(ctx, command("during"))
			if errors.As(err, &nle) && !errors.As(err, &uoe) {
				return nil
			}
			return err
		})
	}
	must.NoError(tst, nxt.Stop(ctx))
	must.NoError(tst, wgr.Wait())
	must.NoError(tst, nxt.kill())
	delete(clu.prcs, target)
	clu.run(clu.leader(settle), "b", 1)
	tst.Logf("served %s after the stop, shortest election timeout %s", time.Since(began), 5*ldr.opt.Tick)
	must.Less(tst, 5*ldr.opt.Tick, time.Since(began))
}

// Guards against a follower or a new member that cannot catch up once the log it needs is gone.
func TestSnapshotCatchUp(tst *testing.T) {
	clu := newCluster(tst, 3)
	ldr := clu.leader(settle)
	lag := clu.follower(ldr)
	must.NoError(tst, clu.prcs[lag].kill())
	delete(clu.prcs, lag)
	const num = 20_000
	began := time.Now()
	clu.runMany(ldr, num)
	tst.Logf("%d proposals in %s", num, time.Since(began))
	began = time.Now()
	pos := slices.IndexFunc(clu.peers, func(per Peer) bool { return per.Name == lag })
	again := clu.start(lag, clu.peers[pos].Address, lag, nil)
	clu.converge(num, settle)
	must.Positive(tst, again.led.restores)
	tst.Logf("caught up from disk and snapshot in %s", time.Since(began))
	began = time.Now()
	clu.start("c4", clu.reserve(), "c4", func(opt *Options) { opt.InitialMembers = nil })
	req := &controlpb.MembersRequest{Name: "c4", Address: clu.prcs["c4"].opt.Address, Learner: true}
	ans, err := clu.leader(settle).ChangeMembers(context.Background(), req)
	must.NoError(tst, err)
	must.True(tst, ans.GetMembers().GetMembers()[3].GetLearner())
	ans = clu.change(clu.leader(settle), controlpb.MemberAction_MEMBER_ACTION_ADD, "c4", req.GetAddress())
	must.False(tst, ans.GetMembers().GetMembers()[3].GetLearner())
	clu.converge(num, settle)
	must.Positive(tst, clu.prcs["c4"].led.restores)
	tst.Logf("a new member is a voter and equal after %s", time.Since(began))
}

// Guards against a host without its disk that founds a second cluster or votes under its old identity, and against a replacement that does not restore the tolerance of losses.
func TestLostDisk(tst *testing.T) {
	clu := newCluster(tst, 5)
	clu.run(clu.leader(settle), "a", 10)
	clu.converge(10, settle)
	lost := clu.prcs["c1"]
	must.NoError(tst, lost.kill())
	empty := clu.start("c1", lost.opt.Address, "c1-new", nil)
	time.Sleep(time.Second)
	must.Eq(tst, "", empty.ClusterID())
	ldr := clu.leader(settle)
	clu.run(ldr, "b", 5)
	must.SliceEmpty(tst, empty.led.list())
	var che *ChangeError
	_, err := ldr.ChangeMembers(context.Background(), &controlpb.MembersRequest{Name: "c1", Address: lost.opt.Address})
	must.True(tst, errors.As(err, &che), must.Sprintf("error is %v", err))
	ans := clu.change(ldr, controlpb.MemberAction_MEMBER_ACTION_REPLACE, "c1", lost.opt.Address)
	must.Len(tst, 5, ans.GetMembers().GetMembers())
	for _, mem := range ans.GetMembers().GetMembers() {
		must.False(tst, mem.GetLearner())
		must.NotEq(tst, lost.wal.StoreID(), mem.GetStoreId())
	}
	clu.converge(15, settle)
	for _, name := range []string{"c4", "c5"} {
		must.NoError(tst, clu.prcs[name].kill())
		delete(clu.prcs, name)
	}
	clu.run(clu.leader(settle), "c", 5)
	clu.converge(20, settle)
}

// Guards against a leader that keeps its place while it is removed, and against removals that leave no majority.
func TestRemove(tst *testing.T) {
	clu := newCluster(tst, 3)
	ldr := clu.leader(settle)
	clu.run(ldr, "a", 2)
	clu.change(ldr, controlpb.MemberAction_MEMBER_ACTION_REMOVE, ldr.opt.Name, "")
	must.NoError(tst, ldr.kill())
	delete(clu.prcs, ldr.opt.Name)
	nxt := clu.leader(settle)
	clu.run(nxt, "b", 2)
	clu.converge(4, settle)
	must.Len(tst, 2, nxt.Members())
	must.NoError(tst, clu.prcs[clu.follower(nxt)].kill())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := nxt.ChangeMembers(ctx, &controlpb.MembersRequest{Action: controlpb.MemberAction_MEMBER_ACTION_REMOVE, Name: nxt.opt.Name})
	must.Error(tst, err)
}

// Guards against connections that stay open and carry nothing, on which a group would wait forever.
func TestSilentConnections(tst *testing.T) {
	clu := newCluster(tst, 3)
	clu.run(clu.leader(settle), "a", 5)
	for _, prc := range clu.prcs {
		prc.lis.silence()
	}
	began := time.Now()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), settle)
		err := clu.leader(settle).Confirm(ctx)
		cancel()
		if err == nil {
			break
		}
	}
	clu.run(clu.leader(settle), "b", 1)
	tst.Logf("served %s after all connections went silent", time.Since(began))
	must.Less(tst, 2*time.Second, time.Since(began))
	clu.converge(6, settle)
}

// fullDisk is the host's file system until it is full.
type fullDisk struct {
	wal.Disk
	full *atomic.Bool
}

func (fdk fullDisk) Append(path string) (wal.File, error) { return fdk.wrap(fdk.Disk.Append(path)) }
func (fdk fullDisk) Create(path string) (wal.File, error) { return fdk.wrap(fdk.Disk.Create(path)) }

func (fdk fullDisk) wrap(fil wal.File, err error) (wal.File, error) {
	return fullFile{File: fil, full: fdk.full}, err
}

type fullFile struct {
	wal.File
	full *atomic.Bool
}

func (ffl fullFile) Write(data []byte) (int, error) {
	if ffl.full.Load() {
		return 0, syscall.ENOSPC
	}
	return ffl.File.Write(data)
}

// Guards against a process whose disk is full that ends, answers, votes or leads, that does not go on once there is room, and against a group that stops with it.
func TestFullDisk(tst *testing.T) {
	fulls := map[string]*atomic.Bool{}
	clu := newClusterWith(tst, 3, func(opt *Options) {
		fulls[opt.Name] = &atomic.Bool{}
		opt.FileSystem = fullDisk{full: fulls[opt.Name]}
	})
	ldr := clu.leader(settle)
	clu.run(ldr, "a", 5)
	fulls[ldr.opt.Name].Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	_, err := ldr.Propose(ctx, command("full"))
	var uoe *UnknownOutcomeError
	must.True(tst, errors.As(err, &uoe), must.Sprintf("error is %v", err))
	must.True(tst, ldr.DiskFull())
	var nle *siskinrill.NotLeaderError
	_, err = ldr.Propose(ctx, command("refused"))
	must.True(tst, errors.As(err, &nle) && !errors.As(err, &uoe), must.Sprintf("error is %v", err))
	must.True(tst, errors.As(ldr.Confirm(ctx), &nle))
	delete(clu.prcs, ldr.opt.Name)
	nxt := clu.leader(settle)
	clu.run(nxt, "b", 5)
	clu.prcs[ldr.opt.Name] = ldr
	select {
	case err := <-ldr.err:
		tst.Fatalf("the process ended: %v", err)
	case <-time.After(time.Second):
	}
	fulls[ldr.opt.Name].Store(false)
	clu.run(clu.leader(settle), "c", 1)
	clu.converge(len(clu.leader(settle).led.list()), settle)
	must.False(tst, ldr.DiskFull())
	must.SliceNotContains(tst, ldr.led.list(), "refused")
}

// Guards against a stop that hangs, and an error that it returns, while the disk is full.
func TestStopOnFullDisk(tst *testing.T) {
	full := &atomic.Bool{}
	clu := newClusterWith(tst, 1, func(opt *Options) { opt.FileSystem = fullDisk{full: full} })
	ldr := clu.leader(settle)
	clu.run(ldr, "a", 1)
	full.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	_, err := ldr.Propose(ctx, command("full"))
	must.Error(tst, err)
	ldr.cancel()
	select {
	case <-ldr.err:
	case <-time.After(settle):
		tst.Fatal("the process does not end")
	}
}
