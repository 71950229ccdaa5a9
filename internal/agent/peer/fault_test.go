package peer

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// sequenceReader returns its text, then calls a function once, then returns its error.
type sequenceReader struct {
	io.Reader
	then func()
	err  error
}

func (rdr *sequenceReader) Read(buf []byte) (int, error) {
	num, err := rdr.Reader.Read(buf)
	if err != io.EOF {
		return num, err
	}
	if rdr.then != nil {
		time.Sleep(20 * time.Millisecond)
		runAndSleep(rdr.then, 20*time.Millisecond)
		rdr.then = nil
	}
	return num, rdr.err
}

func (*sequenceReader) Close() error { return nil }

type handler = func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error)

// truncatedAnswer answers with a declared length of 192 KB, a body of 128 KB, and an error after calling a function.
func truncatedAnswer(then func(), err error) handler {
	return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
		bdy := strings.NewReader(strings.Repeat("x", 2*maxInlineAnswerBody))
		hea := &peerpb.Response{Status: 200, BodyLength: 3 * maxInlineAnswerBody}
		return siskinrill.NewAnswer(hea, &sequenceReader{Reader: bdy, then: then, err: err}), nil
	}
}

// failingWith fails each attempt with an error.
func failingWith(err error) handler {
	return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) { return nil, err }
}

func answeringWith(rsp *peerpb.Response) handler {
	return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
		return siskinrill.NewAnswer(rsp, nil), nil
	}
}

// answeringAfter reads part of the body, calls a function and then answers.
func answeringAfter(fnc func(), part int) handler {
	return func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		if part > 0 {
			_, _ = io.ReadFull(att.Body(), make([]byte, part))
		}
		fnc()
		return echo(ctx, att)
	}
}

func runAndSleep(fnc func(), dur time.Duration) {
	fnc()
	time.Sleep(dur)
}

// thawAfterOneRequest freezes a peer, lets one request fail, and thaws the peer.
func thawAfterOneRequest(fix *fixture) {
	runAndSleep(fix.rel.blackholeAll, 250*time.Millisecond)
	_, _ = fix.poo.Forward(context.Background(), fix.rel.address(), newAttempt(nonIdempotent, nil))
	fix.rel.blackholeNew.Store(false)
}

// awaitEvent waits for an event, because another goroutine counts it than the one that received the error.
func (fix *fixture) awaitEvent(t *testing.T, name string) {
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(fix.cnt.Vars()["events"].String(), name) {
			return
		}
	}
	must.StrContains(t, fix.cnt.Vars()["events"].String(), name)
}

