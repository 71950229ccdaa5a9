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

// sequenceReader yields its text, then runs a function once, then ends with its error.
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
		rdr.then()
		rdr.then = nil
	}
	return num, rdr.err
}

func (*sequenceReader) Close() error { return nil }

// cutAnswer answers with a head that tells of 100 bytes, a body that ends early, and an error.
func cutAnswer(then func(), err error) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
	return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
		bdy := strings.NewReader(strings.Repeat("x", 2*smallBody))
		hea := &peerpb.Response{Status: 200, BodyLength: 3 * smallBody}
		return siskinrill.NewAnswer(hea, &sequenceReader{Reader: bdy, then: then, err: err}), nil
	}
}

// blocked serves after a signal and tells of its start.
func blocked(started chan<- struct{}, serve <-chan struct{}) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
	return func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		started <- struct{}{}
		<-serve
		return echo(ctx, att)
	}
}

// TestFaults guards against a false proof, an answer that looks complete and a hanging request for each fault of a connection.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		kind    controlpb.RequestKind
		size    int
		warm    bool // a request went over the connection before
		fault   func(fix *fixture)
		owner   func(fix *fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error)
		reason  siskinrill.Reason // empty: served
		notRun  bool
		arrived int32
		event   string
		limit   time.Duration
	}{
		"connection refused": {kind: idempotent, fault: func(fix *fixture) { _ = fix.rel.lis.Close() }, reason: siskinrill.ReasonUnreachable, notRun: true, event: "peer_connect_failed"},
		"cut before the request": {kind: nonIdempotent, warm: true, arrived: 1, fault: func(fix *fixture) {
			fix.rel.cut()
			time.Sleep(50 * time.Millisecond)
		}, event: "peer_connected"},
		"cut before the request, peer gone": {kind: nonIdempotent, warm: true, fault: func(fix *fixture) {
			fix.rel.refuse.Store(true)
			fix.rel.cut()
			time.Sleep(50 * time.Millisecond)
		}, reason: siskinrill.ReasonUnreachable, notRun: true, event: "peer_connect_failed"},
		"cut in the middle of the request": {kind: upload, size: 8 << 20, arrived: 1, owner: func(fix *fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
				_, _ = io.ReadFull(att.Body(), make([]byte, 1<<20))
				fix.rel.cut()
				return echo(ctx, att)
			}
		}, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed"},
		"cut before the answer": {kind: idempotent, arrived: 1, owner: func(fix *fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
				fix.rel.cut()
				return echo(ctx, att)
			}
		}, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed"},
		"cut in the middle of the answer": {kind: idempotent, arrived: 1, owner: func(fix *fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return cutAnswer(func() {
				time.Sleep(20 * time.Millisecond)
				fix.rel.cut()
				time.Sleep(20 * time.Millisecond)
			}, io.EOF)
		}, reason: siskinrill.ReasonConnectionLost, event: "peer_connection_closed"},
		"backend server cut the answer": {kind: idempotent, arrived: 1, owner: func(*fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return cutAnswer(nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, io.EOF))
		}, reason: siskinrill.ReasonBackendBadAnswer},
		"wrong length of a streamed answer": {kind: idempotent, arrived: 1, owner: func(*fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return cutAnswer(nil, io.EOF)
		}, reason: siskinrill.ReasonBackendBadAnswer},
		"wrong length of a small answer": {kind: idempotent, arrived: 1, owner: func(*fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
				return siskinrill.NewAnswer(&peerpb.Response{Status: 200, BodyLength: 3, Body: []byte("xy"), BodyEnd: true}, nil), nil
			}
		}, reason: siskinrill.ReasonBackendBadAnswer},
		"silent connection, non-idempotent": {kind: nonIdempotent, warm: true, arrived: 1, fault: func(fix *fixture) {
			fix.rel.silence()
			time.Sleep(250 * time.Millisecond)
		}, event: "peer_ping_failed", limit: 300 * time.Millisecond},
		"silent before the answer": {kind: nonIdempotent, arrived: 1, owner: func(fix *fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
				fix.rel.silence()
				return echo(ctx, att)
			}
		}, reason: siskinrill.ReasonConnectionLost, event: "peer_ping_failed", limit: 1100 * time.Millisecond},
		"frozen peer": {kind: nonIdempotent, warm: true, fault: func(fix *fixture) {
			fix.rel.silence()
			fix.rel.frozen.Store(true)
			time.Sleep(250 * time.Millisecond)
		}, reason: siskinrill.ReasonUnreachable, notRun: true, event: "peer_connect_failed", limit: 800 * time.Millisecond},
		"frozen peer that returned": {kind: nonIdempotent, warm: true, arrived: 1, fault: func(fix *fixture) {
			fix.rel.silence()
			fix.rel.frozen.Store(true)
			time.Sleep(250 * time.Millisecond)
			_, _ = fix.poo.Forward(context.Background(), fix.rel.address(), newAttempt(nonIdempotent, nil))
			fix.rel.frozen.Store(false)
		}, event: "peer_connect_failed"},
		"refused by the owner": {kind: nonIdempotent, arrived: 1, owner: func(*fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
				return nil, errors.Wrap(siskinrill.NotRun(siskinrill.ReasonQueueFull), "wrapped")
			}
		}, reason: siskinrill.ReasonQueueFull, notRun: true},
		"error without a type": {kind: nonIdempotent, arrived: 1, owner: func(*fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) { return nil, io.EOF }
		}, reason: siskinrill.ReasonInternal},
		"deadline": {kind: nonIdempotent, arrived: 1, owner: func(*fixture) func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
			return func(ctx context.Context, _ *siskinrill.Attempt) (*siskinrill.Answer, error) {
				<-ctx.Done()
				time.Sleep(50 * time.Millisecond)
				return nil, ctx.Err()
			}
		}, reason: siskinrill.ReasonDeadline, limit: 2100 * time.Millisecond},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			if cse.warm {
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
				_, err = content(ans)
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
				must.StrContains(t, fix.cnt.Vars()["events"].String(), cse.event)
			}
			if cse.limit > 0 {
				must.LessEq(t, cse.limit, took)
			}
		})
	}
}

