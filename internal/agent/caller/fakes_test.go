package caller

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

type noSession struct{ siskinrill.Session }

// row is the state of the only shard at one table version.
type row struct {
	owner   uint64
	phase   controlpb.Phase
	version uint64
	changed chan struct{}
}

// fakeSession is a session with a single shard that the test can move.
type fakeSession struct {
	noSession
	stale           bool
	noLease         bool
	targetLatencyMs uint32 // of the routes
	service         *controlpb.Service
	nodes           map[uint64]*controlpb.Node

	upstreams   []*controlpb.Node
	drained     []string                        // zones
	allowed     []string                        // regions of the routes
	quarantined atomic.Pointer[map[uint64]bool] // requests by fingerprint
	row         atomic.Pointer[row]
}

const entrySession = 7

func newFakeSession() *fakeSession {
	ses := &fakeSession{
		service: &controlpb.Service{Name: "checkout", Partitions: 16},
		nodes:   map[uint64]*controlpb.Node{1: {PeerAddress: "owner1"}, 2: {PeerAddress: "owner2"}},
	}
	ses.row.Store(&row{owner: 1, phase: controlpb.Phase_PHASE_OWNED, version: 1, changed: make(chan struct{})})
	return ses
}

// downloadMethod is the method of the route for downloads; GET is that of the route for other idempotent requests.
const downloadMethod = http.MethodOptions

var kinds = map[string]controlpb.RequestKind{
	"GET": controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT, "POST": controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT, "PUT": controlpb.RequestKind_REQUEST_KIND_UPLOAD,
	downloadMethod: controlpb.RequestKind_REQUEST_KIND_DOWNLOAD,
}

func (ses *fakeSession) Match(_, method, path string) (*controlpb.Route, string, siskinrill.Reason) {
	key, ok := strings.CutPrefix(path, "/orders/")
	if !ok {
		return nil, "", siskinrill.ReasonNoRoute
	}
	knd, ok := kinds[method]
	if !ok {
		return nil, "", siskinrill.ReasonMethodNotAllowed
	}
	return &controlpb.Route{Service: "checkout", Kind: knd, TimeoutMs: 5000, MaxBodyBytes: 1 << 20, TargetLatencyMs: ses.targetLatencyMs, AllowedRegions: ses.allowed}, key, ""
}

func (ses *fakeSession) Session() uint64                    { return entrySession }
func (ses *fakeSession) Fresh() bool                        { return !ses.stale }
func (ses *fakeSession) Expires() (time.Time, bool)         { return time.Now().Add(time.Hour), !ses.noLease }
func (ses *fakeSession) Service(string) *controlpb.Service  { return ses.service }
func (ses *fakeSession) Node(num uint64) *controlpb.Node    { return ses.nodes[num] }
func (ses *fakeSession) Nodes() []*controlpb.Node           { return nil }
func (ses *fakeSession) Limits() *controlpb.RequestLimits   { return nil }
func (ses *fakeSession) Upstreams(string) []*controlpb.Node { return ses.upstreams }
func (ses *fakeSession) ZoneDrained(zone string) bool       { return slices.Contains(ses.drained, zone) }
func (ses *fakeSession) Version() uint64                    { return ses.row.Load().version }

func (ses *fakeSession) Shard(string, string) *controlpb.Shard {
	row := ses.row.Load()
	return &controlpb.Shard{Service: "checkout", Owner: row.owner, Token: row.version, Phase: row.phase}
}