// TestFaults guards against a false not_run, a truncated answer that looks complete, and a hanging request for
// each connection fault.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		kind    controlpb.RequestKind
		size    int
		reused  bool // the connection has carried a request before
		fault   func(fix *fixture)
		owner   func(fix *fixture) handler
		reason  siskinrill.Reason // empty if served
		notRun  bool
		arrived int32
		event   string
		limit   time.Duration
	}{
		"connection refused":                {fault: func(fix *fixture) { _ = fix.rel.lis.Close() }, reason: siskinrill.ReasonUnreachable, notRun: true, event: "peer_connect_failed"},
		"cut before the request":            {kind: nonIdempotent, reused: true, arrived: 1, event: "peer_connected", fault: func(fix *fixture) { runAndSleep(fix.rel.closeConnections, 50*time.Millisecond) }},
		"cut before the request, peer gone": {kind: nonIdempotent, reused: true, reason: siskinrill.ReasonUnreachable, notRun: true, event: "peer_connect_failed", fault: func(fix *fixture) { runAndSleep(fix.rel.refuseAll, 50*time.Millisecond) }},
		"cut in the middle of the request":  {kind: upload, size: 8 << 20, arrived: 1, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed", owner: func(fix *fixture) handler { return answeringAfter(fix.rel.closeConnections, 1<<20) }},
		"cut before the answer":             {arrived: 1, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed", owner: func(fix *fixture) handler { return answeringAfter(fix.rel.closeConnections, 0) }},
		"cut in the middle of the answer":   {arrived: 1, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed", owner: func(fix *fixture) handler { return truncatedAnswer(fix.rel.closeConnections, io.EOF) }},
		"backend server cut the answer": {arrived: 1, reason: siskinrill.ReasonBackendBadAnswer, owner: func(*fixture) handler {
			return truncatedAnswer(nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, io.EOF))
		}},
		"wrong length of a streamed answer": {arrived: 1, reason: siskinrill.ReasonBackendBadAnswer, owner: func(*fixture) handler { return truncatedAnswer(nil, io.EOF) }},
		"wrong length of a small answer": {arrived: 1, reason: siskinrill.ReasonBackendBadAnswer, owner: func(*fixture) handler {
			return answeringWith(&peerpb.Response{Status: 200, BodyLength: 3, Body: []byte("xy"), BodyEnd: true})
		}},
		"silent connection, non-idempotent": {kind: nonIdempotent, reused: true, arrived: 1, event: "peer_ping_failed", limit: 300 * time.Millisecond, fault: func(fix *fixture) { runAndSleep(fix.rel.blackhole, 250*time.Millisecond) }},
		"silent before the answer":          {kind: nonIdempotent, arrived: 1, reason: siskinrill.ReasonConnectionLost, event: "peer_ping_failed", limit: 1100 * time.Millisecond, owner: func(fix *fixture) handler { return answeringAfter(fix.rel.blackhole, 0) }},
		"silent before the answer, refused": {arrived: 1, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed", limit: 850 * time.Millisecond, owner: func(fix *fixture) handler {
			return answeringAfter(func() { fix.rel.blackhole(); _ = fix.rel.lis.Close() }, 0)
		}},
		"frozen peer":               {kind: nonIdempotent, reused: true, reason: siskinrill.ReasonUnreachable, notRun: true, event: "peer_connect_failed", limit: 800 * time.Millisecond, fault: func(fix *fixture) { runAndSleep(fix.rel.blackholeAll, 250*time.Millisecond) }},
		"frozen peer that returned": {kind: nonIdempotent, reused: true, arrived: 1, event: "peer_connect_failed", fault: thawAfterOneRequest},
		"refused by the owner": {kind: nonIdempotent, arrived: 1, reason: siskinrill.ReasonQueueFull, notRun: true, owner: func(*fixture) handler {
			return failingWith(errors.Wrap(siskinrill.NotRun(siskinrill.ReasonQueueFull), "wrapped"))
		}},
		"error without a type": {kind: nonIdempotent, arrived: 1, reason: siskinrill.ReasonInternal, owner: func(*fixture) handler { return failingWith(io.EOF) }},
		"deadline":             {kind: nonIdempotent, arrived: 1, reason: siskinrill.ReasonDeadline, limit: 2100 * time.Millisecond, owner: func(*fixture) handler { return answeringAfter(func() { time.Sleep(2050 * time.Millisecond) }, 0) }},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			if cse.reused {
				_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(cse.kind, nil))
				must.NoError(t, err)
				fix.own.arrived.Store(0)
			}
			if cse.fault != nil {
				cse.fault(fix)
			}
			if cse.owner != nil {
				fix.own.handle = cse.owner(fix)
			}
			bdy := bytes.Repeat([]byte("x"), cse.size)
			beg := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			ans, err := fix.poo.Forward(ctx, fix.rel.address(), newAttempt(cse.kind, bdy))
			if err == nil {
				_, err = readAnswer(ans)
			}
			took := time.Since(beg)
			if cse.reason == "" {
				must.NoError(t, err)
			} else {
				ref := &siskinrill.Refusal{}
				must.True(t, errors.As(err, &ref), must.Sprintf("%v", err))
				must.Eq(t, cse.reason, ref.Reason(), must.Sprintf("%v", err))
				must.Eq(t, cse.notRun, ref.NotRun())
			}
			must.Eq(t, cse.arrived, fix.own.arrived.Load())
			if cse.event != "" {
				fix.awaitEvent(t, cse.event)
			}
			if cse.limit > 0 {
				must.LessEq(t, cse.limit, took)
			}
		})
	}
}

// TestFrozenPeer guards against a request that waits forever for a peer that does not answer new connections either.
func TestFrozenPeer(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	fix.own.handle = answeringAfter(fix.rel.blackholeAll, 0)
	beg := time.Now()
	_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
	must.ErrorContains(t, err, string(siskinrill.ReasonConnectionLost))
	must.LessEq(t, maxSuspectTimeout+500*time.Millisecond, time.Since(beg))
	fix.awaitEvent(t, "peer_ping_failed")
}

// TestAbandonedAnswer guards against delivering the answer of an abandoned attempt to the next request.
func TestAbandonedAnswer(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	serve := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	fix.own.handle = answeringAfter(func() { cancel(); <-serve }, 0)
	_, err := fix.poo.Forward(ctx, fix.rel.address(), newAttempt(idempotent, []byte("first")))
	must.ErrorContains(t, err, string(siskinrill.ReasonCallerGone))
	close(serve)
	ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, []byte("second")))
	must.NoError(t, err)
	must.Eq(t, "second", string(ans.Head().GetBody()))
}

