package owner

import (
	"context"
	"expvar"
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	svcName    = "checkout"
	svcParts   = 4
	ownSession = 40
	peerNode   = 41
)

// anySession panics on methods that the owner must not call.
type anySession interface{ siskinrill.Session }

// fakeSession stands in for the session with control; tests change its lease and rows.
type fakeSession struct {
	anySession

	mu          sync.Mutex
	session     uint64
	expires     time.Time
	version     uint64
	changed     chan struct{}
	rows        map[string]*controlpb.Shard // by partition number or override key
	drain       bool
	zoneSince   time.Time // of the order to drain the zone, zero for none
	svc         *controlpb.Service
	released    []*controlpb.ShardRef
	nodes       []*controlpb.Node // registered agents, nil for none but this one
	onRelease   func(refs []*controlpb.ShardRef)
	quarantined atomic.Pointer[map[uint64]bool] // requests by fingerprint
}

func newFakeSession() *fakeSession {
	fse := &fakeSession{
		session: ownSession, expires: time.Now().Add(time.Hour), version: 100, changed: make(chan struct{}),
		rows: map[string]*controlpb.Shard{},
		svc:  &controlpb.Service{Name: svcName, Partitions: svcParts, QueueLimit: 4, RampMs: 1},
	}
	for num := range uint32(svcParts) {
		fse.rows[partName(num)] = &controlpb.Shard{Service: svcName, Partition: num, Owner: ownSession, Token: 7, Phase: controlpb.Phase_PHASE_OWNED}
	}
	return fse
}

func partName(num uint32) string { return "#" + string(rune('0'+num)) }

// change changes the session under its lock and wakes everything that waits for a new version.
func (fse *fakeSession) change(fn func()) {
	fse.locked(func() {
		fn()
		fse.version++
		close(fse.changed)
		fse.changed = make(chan struct{})
	})
}

// release starts the release of a row.
func (fse *fakeSession) release(name string) {
	fse.change(func() {
		fse.rows[name].Phase = controlpb.Phase_PHASE_RELEASING
		fse.rows[name].Target = peerNode
	})
}

// locked runs a function under the lock of the session.
func (fse *fakeSession) locked(fn func()) {
	fse.mu.Lock()
	defer fse.mu.Unlock()
	fn()
}

func (fse *fakeSession) Session() (ses uint64) {
	fse.locked(func() { ses = fse.session })
	return ses
}

func (fse *fakeSession) Expires() (exp time.Time, valid bool) {
	fse.locked(func() { exp = fse.expires })
	return exp, time.Now().Before(exp)
}

func (fse *fakeSession) Service(string) *controlpb.Service { return fse.svc }

func (fse *fakeSession) Shard(_, key string) (row *controlpb.Shard) {
	fse.locked(func() {
		row = fse.rows[key]
		if row == nil {
			row = fse.rows[partName(siskinrill.HashPartition(svcName, key, svcParts))]
		}
		row = proto.Clone(row).(*controlpb.Shard)
	})
	return row
}

func (fse *fakeSession) Node(ses uint64) *controlpb.Node {
	for _, nod := range fse.Nodes() {
		if nod.GetSession() == ses {
			return nod
		}
	}
	return &controlpb.Node{Session: ses, PeerAddress: "127.0.0.1:1"}
}

func (fse *fakeSession) Limits() *controlpb.RequestLimits { return nil }

func (fse *fakeSession) Upstreams(string) []*controlpb.Node { return nil }

func (fse *fakeSession) Nodes() (list []*controlpb.Node) {
	fse.locked(func() { list = fse.nodes })
	return list
}

func (fse *fakeSession) Version() (ver uint64) {
	fse.locked(func() { ver = fse.version })
	return ver
}