func (ses *fakeSession) Await(ctx context.Context, ver uint64) error {
	for row := ses.row.Load(); row.version <= ver; row = ses.row.Load() {
		select {
		case <-row.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// move changes the row of the shard in a new version; owner 0 makes it an orphan.
func (ses *fakeSession) move(own uint64, phs controlpb.Phase) {
	for {
		old := ses.row.Load()
		if ses.row.CompareAndSwap(old, &row{owner: own, phase: phs, version: old.version + 1, changed: make(chan struct{})}) {
			close(old.changed)
			return
		}
	}
}

// fault is a fault injected into one attempt.
type fault struct {
	refuse          siskinrill.Reason // the owner refuses, nothing runs
	unknown         siskinrill.Reason // the attempt runs, but the owner reports an unknown outcome for this reason
	noConnection    bool
	held            bool          // the link delivers nothing until the attempt ends
	lostBeforeOwner bool          // the connection is lost before the owner receives the attempt
	bodyRead        bool          // part of the body is read before that
	answerLost      bool          // the attempt runs, its answer is lost
	delay           time.Duration // the connection is lost, the owner receives the attempt after this time
	queueTime       time.Duration // in the owner's queue
	runTime         time.Duration
	truncated       bool // the answer is truncated
	frozen          bool // the owner stops answering withdrawals
	moves           bool // the shard moves to owner 2 after 50 ms
}

// attemptState is an owner's record of one attempt.
type attemptState struct {
	tombstone bool
	started   bool
	done      chan struct{}
	answer    *peerpb.Response
}

// fakeOwners simulates the owners and the connections to them; it records runs by request id.
type fakeOwners struct {
	siskinrill.CopyHolder
	ses             *fakeSession
	mu              sync.Mutex
	script          map[string][]fault
	runs            map[string]int
	attempts        map[uint64]*attemptState
	frozen          bool
	lostWithdrawals int // number of withdrawals to leave unanswered
	bodies          map[string]int
	load            *peerpb.OwnerLoad      // reported with answers, may be nil
	onForward       func(opn *peerpb.Open) // called with each forwarded attempt, may be nil
}

func newFakeOwners(ses *fakeSession) *fakeOwners {
	return &fakeOwners{ses: ses, script: map[string][]fault{}, runs: map[string]int{}, attempts: map[uint64]*attemptState{}, bodies: map[string]int{}}
}

func (own *fakeOwners) CurrentLoad() *peerpb.OwnerLoad { return nil }

func requestID(opn *peerpb.Open) string {
	for _, fld := range opn.GetHeaders() {
		if fld.GetName() == "X-Request-Id" {
			return fld.GetValues()[0]
		}
	}
	return ""
}

func (own *fakeOwners) nextFault(rid string) fault {
	own.mu.Lock()
	defer own.mu.Unlock()
	if len(own.script[rid]) == 0 {
		return fault{}
	}
	flt := own.script[rid][0]
	own.script[rid] = own.script[rid][1:]
	return flt
}

var errConnectionLost = siskinrill.Unknown(siskinrill.ReasonConnectionLost, io.EOF)

func (own *fakeOwners) Forward(ctx context.Context, _ string, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	if own.onForward != nil {
		own.onForward(att.Open())
	}
	flt := own.nextFault(requestID(att.Open()))
	if flt.frozen {
		own.mu.Lock()
		own.frozen = true
		own.mu.Unlock()
	}
	if flt.moves {
		own.ses.move(1, controlpb.Phase_PHASE_RELEASING)
		time.AfterFunc(50*time.Millisecond, func() { own.ses.move(2, controlpb.Phase_PHASE_OWNED) })
	}
	switch {
	case flt.noConnection:
		return nil, siskinrill.NotRun(siskinrill.ReasonUnreachable)
	case flt.held:
		<-ctx.Done()
		return nil, siskinrill.Unknown(siskinrill.ReasonDeadline, ctx.Err())
	case flt.lostBeforeOwner:
		if flt.bodyRead && att.Body() != nil {
			_, _ = att.Body().Read(make([]byte, 1000))
		}
		return nil, errConnectionLost
	case flt.delay > 0:
		time.AfterFunc(flt.delay, func() { _, _ = own.run(context.Background(), att, flt) })
		return nil, errConnectionLost
	case flt.answerLost:
		_, _ = own.runUntilDone(ctx, att, flt)
		return nil, errConnectionLost
	}
	return own.runUntilDone(ctx, att, flt)
}

// runUntilDone runs an attempt; its answer is lost if the context ends first.
func (own *fakeOwners) runUntilDone(ctx context.Context, att *siskinrill.Attempt, flt fault) (*siskinrill.Answer, error) {
	if !sleep(ctx, flt.queueTime) {
		return nil, siskinrill.NotRun(siskinrill.ReasonDeadlineInQueue)
	}
	flt.queueTime = 0
	ended := make(chan func() (*siskinrill.Answer, error), 1)
	go func() {
		ans, err := own.run(ctx, att, flt)
		ended <- func() (*siskinrill.Answer, error) { return ans, err }
	}()
	select {
	case res := <-ended:
		return res()
	case <-ctx.Done():
		rsn := siskinrill.ReasonDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			rsn = siskinrill.ReasonCallerGone
		}
		return nil, siskinrill.Unknown(rsn, ctx.Err())
	}
}

func (own *fakeOwners) Handle(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	return own.run(ctx, att, own.nextFault(requestID(att.Open())))
}

func (own *fakeOwners) state(num uint64) *attemptState {
	sta := own.attempts[num]
	if sta == nil {
		sta = &attemptState{done: make(chan struct{})}
		own.attempts[num] = sta
	}
	return sta
}

func (own *fakeOwners) run(ctx context.Context, att *siskinrill.Attempt, flt fault) (*siskinrill.Answer, error) {
	if flt.refuse != "" {
		return nil, siskinrill.NotRun(flt.refuse).WithLoad(own.load).WithVersion(own.ses.Version())
	}
	if row := own.ses.row.Load(); row.owner != att.Open().GetOwnerSession() || row.phase != controlpb.Phase_PHASE_OWNED {
		return nil, siskinrill.NotRun(siskinrill.ReasonWrongOwner).WithVersion(row.version)
	}
	if !sleep(ctx, flt.queueTime) {
		return nil, siskinrill.NotRun(siskinrill.ReasonDeadlineInQueue)
	}
	rid := requestID(att.Open())
	own.mu.Lock()
	sta := own.state(att.Open().GetAttempt().GetCounter())
	if sta.tombstone {
		own.mu.Unlock()
		return nil, siskinrill.NotRun(siskinrill.ReasonWithdrawn)
	}
	sta.started = true
	own.runs[rid]++
	own.mu.Unlock()
	size := len(att.Open().GetBody())
	if att.Body() != nil {
		rst, err := io.ReadAll(att.Body())
		if err != nil {
			return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, err)
		}
		size += len(rst)
	}
	time.Sleep(flt.runTime)
	rsp := &peerpb.Response{Status: 200, Body: []byte(rid), BodyEnd: true, BodyLength: int64(len(rid))}
	own.mu.Lock()
	sta.answer = rsp
	own.bodies[rid] = size
	close(sta.done)
	own.mu.Unlock()
	if flt.unknown != "" {
		return nil, siskinrill.Unknown(flt.unknown, nil)
	}
	if flt.truncated {
		hea := &peerpb.Response{Status: 200, BodyLength: int64(len(rid)), Body: []byte(rid[:1])}
		return siskinrill.NewAnswer(hea, truncatedBody{}), nil
	}
	if own.load != nil {
		rsp = proto.Clone(rsp).(*peerpb.Response)
		rsp.Load = own.load
	}
	return siskinrill.NewAnswer(rsp, nil), nil
}

// truncatedBody fails with an error that wraps io.EOF, as the body of a broken connection may.
type truncatedBody struct{}

func (truncatedBody) Read([]byte) (int, error) { return 0, errConnectionLost }
func (truncatedBody) Close() error             { return nil }

func (own *fakeOwners) Withdraw(ctx context.Context, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error) {
	own.mu.Lock()
	if own.lostWithdrawals > 0 {
		own.lostWithdrawals--
		own.mu.Unlock()
		return nil, errors.New("no answer")
	}
	frozen := own.frozen
	sta := own.state(req.GetAttempt().GetCounter())
	if !sta.started && !frozen {
		sta.tombstone = true
	}
	withdrawn := sta.tombstone
	own.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	if withdrawn {
		return &peerpb.WithdrawAnswer{Result: peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN}, nil
	}
	tmr := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer tmr.Stop()
	select {
	case <-sta.done:
		return &peerpb.WithdrawAnswer{Result: peerpb.WithdrawResult_WITHDRAW_RESULT_DONE, Response: sta.answer}, nil
	case <-tmr.C:
		return &peerpb.WithdrawAnswer{Result: peerpb.WithdrawResult_WITHDRAW_RESULT_RUNNING}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (own *fakeOwners) Transfer(context.Context, *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	return nil, nil
}

// remoteOwner implements siskinrill.Forwarder with the fake owners.
type remoteOwner struct {
	*fakeOwners
	siskinrill.CopySender
}

func (own remoteOwner) Withdraw(ctx context.Context, _ string, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error) {
	return own.fakeOwners.Withdraw(ctx, req)
}

func (own remoteOwner) Transfer(ctx context.Context, _ string, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	return own.fakeOwners.Transfer(ctx, req)
}

// fixture is a handler with fake dependencies.
type fixture struct {
	ses *fakeSession
	own *fakeOwners
	cnt *siskinrill.Counters
	han *Handler
}

func newFixture() *fixture {
	fix := &fixture{ses: newFakeSession(), cnt: siskinrill.NewCounters()}
	fix.own = newFakeOwners(fix.ses)
	fix.han = New(Options{}, fix.ses, remoteOwner{fakeOwners: fix.own}, fix.own, fix.cnt)
	return fix
}

// bubble runs a subtest in a synctest bubble with its own fixture.
func bubble(t *testing.T, name string, fnc func(t *testing.T, fix *fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fnc(t, newFixture())
			// Lets abandoned runs of the fake owner end.
			time.Sleep(time.Minute)
		})
	})
}