// doubleAnswerServer answers each attempt twice.
type doubleAnswerServer struct {
	peerpb.UnimplementedPeerServiceServer
}

func (doubleAnswerServer) Forward(str peerpb.PeerService_ForwardServer) error {
	msg, err := str.Recv()
	if err != nil {
		return err
	}
	bdy := msg.GetOpen().GetBody()
	rsp := &peerpb.OwnerMessage{Kind: &peerpb.OwnerMessage_Response{Response: &peerpb.Response{Status: 200, BodyLength: int64(len(bdy)), Body: bdy, BodyEnd: true}}}
	_ = str.Send(rsp)
	return str.Send(rsp)
}

// TestDuplicateAnswer guards against delivering a second answer to the next request.
func TestDuplicateAnswer(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	adr := serve(t, func(gsv *grpc.Server) { peerpb.RegisterPeerServiceServer(gsv, doubleAnswerServer{}) })
	for _, txt := range []string{"first", "second", "third"} {
		ans, err := fix.poo.Forward(t.Context(), adr, newAttempt(idempotent, []byte(txt)))
		must.NoError(t, err)
		must.Eq(t, txt, string(ans.Head().GetBody()))
	}
}

// TestRefusedUpload guards against an upload that cannot be retried because a refused attempt has read its body.
func TestRefusedUpload(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	fix.own.handle = failingWith(siskinrill.NotRun(siskinrill.ReasonMoving).WithVersion(9).WithRetryAfter(2 * time.Second))
	bdy := bytes.NewReader(make([]byte, 1<<20))
	opn := newAttempt(upload, make([]byte, 2*maxInlineAnswerBody)).Open()
	_, err := fix.poo.Forward(t.Context(), fix.rel.address(), siskinrill.NewAttempt(opn, bdy))
	ref := &siskinrill.Refusal{}
	must.True(t, errors.As(err, &ref))
	must.Eq(t, 9, ref.Version())
	must.Eq(t, 2*time.Second, ref.RetryAfter())
	must.Eq(t, 1<<20, bdy.Len())
}

// TestTruncatedUpload guards against an owner that treats a truncated upload as complete.
func TestTruncatedUpload(t *testing.T) {
	t.Parallel()
	for name, readErr := range map[string]error{"unexpected end": io.ErrUnexpectedEOF, "wrapped end": siskinrill.Unknown(siskinrill.ReasonCallerGone, io.EOF), "too short": io.EOF} {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t)
			received := make(chan error, 1)
			fix.own.handle = func(_ context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
				_, err := io.ReadAll(att.Body())
				received <- err
				return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, err)
			}
			opn := newAttempt(upload, make([]byte, 4*maxInlineAnswerBody)).Open()
			bdy := &sequenceReader{Reader: strings.NewReader("short"), err: readErr}
			_, err := fix.poo.Forward(t.Context(), fix.rel.address(), siskinrill.NewAttempt(opn, bdy))
			must.Error(t, err)
			must.Error(t, <-received)
		})
	}
}

// TestBrokenVariants guards against tests that do not detect the faults they are written for.
func TestBrokenVariants(t *testing.T) {
	t.Parallel()
	truncatedRead := func(broken bool) error {
		fix := newFixture(t)
		fix.srv.hooks.skipEnd = true
		fix.poo.hooks.skipEnd = broken
		fix.own.handle = truncatedAnswer(nil, io.EOF)
		ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
		must.NoError(t, err)
		_, err = readAnswer(ans)
		return err
	}
	must.Error(t, truncatedRead(false))
	must.NoError(t, truncatedRead(true))
	forwardAfterBlackhole := func(broken bool) error {
		fix := newFixture(t)
		fix.poo.hooks.skipPing = broken
		_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(nonIdempotent, nil))
		must.NoError(t, err)
		fix.rel.blackhole()
		time.Sleep(250 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = fix.poo.Forward(ctx, fix.rel.address(), newAttempt(nonIdempotent, nil))
		return err
	}
	must.NoError(t, forwardAfterBlackhole(false))
	must.Error(t, forwardAfterBlackhole(true))
}

const (
	idempotent    = controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT
	nonIdempotent = controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT
	upload        = controlpb.RequestKind_REQUEST_KIND_UPLOAD
)

