package siskinrill

import (
	"context"
	"io"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Attempt is one try of a request: its first message and the rest of its body.
type Attempt struct {
	open *peerpb.Open
	body io.Reader
}

// NewAttempt returns an attempt; body yields what follows open.Body and may be nil when open.BodyEnd is set.
func NewAttempt(opn *peerpb.Open, bdy io.Reader) *Attempt {
	return &Attempt{open: opn, body: bdy}
}

// Open returns the first message.
func (att *Attempt) Open() *peerpb.Open { return att.open }

// Body returns the reader of what follows Open().Body, nil when nothing does.
func (att *Attempt) Body() io.Reader { return att.body }

// WithBody returns the attempt with its body divided anew: first is what the first message holds, and rest, nil for none, yields what follows; length counts all of it, -1 if not known.
func (att *Attempt) WithBody(prefix []byte, rest io.Reader, length int64) *Attempt {
	opn := shallowCopy(att.open)
	opn.Body, opn.BodyEnd, opn.BodyLength = prefix, rest == nil, length
	return &Attempt{open: opn, body: rest}
}

// shallowCopy returns a message whose fields share their values with those of another one.
func shallowCopy(opn *peerpb.Open) *peerpb.Open {
	out := &peerpb.Open{}
	opn.ProtoReflect().Range(func(fld protoreflect.FieldDescriptor, val protoreflect.Value) bool {
		out.ProtoReflect().Set(fld, val)
		return true
	})
	return out
}

// Kind returns how the request may be treated.
func (att *Attempt) Kind() controlpb.RequestKind { return controlpb.RequestKind(att.open.GetKind()) }

// Answer is the answer of a backend server: its first message and the rest of its body.
type Answer struct {
	head *peerpb.Response
	body io.ReadCloser
}

// NewAnswer returns an answer; body yields what follows head.Body, nil when head.BodyEnd is set, and fails with an error other than io.EOF when the answer was cut.
func NewAnswer(hea *peerpb.Response, bdy io.ReadCloser) *Answer {
	return &Answer{head: hea, body: bdy}
}

// Head returns the first message.
func (ans *Answer) Head() *peerpb.Response { return ans.head }

// Body returns the reader of what follows Head().Body, nil when nothing does.
func (ans *Answer) Body() io.ReadCloser { return ans.body }

// Close releases the answer; it may be called more than once.
func (ans *Answer) Close() error {
	if ans.body == nil {
		return nil
	}
	return ans.body.Close()
}

// CopyHolder keeps copies of other agents' idempotency records.
type CopyHolder interface {
	// StoreCopies stores, replaces or drops copies.
	StoreCopies(ctx context.Context, req *peerpb.StoreCopiesRequest) (*peerpb.StoreCopiesAnswer, error)
	// FindCopies returns the copies of a partition that have not expired.
	FindCopies(ctx context.Context, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error)
}

// CopySender reaches the CopyHolder of the agent at an IP:port.
type CopySender interface {
	// SendCopies stores, replaces or drops copies there.
	SendCopies(ctx context.Context, addr string, req *peerpb.StoreCopiesRequest) error
	// FetchCopies returns the copies of a partition there, all of them or an error.
	FetchCopies(ctx context.Context, addr string, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error)
}

// Owner serves attempts for the keys that this agent owns.
type Owner interface {
	CopyHolder
	// Handle runs an attempt; an error is a *Refusal, found by errors.As.
	Handle(ctx context.Context, att *Attempt) (*Answer, error)
	// Withdraw stops an attempt that has not started, or tells what became of it.
	Withdraw(ctx context.Context, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error)
	// Transfer stores idempotency records handed over by an earlier owner.
	Transfer(ctx context.Context, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error)
	// InHand returns what this agent runs and queues now.
	InHand() *peerpb.OwnerLoad
}

// Forwarder carries attempts to the agent of the owner at an IP:port.
type Forwarder interface {
	CopySender
	// Forward sends an attempt; an error is a *Refusal, found by errors.As.
	Forward(ctx context.Context, addr string, att *Attempt) (*Answer, error)
	// Withdraw asks the owner over a connection that is proved alive.
	Withdraw(ctx context.Context, addr string, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error)
	// Transfer hands idempotency records to the next owner.
	Transfer(ctx context.Context, addr string, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error)
}

// Backend hands attempts to the backend server on this host.
type Backend interface {
	// Do runs an attempt under a grant; an error is a *Refusal whose outcome is not_run only when the backend server certainly did not run it.
	Do(ctx context.Context, att *Attempt, grt Grant) (*Answer, error)
	// Grants tells the backend server which shards it now owns and which it lost; a backend server without that endpoint is not an error.
	Grants(ctx context.Context, granted, revoked []*controlpb.ShardRef) error
	// HoldsKeys reports whether the backend server takes its keys from the answers to its heartbeats.
	HoldsKeys() bool
	// Held reports whether the backend server holds a row now; one that learns of grants by other means than its heartbeats always does.
	Held(row *controlpb.Shard) bool
	// AwaitHold returns once the backend server holds a row, false if the context ended first.
	AwaitHold(ctx context.Context, row *controlpb.Shard) bool
	// Revoke returns the references with what the backend server left for the next owner, once it holds none of them any more; false if the context ended first.
	Revoke(ctx context.Context, refs []*controlpb.ShardRef) ([]*controlpb.ShardRef, bool)
}

// Grant is the right to run one attempt: the fencing token and the end of the lease.
type Grant struct {
	shard   *controlpb.ShardRef
	expires time.Time
}

// NewGrant returns a grant of a shard, whose token is the fencing token, until a time.
func NewGrant(shd *controlpb.ShardRef, exp time.Time) Grant { return Grant{shard: shd, expires: exp} }

// Shard returns the granted shard with its fencing token.
func (grt Grant) Shard() *controlpb.ShardRef { return grt.shard }

// Expires returns the end of the lease.
func (grt Grant) Expires() time.Time { return grt.expires }

// Lease is the agent's own view of its session with control.
type Lease interface {
	// Session returns the current session, 0 for none.
	Session() uint64
	// Expires returns the end of the lease and whether it is valid now by the monotonic clock and the boot time of the host.
	Expires() (time.Time, bool)
	// Fresh reports whether control was heard within the time that an entry may serve on its copy of the configuration.
	Fresh() bool
}

// Routes is the agent's copy of the configuration and of the ownership.
type Routes interface {
	// Match returns the route and key of a host, method and escaped path; without a match the reason is no_route or method_not_allowed. The key of a route by prefix is empty: it comes with the request.
	Match(host, method, path string) (*controlpb.Route, string, Reason)
	// Limits returns the limits of callers' requests, nil if there are none; they must not be changed.
	Limits() *controlpb.RequestLimits
	// Upstreams returns the agents whose backend servers serve a service, in the order of their sessions; the slice must not be changed.
	Upstreams(svc string) []*controlpb.Node
	// Service returns a service of the configuration, nil if there is none.
	Service(name string) *controlpb.Service
	// Shard returns the row that holds a key, a copy the caller may keep; nil if the service is not known.
	Shard(svc, key string) *controlpb.Shard
	// Node returns a registered agent by session, nil if it is gone.
	Node(session uint64) *controlpb.Node
	// Nodes returns the registered agents in no particular order; they must not be changed.
	Nodes() []*controlpb.Node
	// Version returns the newest applied log index.
	Version() uint64
	// Await returns once the version is over ver, or with the context's error.
	Await(ctx context.Context, ver uint64) error
}
