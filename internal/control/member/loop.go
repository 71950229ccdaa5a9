package member

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/control/wal"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// loop owns raft and wal; all that a turn takes in shares one append and one sync, and only a change of role takes more.
func (grp *Group) loop(ctx context.Context, wgr *sync.WaitGroup) error {
	tck := time.NewTicker(grp.opt.Tick)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tck.C:
			if grp.rft != nil {
				grp.rft.Tick()
			}
		case arr := <-grp.inbox:
			grp.step(arr)
		case prp := <-grp.proposals:
			grp.propose(prp)
		case cfm := <-grp.confirms:
			grp.fresh = append(grp.fresh, cfm)
		case cal := <-grp.calls:
			grp.run(cal)
		}
		grp.drain()
		if grp.fault != nil {
			return grp.fault
		}
		if err := grp.finishTurn(ctx, wgr); err != nil {
			return err
		}
		if grp.mayEnd() {
			return nil
		}
	}
}

// drain takes what else waits, so that it shares the turn's sync.
func (grp *Group) drain() {
	for range turnLimit {
		select {
		case arr := <-grp.inbox:
			grp.step(arr)
		case prp := <-grp.proposals:
			grp.propose(prp)
		case cfm := <-grp.confirms:
			grp.fresh = append(grp.fresh, cfm)
		case cal := <-grp.calls:
			grp.run(cal)
		default:
			return
		}
	}
}

func (grp *Group) run(cal call) {
	cal.fn()
	close(cal.done)
}

func (grp *Group) step(arr arrival) {
	if grp.rft == nil {
		grp.adopt(arr)
	}
	if grp.rft == nil {
		return
	}
	if !grp.genuine(arr) {
		return
	}
	grp.origins[arr.msg.GetFrom()] = arr.from
	grp.rft.Step(arr.msg)
}

// genuine reports whether a message comes from the store that the membership holds under the sender's id, as far as it holds the sender.
func (grp *Group) genuine(arr arrival) bool {
	for _, mem := range grp.rft.Members().GetMembers() {
		if mem.GetId() == arr.msg.GetFrom() {
			return mem.GetStoreId() == arr.from.storeID
		}
	}
	return true
}

// finishTurn makes the turn durable, sends, applies, and tells the callers.
func (grp *Group) finishTurn(ctx context.Context, wgr *sync.WaitGroup) error {
	if grp.rft == nil {
		grp.failConfirms(grp.notLeader())
		return nil
	}
	grp.beginRound()
	for {
		rdy := grp.rft.Ready()
		if rdy.Empty() {
			break
		}
		if err := grp.handle(ctx, wgr, rdy); err != nil {
			return err
		}
	}
	if grp.rft.Role() != raft.Leader {
		grp.failWaiting(grp.notLeader())
		grp.failConfirms(grp.notLeader())
	}
	grp.resolveConfirms()
	grp.publish()
	grp.closePeers()
	return grp.maybeSnapshot()
}

func (grp *Group) handle(ctx context.Context, wgr *sync.WaitGroup, rdy *raft.Ready) error {
	grp.sendAll(ctx, wgr, rdy.Early)
	if rdy.MustSync {
		if err := grp.storeWithRoom(ctx, rdy); err != nil {
			return err
		}
	}
	grp.sendAll(ctx, wgr, rdy.Messages)
	if snp := rdy.Snapshot; snp != nil {
		if err := grp.opt.Registry.Restore(snp.GetData()); err != nil {
			return errors.Wrap(err, "restore the registry")
		}
		grp.applied, grp.snapshot, grp.bytes = snp.GetIndex(), snp.GetIndex(), 0
		grp.logf("restored the snapshot at entry %d", snp.GetIndex())
	}
	for _, ent := range rdy.Committed {
		if err := grp.apply(ent); err != nil {
			return err
		}
	}
	grp.rft.Advance(rdy)
	return nil
}

// store makes a Ready durable; the snapshot file comes first, because the log may only continue behind a snapshot that exists.
func (grp *Group) store(rdy *raft.Ready) error {
	if rdy.Snapshot != nil {
		if err := grp.wal.SaveSnapshot(rdy.Snapshot); err != nil {
			return err
		}
	}
	if err := grp.wal.Append(wal.Batch{HardState: rdy.HardState, Reset: rdy.Snapshot, Entries: rdy.Entries}); err != nil {
		return err
	}
	if rdy.Snapshot != nil {
		return grp.wal.Compact(rdy.Snapshot.GetIndex())
	}
	return nil
}

func (grp *Group) apply(ent *controlpb.Entry) error {
	prp := grp.waiting[ent.GetIndex()]
	delete(grp.waiting, ent.GetIndex())
	grp.applied = ent.GetIndex()
	grp.bytes += len(ent.GetData())
	if ent.GetKind() != controlpb.EntryKind_ENTRY_KIND_COMMAND {
		grp.finish(prp, ent, nil)
		return nil
	}
	cmd := &controlpb.Command{}
	if err := proto.Unmarshal(ent.GetData(), cmd); err != nil {
		return errors.Wrapf(err, "decode the command of entry %d", ent.GetIndex())
	}
	grp.finish(prp, ent, grp.opt.Registry.Apply(ent.GetIndex(), cmd))
	return nil
}

// finish tells the proposer of an applied entry; another term at its index proves that its own entry is lost.
func (grp *Group) finish(prp *proposal, ent *controlpb.Entry, res *siskinrill.Result) {
	switch {
	case prp == nil:
	case prp.term != ent.GetTerm():
		prp.done <- outcome{err: grp.notLeader()}
	default:
		prp.done <- outcome{res: res}
	}
}

// maybeSnapshot saves the registry and shortens the log.
func (grp *Group) maybeSnapshot() error {
	keep := uint64(keepEntries)
	switch {
	case grp.bytes >= snapshotBytes:
		keep = keepLarge
	case grp.applied < grp.snapshot+grp.opt.SnapshotEntries:
		return nil
	}
	if time.Since(grp.snapshotFailed) < snapshotPause {
		return nil
	}
	data, err := grp.opt.Registry.Save()
	if err != nil {
		return errors.Wrap(err, "save the registry")
	}
	trm, _ := grp.rft.TermAt(grp.applied)
	snp := &controlpb.Snapshot{Index: grp.applied, Term: trm, Members: grp.rft.MembersAt(grp.applied), Data: data}
	if err := grp.wal.SaveSnapshot(snp); err != nil {
		return grp.skipSnapshot(err)
	}
	grp.snapshot, grp.bytes = grp.applied, 0
	grp.rft.Compact(snp, keep)
	grp.logf("saved the snapshot at entry %d, %d bytes", snp.GetIndex(), len(data))
	if snp.GetIndex() <= keep {
		return nil
	}
	return grp.wal.Compact(snp.GetIndex() - keep)
}

// mayEnd reports whether a planned stop has no leadership left to hand over.
func (grp *Group) mayEnd() bool {
	if !grp.stopping {
		return false
	}
	return grp.rft == nil || grp.rft.Role() != raft.Leader || !grp.rft.Transferring()
}