// newAttempt returns an attempt with up to 64 KB of the body in its first message.
func newAttempt(knd controlpb.RequestKind, bdy []byte) *siskinrill.Attempt {
	opn := &peerpb.Open{Kind: uint32(knd), TimeoutMs: 5000, BodyLength: int64(len(bdy)), Method: "PUT", Target: "/photos/1"}
	if len(bdy) <= maxInlineAnswerBody {
		opn.Body, opn.BodyEnd = bdy, true
		return siskinrill.NewAttempt(opn, nil)
	}
	opn.Body = bdy[:maxInlineAnswerBody]
	return siskinrill.NewAttempt(opn, bytes.NewReader(bdy[maxInlineAnswerBody:]))
}

// readAnswer reads an entire answer.
func readAnswer(ans *siskinrill.Answer) ([]byte, error) {
	defer func() { _ = ans.Close() }()
	if ans.Body() == nil {
		return ans.Head().GetBody(), nil
	}
	rst, err := io.ReadAll(ans.Body())
	return append(append([]byte{}, ans.Head().GetBody()...), rst...), err
}

// TestBodies guards against bodies that are altered in transit, at the lengths where the transfer method changes.
func TestBodies(t *testing.T) {
	fix := newFixture(t)
	for name, size := range map[string]int{"empty": 0, "small": 100, "buffered": maxInlineAnswerBody, "streamed": maxInlineAnswerBody + 1, "chunks": maxInlineAnswerBody + 3*chunkSize, "large": 5 << 20} {
		t.Run(name, func(t *testing.T) {
			bdy := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
			ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(upload, bdy))
			must.NoError(t, err)
			got, err := readAnswer(ans)
			must.NoError(t, err)
			must.True(t, bytes.Equal(bdy, got))
		})
	}
}

// TestCalls guards against withdrawals that wait on an unresponsive connection, and transfers above the maximum
// message size.
func TestCalls(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	for _, fault := range []func(){func() {}, fix.rel.blackhole, fix.rel.closeConnections} {
		runAndSleep(fault, 250*time.Millisecond)
		beg := time.Now()
		ans, err := fix.poo.Withdraw(t.Context(), fix.rel.address(), &peerpb.WithdrawRequest{})
		must.NoError(t, err)
		must.Eq(t, peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN, ans.GetResult())
		must.Less(t, 300*time.Millisecond, time.Since(beg))
	}
	req := &peerpb.TransferRequest{}
	for range 500 {
		req.Records = append(req.Records, &peerpb.IdempotencyRecord{Response: &peerpb.Response{Body: make([]byte, 16<<10)}})
	}
	ans, err := fix.poo.Transfer(t.Context(), fix.rel.address(), req)
	must.NoError(t, err)
	must.Eq(t, 500, ans.GetKept())
}

// TestCopies guards against copies that are lost or truncated in transit, and against an answer above the
// maximum message size.
func TestCopies(t *testing.T) {
	fix := newFixture(t)
	cps, err := fix.poo.FetchCopies(t.Context(), fix.rel.address(), &peerpb.FetchCopiesRequest{})
	must.NoError(t, err)
	must.SliceEmpty(t, cps)
	for num := range uint64(500) {
		rec := &peerpb.IdempotencyRecord{Response: &peerpb.Response{Body: make([]byte, 16<<10)}}
		req := &peerpb.StoreCopiesRequest{Copies: []*peerpb.RecordCopy{{Sequence: num, Record: rec}}}
		must.NoError(t, fix.poo.SendCopies(t.Context(), fix.rel.address(), req))
	}
	cps, err = fix.poo.FetchCopies(t.Context(), fix.rel.address(), &peerpb.FetchCopiesRequest{})
	must.NoError(t, err)
	must.Len(t, 500, cps)
	must.Eq(t, 499, cps[499].GetSequence())
	fix.rel.refuseAll()
	must.Error(t, fix.poo.SendCopies(t.Context(), fix.rel.address(), &peerpb.StoreCopiesRequest{}))
	_, err = fix.poo.FetchCopies(t.Context(), fix.rel.address(), &peerpb.FetchCopiesRequest{})
	must.Error(t, err)
}

// TestNotRunProof guards against reporting not_run for an attempt of which a byte may have been written.
func TestNotRunProof(t *testing.T) {
	for written, notRun := range map[uint64]bool{0: true, 1: false} {
		fix := newFixture(t)
		lnk, err := fix.poo.acquire(t.Context(), fix.rel.address())
		must.NoError(t, err)
		must.NoError(t, lnk.socket.Close())
		att := newAttempt(nonIdempotent, nil)
		fwd := &forward{pool: fix.poo, link: lnk, att: att, ctx: t.Context(), writesBefore: lnk.socket.writes.Load() - written}
		_, err = fwd.run(t.Context(), att)
		ref := &siskinrill.Refusal{}
		must.True(t, errors.As(err, &ref))
		must.Eq(t, notRun, ref.NotRun())
	}
}
