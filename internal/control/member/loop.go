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

// loop owns raft and wal. All input of one iteration shares one append and one sync; only a change of role needs more.
func (grp *Group) loop(ctx context.Context, wgr *sync.WaitGroup) error {
	if err := grp.retryWhileFull(ctx, grp.wal.Confirm); err != nil {
		return err
	}
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
		case cfm := <-grp.confirmations:
			grp.newConfirmations = append(grp.newConfirmations, cfm)
		case cal := <-grp.calls:
			grp.runCall(cal)
		}
		grp.handleQueued()
		if grp.formationErr != nil {
			return grp.formationErr
		}
		if err := grp.finishIteration(ctx, wgr); err != nil {
			return err
		}
		if grp.stopComplete() {
			return nil
		}
	}
}

// handleQueued handles the input that is already queued, so that it shares this iteration's sync.
func (grp *Group) handleQueued() {
	for range queuedLimit {
		select {
		case arr := <-grp.inbox:
			grp.step(arr)
		case prp := <-grp.proposals:
			grp.propose(prp)
		case cfm := <-grp.confirmations:
			grp.newConfirmations = append(grp.newConfirmations, cfm)
		case cal := <-grp.calls:
			grp.runCall(cal)
		default:
			return
		}
	}
}

func (grp *Group) runCall(cal call) {
	cal.fn()
	close(cal.done)
}

func (grp *Group) step(arr arrival) {
	if grp.rft == nil {
		grp.adoptMemberID(arr)
	}
	if grp.rft == nil {
		return
	}
	if !senderMatches(grp.rft.Members(), arr.msg.GetFrom(), arr.from.storeID) {
		return
	}
	grp.endpoints[arr.msg.GetFrom()] = arr.from
	grp.rft.Step(arr.msg)
}

// finishIteration makes the input durable, sends messages, applies committed entries and answers callers.
func (grp *Group) finishIteration(ctx context.Context, wgr *sync.WaitGroup) error {
	if grp.rft == nil {
		grp.failConfirmations(grp.notLeader())
		return nil
	}
	grp.beginRound()
	for {
		rdy := grp.rft.Ready()
		if rdy.Empty() {
			break
		}
		if err := grp.handleReady(ctx, wgr, rdy); err != nil {
			return err
		}
	}
	if grp.rft.Role() != raft.Leader {
		grp.failProposals(grp.notLeader())
		grp.failConfirmations(grp.notLeader())
	}
	grp.completeConfirmations()
	grp.publish()
	grp.closePeers()
	return grp.maybeSnapshot()
}

func (grp *Group) handleReady(ctx context.Context, wgr *sync.WaitGroup, rdy *raft.Ready) error {
	grp.sendAll(ctx, wgr, rdy.MessagesBeforeSync)
	if rdy.MustSync {
		if err := grp.storeWithRetry(ctx, rdy); err != nil {
			return err
		}
	}
	grp.sendAll(ctx, wgr, rdy.Messages)
	if snp := rdy.Snapshot; snp != nil {
		if err := grp.opt.Registry.Restore(snp.GetData()); err != nil {
			return errors.Wrap(err, "restore the registry")
		}
		grp.applied, grp.snapshotIndex, grp.bytesSinceSnapshot = snp.GetIndex(), snp.GetIndex(), 0
		grp.logf("restored snapshot at entry %d", snp.GetIndex())
	}
	for _, ent := range rdy.Committed {
		if err := grp.apply(ent); err != nil {
			return err
		}
	}
	grp.rft.Advance(rdy)
	return nil
}

// store makes a Ready durable. The snapshot file is written first, because the log may only continue
// after a snapshot that exists.
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
	prp := grp.pendingProposals[ent.GetIndex()]
	delete(grp.pendingProposals, ent.GetIndex())
	grp.applied = ent.GetIndex()
	grp.bytesSinceSnapshot += len(ent.GetData())
	if ent.GetKind() != controlpb.EntryKind_ENTRY_KIND_COMMAND {
		grp.completeProposal(prp, ent, nil)
		return nil
	}
	cmd := &controlpb.Command{}
	if err := proto.Unmarshal(ent.GetData(), cmd); err != nil {
		return errors.Wrapf(err, "decode the command of entry %d", ent.GetIndex())
	}
	grp.completeProposal(prp, ent, grp.opt.Registry.Apply(ent.GetIndex(), cmd))
	return nil
}

// completeProposal answers the proposer of an applied entry; an entry of another term at its index proves that
// the proposal was discarded.
func (grp *Group) completeProposal(prp *proposal, ent *controlpb.Entry, res *siskinrill.Result) {
	switch {
	case prp == nil:
	case prp.term != ent.GetTerm():
		prp.done <- outcome{err: grp.notLeader()}
	default:
		prp.done <- outcome{res: res}
	}
}

// maybeSnapshot saves a snapshot of the registry and compacts the log when enough was applied since the last one.
func (grp *Group) maybeSnapshot() error {
	keep := uint64(keepEntries)
	switch {
	case grp.bytesSinceSnapshot >= snapshotBytes:
		keep = keepEntriesAfterLarge
	case grp.applied < grp.snapshotIndex+grp.opt.SnapshotEntries:
		return nil
	}
	if time.Since(grp.snapshotFailedAt) < snapshotRetryInterval {
		return nil
	}
	data, err := grp.opt.Registry.Save()
	if err != nil {
		return errors.Wrap(err, "save the registry")
	}
	trm, _ := grp.rft.TermAt(grp.applied)
	snp := &controlpb.Snapshot{Index: grp.applied, Term: trm, Members: grp.rft.MembersAt(grp.applied), Data: data}
	if err := grp.wal.SaveSnapshot(snp); err != nil {
		return grp.postponeSnapshot(err)
	}
	grp.snapshotIndex, grp.bytesSinceSnapshot = grp.applied, 0
	grp.rft.Compact(snp, keep)
	grp.logf("saved snapshot at entry %d, %d bytes", snp.GetIndex(), len(data))
	if snp.GetIndex() <= keep {
		return nil
	}
	return grp.wal.Compact(snp.GetIndex() - keep)
}

// stopComplete reports whether a planned stop is finished, with no leadership transfer in progress. A follower stops once it has
// told the leader, which replaces it immediately if a learner is there.
func (grp *Group) stopComplete() bool {
	switch {
	case !grp.stopping:
		return false
	case grp.rft == nil:
		return true
	case grp.rft.Role() == raft.Leader:
		return !grp.rft.Transferring()
	default:
		return grp.rft.LeavingAnswers() >= leavingAnswers || time.Since(grp.stopFrom) >= leavingTimeout
	}
}