// TestLateAnswer guards against the answer of an abandoned attempt that reaches the next request.
func TestLateAnswer(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	started, serve := make(chan struct{}, 1), make(chan struct{})
	fix.own.handle = blocked(started, serve)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := fix.poo.Forward(ctx, fix.rel.address(), newAttempt(idempotent, []byte("first")))
	must.ErrorContains(t, err, string(siskinrill.ReasonCallerGone))
	close(serve)
	ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, []byte("second")))
	must.NoError(t, err)
	got, err := content(ans)
	must.NoError(t, err)
	must.Eq(t, "second", string(got))
}

// twice answers each attempt two times.
type twice struct {
	peerpb.UnimplementedPeerServiceServer
}

func (twice) Forward(str peerpb.PeerService_ForwardServer) error {
	msg, err := str.Recv()
	if err != nil {
		return err
	}
	bdy := msg.GetOpen().GetBody()
	rsp := &peerpb.OwnerMessage{Kind: &peerpb.OwnerMessage_Response{Response: &peerpb.Response{Status: 200, BodyLength: int64(len(bdy)), Body: bdy, BodyEnd: true}}}
	_ = str.Send(rsp)
	return str.Send(rsp)
}

// TestDuplicateAnswer guards against a second answer that reaches the next request.
func TestDuplicateAnswer(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	adr := serve(t, func(gsv *grpc.Server) { peerpb.RegisterPeerServiceServer(gsv, twice{}) })
	for _, txt := range []string{"first", "second", "third"} {
		ans, err := fix.poo.Forward(t.Context(), adr, newAttempt(idempotent, []byte(txt)))
		must.NoError(t, err)
		must.Eq(t, txt, string(ans.Head().GetBody()))
	}
}

// TestRefusedUpload guards against an upload that can't be retried because a refused attempt has read its body.
func TestRefusedUpload(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	fix.own.handle = func(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
		return nil, siskinrill.NotRun(siskinrill.ReasonMoving).WithVersion(9).WithRetryAfter(2 * time.Second)
	}
	bdy := bytes.NewReader(make([]byte, 1<<20))
	opn := newAttempt(upload, make([]byte, 2*smallBody)).Open()
	_, err := fix.poo.Forward(t.Context(), fix.rel.address(), siskinrill.NewAttempt(opn, bdy))
	ref := &siskinrill.Refusal{}
	must.True(t, errors.As(err, &ref))
	must.Eq(t, 9, ref.Version())
	must.Eq(t, 2*time.Second, ref.RetryAfter())
	must.Eq(t, 1<<20, bdy.Len())
}

// TestCutUpload guards against an owner that takes a body for complete whose caller broke off.
func TestCutUpload(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]error{"unexpected end": io.ErrUnexpectedEOF, "wrapped end": siskinrill.Unknown(siskinrill.ReasonCallerGone, io.EOF), "too short": io.EOF} {
		t.Run(name, func(t *testing.T) {
			fix := newFixture(t)
			seen := make(chan error, 1)
			fix.own.handle = func(_ context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
				_, err := io.ReadAll(att.Body())
				seen <- err
				return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, err)
			}
			opn := newAttempt(upload, make([]byte, 4*smallBody)).Open()
			bdy := &sequenceReader{Reader: strings.NewReader("short"), err: cut}
			_, err := fix.poo.Forward(t.Context(), fix.rel.address(), siskinrill.NewAttempt(opn, bdy))
			must.Error(t, err)
			must.Error(t, <-seen)
		})
	}
}

// TestBrokenVariants guards against tests that cannot see the faults they are for.
func TestBrokenVariants(t *testing.T) {
	t.Parallel()
	end := func(brk bool) error {
		fix := newFixture(t)
		fix.srv.hooks.skipEnd = true
		fix.poo.hooks.skipEnd = brk
		fix.own.handle = cutAnswer(nil, io.EOF)
		ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
		must.NoError(t, err)
		_, err = content(ans)
		return err
	}
	must.Error(t, end(false))
	must.NoError(t, end(true))
	ping := func(brk bool) error {
		fix := newFixture(t)
		fix.poo.hooks.skipPing = brk
		_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(nonIdempotent, nil))
		must.NoError(t, err)
		fix.rel.silence()
		time.Sleep(250 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = fix.poo.Forward(ctx, fix.rel.address(), newAttempt(nonIdempotent, nil))
		return err
	}
	must.NoError(t, ping(false))
	must.Error(t, ping(true))
}
