package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// longAttempt is an idempotent attempt with time for long work.
func longAttempt(num uint64) *siskinrill.Attempt {
	return siskinrill.NewAttempt(&peerpb.Open{
		Attempt: &peerpb.AttemptId{EntrySession: 9, Counter: num}, Service: "checkout", Method: "GET", Target: "/orders/o1",
		Kind: uint32(controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT), TimeoutMs: 20_000, BodyEnd: true,
	}, nil)
}

// TestWorkOfLeavingServerCut guards against requests that are cut while a server works on them that has left as announced, by either
// way, and sends no announcements any more; its health path answers nothing, since all of its slots are in use.
func TestWorkOfLeavingServerCut(t *testing.T) {
	const work = 7 * time.Second
	for name, leave := range map[string]func(cli *backend.Client, announce func(leaving bool)){
		"deregistered": func(cli *backend.Client, _ func(bool)) { _ = cli.MarkLeaving(context.Background(), "one", 0) },
		"announced":    func(_ *backend.Client, announce func(bool)) { announce(true) },
		"announced and deregistered": func(cli *backend.Client, announce func(bool)) {
			announce(true)
			_ = cli.MarkLeaving(context.Background(), "one", 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
				select {
				case <-time.After(work):
				case <-req.Context().Done():
				}
				_, _ = io.WriteString(wri, "whole")
			}))
			t.Cleanup(srv.Close)
			cli := newLeavingClient(t)
			var sequence atomic.Uint64
			announce := func(leaving bool) { announceOne(t, cli, srv.URL, sequence.Add(1), leaving) }
			announce(false)
			go func() { _ = cli.Run(t.Context()) }()
			done := make(chan error, 4)
			for num := range uint64(cap(done)) {
				go func() {
					_, err := cli.Do(t.Context(), longAttempt(num), grant())
					done <- err
				}()
			}
			time.Sleep(200 * time.Millisecond)
			leave(cli, announce)
			for range cap(done) {
				must.NoError(t, <-done)
			}
			must.Eq(t, controlpb.UpstreamState_UPSTREAM_STATE_DRAINING, cli.State())
		})
	}
}

// TestDeadServerWhileLeaving guards against a server that dies while it is leaving and whose requests wait for it until their deadlines.
func TestDeadServerWhileLeaving(t *testing.T) {
	const within = 4 * time.Second
	for name, unreachable := range map[string]error{"port refuses": nil, "host is silent": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			var dead atomic.Bool
			accepted := make(chan net.Conn, 8) // these connections stay open and silent until the server's process ends
			go func() {
				for {
					con, err := lis.Accept()
					if err != nil {
						return
					}
					accepted <- con
				}
			}()
			cli := newLeavingClient(t, func(opt *backend.Options) {
				opt.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if dead.Load() && unreachable != nil {
						return nil, unreachable
					}
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			})
			announceOne(t, cli, "http://"+lis.Addr().String(), 1, false)
			go func() { _ = cli.Run(t.Context()) }()
			done := make(chan error, 1)
			go func() {
				_, err := cli.Do(t.Context(), longAttempt(1), grant())
				done <- err
			}()
			time.Sleep(200 * time.Millisecond)
			_ = cli.MarkLeaving(context.Background(), "one", 0)
			must.NoError(t, lis.Close())
			if unreachable == nil {
				must.NoError(t, (<-accepted).Close()) // the end of a process ends its connections
			}
			dead.Store(true)
			select {
			case err := <-done:
				must.Error(t, err)
			case <-time.After(within):
				t.Fatalf("the request still waits after %s", within)
			}
			for end := time.Now().Add(within); cli.State() != controlpb.UpstreamState_UPSTREAM_STATE_FAILED; time.Sleep(10 * time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprint("the end of the server is not noticed"))
			}
		})
	}
}

func newLeavingClient(_ *testing.T, adjust ...func(*backend.Options)) *backend.Client {
	opt := backend.Options{Service: func(string) *controlpb.Service { return &controlpb.Service{Name: "checkout", HealthPath: "/health"} }}
	for _, adj := range adjust {
		adj(&opt)
	}
	return backend.New(opt, siskinrill.NewCounters())
}

func announceOne(t *testing.T, cli *backend.Client, url string, sequence uint64, leaving bool) {
	_, err := cli.Announce(t.Context(), &backend.Announcement{
		ID: "one", Service: "checkout", URL: url, Slots: 8, Connections: 8, Incarnation: 1, Sequence: sequence, Leaving: leaving,
	})
	must.NoError(t, err)
}
