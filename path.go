package siskinrill

import (
	"context"
	"io"
	"iter"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Attempt is one try of a request; it consists of the Open message and the remaining body.
type Attempt struct {
	open *peerpb.Open
	body io.Reader
}

// NewAttempt returns an attempt; bdy yields the body after opn.Body and may be nil when opn.BodyEnd is set.
func NewAttempt(opn *peerpb.Open, bdy io.Reader) *Attempt {
	return &Attempt{open: opn, body: bdy}
}

// Open returns the message that starts the attempt.
func (att *Attempt) Open() *peerpb.Open { return att.open }

// Body returns the reader of the body after Open().Body, nil if there is no more.
func (att *Attempt) Body() io.Reader { return att.body }

// WithBody returns a copy of the attempt whose Open message holds prefix, followed by the body from rest, which may be
// nil; length is the number of bytes of both, -1 if not known.
func (att *Attempt) WithBody(prefix []byte, rest io.Reader, length int64) *Attempt {
	opn := shallowCopy(att.open)
	opn.Body, opn.BodyEnd, opn.BodyLength = prefix, rest == nil, length
	return &Attempt{open: opn, body: rest}
}

// shallowCopy copies a message without its nested values, which both messages then share.
func shallowCopy(opn *peerpb.Open) *peerpb.Open {
	out := &peerpb.Open{}
	opn.ProtoReflect().Range(func(fld protoreflect.FieldDescriptor, val protoreflect.Value) bool {
		out.ProtoReflect().Set(fld, val)
		return true
	})
	return out
}

// Kind returns the kind of the request, which decides whether it may be retried or hedged.
func (att *Attempt) Kind() controlpb.RequestKind { return controlpb.RequestKind(att.open.GetKind()) }

// Idempotent reports whether the request may run more than once.
func (att *Attempt) Idempotent() bool { return IsIdempotent(att.Kind()) }

// IsIdempotent reports whether requests of a kind may run more than once.
func IsIdempotent(knd controlpb.RequestKind) bool {
	return knd == controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT || knd == controlpb.RequestKind_REQUEST_KIND_DOWNLOAD
}

// Answer is the answer of a backend server; it consists of the Response message and the remaining body.
type Answer struct {
	head *peerpb.Response
	body io.ReadCloser
}

// NewAnswer returns an answer; bdy yields the body after hea.Body, is nil when hea.BodyEnd is set, and fails with an
// error other than io.EOF if the answer was truncated.
func NewAnswer(hea *peerpb.Response, bdy io.ReadCloser) *Answer {
	return &Answer{head: hea, body: bdy}
}

// Head returns the message that starts the answer.
func (ans *Answer) Head() *peerpb.Response { return ans.head }

// Body returns the reader of the body after Head().Body, nil if there is no more.
func (ans *Answer) Body() io.ReadCloser { return ans.body }

// Close releases the resources of the answer; it may be called more than once.
func (ans *Answer) Close() error {
	if ans.body == nil {
		return nil
	}
	return ans.body.Close()
}

// CopyHolder stores copies of idempotency records for other agents.
type CopyHolder interface {
	// StoreCopies stores, replaces or deletes copies.
	StoreCopies(ctx context.Context, req *peerpb.StoreCopiesRequest) (*peerpb.StoreCopiesAnswer, error)
	// FindCopies returns the copies of a partition that have not expired.
	FindCopies(ctx context.Context, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error)
}

// CopySender is the client of the CopyHolder of the agent at an IP:port.
type CopySender interface {
	// SendCopies stores, replaces or deletes copies at that agent.
	SendCopies(ctx context.Context, addr string, req *peerpb.StoreCopiesRequest) error
	// FetchCopies returns all copies of a partition from that agent; it returns an error rather than an incomplete list.
	FetchCopies(ctx context.Context, addr string, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error)
}

// Owner runs attempts for the keys that this agent owns.
type Owner interface {
	CopyHolder
	// Handle runs an attempt; every error wraps a *Refusal.
	Handle(ctx context.Context, att *Attempt) (*Answer, error)
	// Withdraw cancels an attempt that has not started, or returns the state of one that has.
	Withdraw(ctx context.Context, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error)
	// Transfer stores the idempotency records that the previous owner of a key has sent.
	Transfer(ctx context.Context, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error)
	// CurrentLoad returns the numbers of running and queued requests of this agent.
	CurrentLoad() *peerpb.OwnerLoad
}

// Forwarder sends attempts to the agent that owns their key, at an IP:port.
type Forwarder interface {
	CopySender
	// Forward sends an attempt; every error wraps a *Refusal.
	Forward(ctx context.Context, addr string, att *Attempt) (*Answer, error)
	// Withdraw sends the request over a connection that is verified to be alive.
	Withdraw(ctx context.Context, addr string, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error)
	// Transfer sends idempotency records to the next owner of a key.
	Transfer(ctx context.Context, addr string, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error)
}

// Backend sends attempts to the backend server on this host.
type Backend interface {
	// Do runs an attempt under a grant; an error is a *Refusal, whose outcome is not_run only if the backend server is
	// guaranteed not to have run the request.
	Do(ctx context.Context, att *Attempt, grt Grant) (*Answer, error)
	// ReportGrants reports granted and revoked shards to the backend server; it returns nil if the server has no such endpoint.
	ReportGrants(ctx context.Context, granted, revoked []*controlpb.ShardRef) error
	// Advice returns what the backend server states in its answers, nil if nothing; it must not be modified.
	Advice() *peerpb.Advice
	// StartLimit returns how many requests a second may start at the backend server.
	StartLimit() StartLimit
	// AdoptAdvice takes over what another agent knows of the backend server, until the server itself has answered.
	AdoptAdvice(adv *peerpb.Advice)
	// HoldsKeys reports whether the backend server receives its keys in the answers to its heartbeats.
	HoldsKeys() bool
	// Held reports whether the backend server holds a row now. It is always true for a server that is not granted its keys
	// by heartbeats.
	Held(row *controlpb.Shard) bool
	// AwaitHold waits until the backend server holds a row; it returns false if the context ends first.
	AwaitHold(ctx context.Context, row *controlpb.Shard) bool
	// Revoke takes shards from the backend server, and yields them with its handover text for the next owner as soon as it
	// can hold no key of them any more. It ends when it has yielded all, or early if the context ends.
	Revoke(ctx context.Context, refs []*controlpb.ShardRef) iter.Seq[[]*controlpb.ShardRef]
}

// StartLimit is how many requests a second a backend server accepts from all hosts together.
type StartLimit struct {
	Limited   bool
	PerSecond float64 // only valid if Limited
	// Cold is for how long the limit applies because the server is cold, 0 if the server states the limit itself.
	Cold time.Duration
}

// Grant is the right to run one attempt; it consists of the fencing token and the end of the lease.
type Grant struct {
	shard   *controlpb.ShardRef
	expires time.Time
}

// NewGrant returns a grant that is valid until exp; the token of the shard is the fencing token.
func NewGrant(shd *controlpb.ShardRef, exp time.Time) Grant { return Grant{shard: shd, expires: exp} }

// Shard returns the granted shard with its fencing token.
func (grt Grant) Shard() *controlpb.ShardRef { return grt.shard }

// Expires returns the end of the lease under which the attempt may run.
func (grt Grant) Expires() time.Time { return grt.expires }

// Lease is the state of the agent's session with control, as known to the agent itself.
type Lease interface {
	// Session returns the current session, 0 for none.
	Session() uint64
	// Expires returns the end of the lease, and whether the lease is valid now by both the monotonic clock and the time
	// since the host was booted.
	Expires() (time.Time, bool)
	// Fresh reports whether the last contact with control is recent enough for an entry to serve requests by its copy of
	// the configuration.
	Fresh() bool
}

// RoutingTable is the agent's copy of the configuration and of the key ownership.
type RoutingTable interface {
	// Match returns the route and key of a host, method and escaped path; without a match the reason is no_route or
	// method_not_allowed. The key is empty for a route by prefix, where the request carries it in a header.
	Match(host, method, path string) (*controlpb.Route, string, Reason)
	// Limits returns the limits of callers' requests, nil if there are none; they must not be modified.
	Limits() *controlpb.RequestLimits
	// Upstreams returns the agents whose backend servers serve a service, sorted by session; the slice must not be
	// modified.
	Upstreams(svc string) []*controlpb.Node
	// Service returns a service of the configuration, nil if it is not configured.
	Service(name string) *controlpb.Service
	// Shard returns a copy of the ownership row of a key, nil if the service is not known.
	Shard(svc, key string) *controlpb.Shard
	// Node returns a registered agent by its session, nil if that session is not registered.
	Node(session uint64) *controlpb.Node
	// Nodes returns the registered agents in no particular order; they must not be modified.
	Nodes() []*controlpb.Node
	// ZoneDrained reports whether an operator has ordered that no requests are sent to the upstreams of a zone.
	ZoneDrained(zone string) bool
	// Version returns the last applied log index.
	Version() uint64
	// Await waits until the version is above ver; it returns the context's error if that ends first.
	Await(ctx context.Context, ver uint64) error
}
