package member

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// outcome is the result of a proposal.
type outcome struct {
	res *siskinrill.Result
	err error
}

// proposal is a command, or a new membership, that waits until it is committed and applied.
type proposal struct {
	data     []byte
	index    uint64
	term     uint64
	done     chan outcome
	appended chan struct{} // closed once index and term are set
}

// confirmation is a caller that waits until a heartbeat round has confirmed leadership.
type confirmation struct {
	round uint64
	index uint64 // entry that must be applied first
	done  chan error
}

// Propose appends a command and returns the registry's result once the command is applied in this process.
//
// The error is a *siskinrill.NotLeaderError or an *OverloadError if the command was not appended, or an
// *UnknownOutcomeError if it may have been.
func (grp *Group) Propose(ctx context.Context, cmd *controlpb.Command) (*siskinrill.Result, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(err, "encode the command")
	}
	prp := &proposal{data: data, done: make(chan outcome, 1), appended: make(chan struct{})}
	select {
	case grp.proposals <- prp:
	case <-grp.stopped:
		// Nothing is appended after the loop has stopped, so the caller may retry at another process.
		return nil, siskinrill.NewNotLeaderError("")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case out := <-prp.done:
		return out.res, out.err
	case <-grp.stopped:
		return grp.outcomeAfterStop(prp)
	case <-ctx.Done():
		return nil, prp.unknownOutcome(ctx.Err())
	}
}

// outcomeAfterStop returns the outcome that was reached before the loop stopped, if any. A command that the loop
// never received was not appended and never will be, so it gets a NotLeaderError.
func (grp *Group) outcomeAfterStop(prp *proposal) (*siskinrill.Result, error) {
	select {
	case out := <-prp.done:
		return out.res, out.err
	default:
	}
	select {
	case <-prp.appended:
		return nil, prp.unknownOutcome(&StoppedError{cause: grp.loopErr})
	default:
		return nil, siskinrill.NewNotLeaderError("")
	}
}

func (prp *proposal) unknownOutcome(cause error) *UnknownOutcomeError {
	select {
	case <-prp.appended:
		return &UnknownOutcomeError{index: prp.index, term: prp.term, cause: cause}
	default:
		return &UnknownOutcomeError{cause: cause}
	}
}

// propose appends a command to the log; it must run in the loop.
func (grp *Group) propose(prp *proposal) {
	if grp.rft == nil || grp.stopping {
		prp.done <- outcome{err: grp.notLeader()}
		return
	}
	if num := len(grp.pendingProposals); num >= pendingLimit {
		prp.done <- outcome{err: &OverloadError{waiting: num}}
		return
	}
	idx, err := grp.rft.Propose(prp.data)
	if err != nil {
		prp.done <- outcome{err: grp.notLeader()}
		return
	}
	prp.index, prp.term = idx, grp.rft.Term()
	close(prp.appended)
	grp.pendingProposals[idx] = prp
}

// failProposals answers all pending proposals that their outcome is unknown.
func (grp *Group) failProposals(cause error) {
	for idx, prp := range grp.pendingProposals {
		prp.done <- outcome{err: &UnknownOutcomeError{index: prp.index, term: prp.term, cause: cause}}
		delete(grp.pendingProposals, idx)
	}
}

// notLeader returns an error with the leader's address, if known. A leader that is transferring
// leadership names no address.
func (grp *Group) notLeader() error {
	if grp.rft == nil || grp.rft.Role() == raft.Leader {
		return siskinrill.NewNotLeaderError("")
	}
	return siskinrill.NewNotLeaderError(grp.addressOf(grp.rft.LeaderID()))
}

// ConfirmLeadership returns once a majority has answered a heartbeat round that began after the call, and everything
// committed before the call is applied.
//
// The error is a *siskinrill.NotLeaderError, a *StoppedError or the context's.
func (grp *Group) ConfirmLeadership(ctx context.Context) error {
	cfm := &confirmation{done: make(chan error, 1)}
	select {
	case grp.confirmations <- cfm:
	case <-grp.stopped:
		return &StoppedError{cause: grp.loopErr}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-cfm.done:
		return err
	case <-grp.stopped:
		return &StoppedError{cause: grp.loopErr}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRound starts one heartbeat round for all callers that arrived in this iteration.
func (grp *Group) beginRound() {
	if len(grp.newConfirmations) == 0 {
		return
	}
	rnd, err := grp.rft.StartRound()
	if err != nil {
		grp.failConfirmations(grp.notLeader())
		return
	}
	for _, cfm := range grp.newConfirmations {
		cfm.round = rnd
		// A new leader only knows what is committed once the first entry of its own term is committed.
		cfm.index = max(grp.rft.Commit(), grp.rft.TermStart())
	}
	grp.startedConfirmations, grp.newConfirmations = append(grp.startedConfirmations, grp.newConfirmations...), nil
}

func (grp *Group) completeConfirmations() {
	if len(grp.startedConfirmations) == 0 {
		return
	}
	rnd := grp.rft.ConfirmedRound()
	remaining := grp.startedConfirmations[:0]
	for _, cfm := range grp.startedConfirmations {
		if cfm.round <= rnd && cfm.index <= grp.applied {
			cfm.done <- nil
			continue
		}
		remaining = append(remaining, cfm)
	}
	clear(grp.startedConfirmations[len(remaining):])
	grp.startedConfirmations = remaining
}

func (grp *Group) failConfirmations(err error) {
	for _, cfm := range append(grp.startedConfirmations, grp.newConfirmations...) {
		cfm.done <- err
	}
	grp.startedConfirmations, grp.newConfirmations = nil, nil
}

// published is the part of the loop's state that other goroutines read.
type published struct {
	storeID      string
	clusterID    string
	leadership   siskinrill.Leadership
	changed      chan struct{}
	members      []*controlpb.MemberStatus
	commit       uint64
	diskFull     bool
	slowestStore time.Duration // longest time to store a batch
}

func newPublished(sid string) published {
	return published{storeID: sid, changed: make(chan struct{})}
}

// setLeadership replaces the leadership and wakes the goroutines that wait for a change.
func (pub *published) setLeadership(ldr siskinrill.Leadership) {
	old := pub.leadership
	if old.Term() == ldr.Term() && old.Leading() == ldr.Leading() && old.Address() == ldr.Address() {
		return
	}
	pub.leadership = ldr
	close(pub.changed)
	pub.changed = make(chan struct{})
}

func (pub *published) clearLeading() {
	pub.setLeadership(siskinrill.NewLeadership(pub.leadership.Term(), false, "", time.Time{}))
}
