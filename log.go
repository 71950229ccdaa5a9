package siskinrill

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// ReplicatedLog is the interface of the replicated log for the services of a control process.
type ReplicatedLog interface {
	// Propose returns the registry's result once the command is committed and applied in this process; an error may be a
	// *NotLeaderError.
	Propose(ctx context.Context, cmd *controlpb.Command) (*Result, error)
	// ConfirmLeadership returns once a majority has confirmed this process as the leader in a heartbeat round that began after the
	// call, and all entries committed before are applied; an error may be a *NotLeaderError.
	ConfirmLeadership(ctx context.Context) error
	// Leadership returns the current leader and term, and a channel that is closed when they change.
	Leadership() (Leadership, <-chan struct{})
	// Members returns the members of the last applied membership; their progress is set at the leader only.
	Members() []*controlpb.MemberStatus
	// ChangeMembers adds, removes or replaces a member, or transfers leadership to one.
	ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error)
}

// Leadership states which control process is the leader, in which term and since when.
type Leadership struct {
	term    uint64
	leading bool
	address string
	since   time.Time
}

// NewLeadership returns the leadership of a term; since is the time from which this process can serve as the leader.
func NewLeadership(trm uint64, leading bool, addr string, since time.Time) Leadership {
	return Leadership{term: trm, leading: leading, address: addr, since: since}
}

// Term returns the term of the log.
func (ldr Leadership) Term() uint64 { return ldr.term }

// Leading reports whether this process is the leader and has applied an entry of its own term.
func (ldr Leadership) Leading() bool { return ldr.leading }

// Address returns the IP:port of the leader's gRPC listener, empty if not known.
func (ldr Leadership) Address() string { return ldr.address }

// Since returns the time from which this process can serve as the leader.
func (ldr Leadership) Since() time.Time { return ldr.since }

// Result is the registry's result of a command.
type Result struct {
	index   uint64
	record  *controlpb.ChangeRecord
	skipped int
}

// NewResult returns the result of the command at a log index; the record is nil except for configuration changes, and
// skipped counts the rows of an Assign or Released command whose token or owner no longer matched.
func NewResult(idx uint64, rec *controlpb.ChangeRecord, skipped int) *Result {
	return &Result{index: idx, record: rec, skipped: skipped}
}

// Index returns the log index of the command.
func (res *Result) Index() uint64 { return res.index }

// Record returns the answer to a configuration change, nil for other commands.
func (res *Result) Record() *controlpb.ChangeRecord { return res.record }

// Skipped returns how many rows of the command were skipped because they had changed in the meantime.
func (res *Result) Skipped() int { return res.skipped }

// Registry is the replicated state that agents and operators share; it is safe for concurrent use.
type Registry interface {
	// Apply applies a committed entry; it is deterministic, so that all control processes get the same state.
	Apply(idx uint64, cmd *controlpb.Command) *Result
	// Index returns the last applied log index.
	Index() uint64
	// View calls fn with the current state, which fn must not modify or retain.
	View(fn func(st *controlpb.RegistryState))
	// Since returns the changes after a version, false if they are no longer available.
	Since(ver uint64) (*controlpb.Difference, bool)
	// Tables returns a snapshot for an agent.
	Tables() *controlpb.TableSnapshot
	// Changed returns a channel that is closed when the next change is applied.
	Changed() <-chan struct{}
	// Save encodes the state for a snapshot, and Restore replaces the state by a decoded one.
	Save() ([]byte, error)
	Restore(data []byte) error
}

// Policy decides on the ownership of keys; it is deterministic and uses no clock, network or random source of its own.
type Policy interface {
	// Plan returns the ownership changes of one tick; now is the time since the policy was started.
	Plan(now time.Duration, tbl *Tables) []*controlpb.Assignment
}