func (fse *fakeSession) Await(ctx context.Context, ver uint64) error {
	for {
		now, changed := uint64(0), (chan struct{})(nil)
		fse.locked(func() { now, changed = fse.version, fse.changed })
		if now > ver {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (fse *fakeSession) Owned() (rows []*controlpb.Shard) {
	fse.locked(func() {
		for _, row := range fse.rows {
			if row.GetOwner() == fse.session {
				rows = append(rows, proto.Clone(row).(*controlpb.Shard))
			}
		}
	})
	return rows
}

func (fse *fakeSession) Release(refs []*controlpb.ShardRef) {
	if fse.onRelease != nil {
		fse.onRelease(refs)
	}
	fse.locked(func() { fse.released = append(fse.released, refs...) })
}

func (fse *fakeSession) reported() (refs []*controlpb.ShardRef) {
	fse.locked(func() { refs = fse.released })
	return refs
}

func (fse *fakeSession) SetLoadSource(siskinrill.LoadSource) {}

func (fse *fakeSession) Draining() (drain bool) {
	fse.locked(func() { drain = fse.drain })
	return drain
}

func (fse *fakeSession) ZoneDrainAge() (age time.Duration, drained bool) {
	fse.locked(func() { age, drained = time.Since(fse.zoneSince), !fse.zoneSince.IsZero() })
	return age, drained
}

// fakeBackend runs attempts with a function.
type fakeBackend struct {
	do         func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error)
	grantDelay time.Duration // delay of the answer to a grant report
	noKeys     atomic.Bool   // holds no keys
	rowTime    time.Duration // for which it holds each further row that is revoked
	advice     atomic.Pointer[peerpb.Advice]
	cold       atomic.Pointer[siskinrill.StartLimit] // replaces the limit of advice
}

func (fba *fakeBackend) Do(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
	return fba.do(ctx, att, grt)
}

func (fba *fakeBackend) HoldsKeys() bool { return false }

func (fba *fakeBackend) Advice() *peerpb.Advice { return fba.advice.Load() }

func (fba *fakeBackend) StartLimit() siskinrill.StartLimit {
	if lmt := fba.cold.Load(); lmt != nil {
		return *lmt
	}
	adv := fba.advice.Load()
	return siskinrill.StartLimit{Limited: adv.GetLimited(), PerSecond: adv.GetRateLimit()}
}

func (fba *fakeBackend) AdoptAdvice(adv *peerpb.Advice) { fba.advice.CompareAndSwap(nil, adv) }

func (fba *fakeBackend) Held(*controlpb.Shard) bool { return !fba.noKeys.Load() }

func (fba *fakeBackend) AwaitHold(ctx context.Context, _ *controlpb.Shard) bool {
	for fba.noKeys.Load() {
		if !sleep(ctx, 10*time.Millisecond) {
			return false
		}
	}
	return true
}

func (fba *fakeBackend) Revoke(ctx context.Context, refs []*controlpb.ShardRef) iter.Seq[[]*controlpb.ShardRef] {
	if fba.rowTime == 0 {
		return slices.Values([][]*controlpb.ShardRef{refs})
	}
	return func(yield func([]*controlpb.ShardRef) bool) {
		for free := range slices.Chunk(refs, 1) {
			if !yield(free) || !sleep(ctx, fba.rowTime) {
				return
			}
		}
	}
}

func (fba *fakeBackend) ReportGrants(context.Context, []*controlpb.ShardRef, []*controlpb.ShardRef) error {
	time.Sleep(fba.grantDelay)
	return nil
}

// fakeForwarder records the transfers.
type fakeForwarder struct {
	siskinrill.Forwarder

	mu   sync.Mutex
	fail int // number of transfers that fail
	recs []*peerpb.IdempotencyRecord
}

func (ffo *fakeForwarder) Transfer(_ context.Context, _ string, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	ffo.mu.Lock()
	defer ffo.mu.Unlock()
	if ffo.fail > 0 {
		ffo.fail--
		return nil, context.DeadlineExceeded
	}
	ffo.recs = append(ffo.recs, req.GetRecords()...)
	return &peerpb.TransferAnswer{Kept: uint32(len(req.GetRecords()))}, nil
}

func (ffo *fakeForwarder) transferred() []*peerpb.IdempotencyRecord {
	ffo.mu.Lock()
	defer ffo.mu.Unlock()
	return ffo.recs
}

// bench is an owner with fake dependencies.
type bench struct {
	own *Owner
	ses *fakeSession
	fwd *fakeForwarder
	bck *fakeBackend
	cnt *siskinrill.Counters
}

// newBench returns an owner that runs until the context ends; by default the backend server answers immediately.
func newBench(ctx context.Context, slots int) *bench {
	bnc := &bench{ses: newFakeSession(), fwd: &fakeForwarder{}, bck: &fakeBackend{do: answerOK}, cnt: siskinrill.NewCounters()}
	bnc.own = New(Options{Slots: func() int { return slots }}, bnc.ses, bnc.fwd, bnc.bck, bnc.cnt)
	go func() { _ = bnc.own.Run(ctx) }()
	return bnc
}

func answerOK(context.Context, *siskinrill.Attempt, siskinrill.Grant) (*siskinrill.Answer, error) {
	return siskinrill.NewAnswer(&peerpb.Response{Status: 200, Body: []byte("ok"), BodyLength: 2, BodyEnd: true}, nil), nil
}

// open returns the first message of a complete non-idempotent request.
func open(num uint64, key string) *peerpb.Open {
	return &peerpb.Open{
		Attempt: &peerpb.AttemptId{EntrySession: 50, Counter: num}, OwnerSession: ownSession, Service: svcName, Key: key,
		Partition: siskinrill.HashPartition(svcName, key, svcParts), Token: 7, Method: "POST", Target: "/orders/" + key + "/payment",
		TimeoutMs: 2000, Kind: uint32(controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT), BodyEnd: true,
	}
}

func withdrawal(num uint64, wait uint32) *peerpb.WithdrawRequest {
	return &peerpb.WithdrawRequest{Attempt: &peerpb.AttemptId{EntrySession: 50, Counter: num}, OwnerSession: ownSession, WaitMs: wait}
}

// counter returns a counter as text, empty if it was never incremented.
func counter(cnt *siskinrill.Counters, set, name string) string {
	if val := cnt.Vars()[set].(*expvar.Map).Get(name); val != nil {
		return val.String()
	}
	return ""
}

// bubble runs a test in a synctest bubble with an owner whose ramp is over.
func bubble(t *testing.T, slots int, test func(t *testing.T, bnc *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		bnc := newBench(t.Context(), slots)
		time.Sleep(10 * time.Millisecond)
		test(t, bnc)
	})
}

func (fse *fakeSession) AnyQuarantined() bool { return fse.quarantined.Load() != nil }

func (fse *fakeSession) Quarantined(req uint64) bool { return (*fse.quarantined.Load())[req] }
