package siskinrill

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Log is the replicated log as the services of a control process see it.
type Log interface {
	// Propose returns the registry's result once the command is committed and applied here; an error may be a *NotLeaderError.
	Propose(ctx context.Context, cmd *controlpb.Command) (*Result, error)
	// Confirm returns once a majority has confirmed this process as the leader in a round that began after the call, and all that was committed before is applied; an error may be a *NotLeaderError.
	Confirm(ctx context.Context) error
	// Leadership returns the current state of leadership and a channel that is closed when it changes.
	Leadership() (Leadership, <-chan struct{})
	// Members returns the members as last applied with their progress, which only the leader knows.
	Members() []*controlpb.MemberStatus
	// ChangeMembers adds, removes, replaces a member or hands over leadership.
	ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error)
}

// Leadership tells who leads.
type Leadership struct {
	term    uint64
	leading bool
	address string
	since   time.Time
}

// NewLeadership returns the state of a term; since is when this process could first serve as the leader.
func NewLeadership(trm uint64, leading bool, addr string, since time.Time) Leadership {
	return Leadership{term: trm, leading: leading, address: addr, since: since}
}

// Term returns the term of the log.
func (ldr Leadership) Term() uint64 { return ldr.term }

// Leading reports whether this process leads and has applied an entry of its own term.
func (ldr Leadership) Leading() bool { return ldr.leading }

// Address returns the IP:port of the leader's gRPC listener, empty while not known.
func (ldr Leadership) Address() string { return ldr.address }

// Since returns when this process could first serve as the leader.
func (ldr Leadership) Since() time.Time { return ldr.since }

// Result is what the registry decided on a command.
type Result struct {
	index   uint64
	record  *controlpb.ChangeRecord
	skipped int
}

// NewResult returns the result of the command at a log index; record is set for configuration changes, skipped counts rows of an Assign or Released that no longer matched.
func NewResult(idx uint64, rec *controlpb.ChangeRecord, skipped int) *Result {
	return &Result{index: idx, record: rec, skipped: skipped}
}

// Index returns the log index of the command.
func (res *Result) Index() uint64 { return res.index }

// Record returns the answer to a configuration change, nil for other commands.
func (res *Result) Record() *controlpb.ChangeRecord { return res.record }

// Skipped returns how many rows no longer matched.
func (res *Result) Skipped() int { return res.skipped }

// Registry is the replicated state that agents and operators share; all methods may be called from any goroutine.
type Registry interface {
	// Apply applies a committed entry; it is deterministic.
	Apply(idx uint64, cmd *controlpb.Command) *Result
	// Index returns the newest applied log index.
	Index() uint64
	// View calls fn with the state, which fn must neither change nor keep.
	View(fn func(st *controlpb.RegistryState))
	// Since returns the changes after a version, false if they are no longer kept.
	Since(ver uint64) (*controlpb.Difference, bool)
	// Tables returns a snapshot for an agent.
	Tables() *controlpb.TableSnapshot
	// Changed returns a channel that is closed at the next applied change.
	Changed() <-chan struct{}
	// Save and Restore write and read the content of a snapshot.
	Save() ([]byte, error)
	Restore(data []byte) error
}

// Policy decides on ownership; it is pure, with no clock, network or randomness of its own.
type Policy interface {
	// Plan returns the assignments of one tick; now is the time since the policy started.
	Plan(now time.Duration, tbl *Tables) []*controlpb.Assignment
}