// callerResult is the response as the caller receives it.
type callerResult struct {
	status  int
	outcome string
	body    string
	header  http.Header
	aborted bool
	latency time.Duration
}

// send sends a request through the handler.
func (fix *fixture) send(req *http.Request) (res callerResult) {
	rec := httptest.NewRecorder()
	beg := time.Now()
	defer func() {
		res = callerResult{rec.Code, rec.Header().Get(siskinrill.HeaderOutcome), rec.Body.String(), rec.Header(), recover() != nil, time.Since(beg)}
	}()
	fix.han.ServeHTTP(rec, req)
	return res
}

func newRequest(method, rid string, bdy []byte) *http.Request {
	req := httptest.NewRequest(method, "/orders/"+rid, bytes.NewReader(bdy))
	req.Header.Set("X-Request-Id", rid)
	return req
}

// count returns the value of a counter in the map of the given kind, "0" if there is none.
func (fix *fixture) count(kind, name string) string {
	all, known := fix.cnt.Vars()[kind].(*expvar.Map)
	if !known {
		return "0"
	}
	if val := all.Get(name); val != nil {
		return val.String()
	}
	return "0"
}

func (ses *fakeSession) AnyQuarantined() bool { return ses.quarantined.Load() != nil }

func (ses *fakeSession) Quarantined(req uint64) bool { return (*ses.quarantined.Load())[req] }
