package backend_test

import (
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// pair is a client connected to a stand-in backend server over loopback.
type pair struct {
	agent string // IP:port of the listener for announcements
	cli   *backend.Client
	cnt   *siskinrill.Counters
	srv   *standin.Server
}

func newPair(t *testing.T, opt standin.Options, bop backend.Options) *pair {
	t.Helper()
	pai := &pair{cnt: siskinrill.NewCounters()}
	pai.cli = backend.New(bop, pai.cnt)
	agt := httptest.NewServer(pai.cli.Handler())
	opt.ID, opt.Service = "checkout-1", "checkout"
	opt.Agent = strings.TrimPrefix(agt.URL, "http://")
	pai.agent = opt.Agent
	srv, err := standin.New(opt)
	must.NoError(t, err)
	pai.srv = srv
	t.Cleanup(func() { srv.Close(); agt.Close() })
	go func() { _ = srv.Run(t.Context()) }()
	go func() { _ = pai.cli.Run(t.Context()) }()
	pai.await(t, controlpb.UpstreamState_UPSTREAM_STATE_SERVING, 2*time.Second)
	return pai
}

// await waits until the client has the server in a state.
func (pai *pair) await(t *testing.T, sta controlpb.UpstreamState, limit time.Duration) {
	t.Helper()
	for end := time.Now().Add(limit); pai.cli.State() != sta; time.Sleep(5 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("state %v after %v, want %v", pai.cli.State(), limit, sta))
	}
}

func attempt(num uint64) *siskinrill.Attempt {
	return siskinrill.NewAttempt(&peerpb.Open{
		Attempt: &peerpb.AttemptId{EntrySession: 9, Counter: num}, Service: "checkout", Key: "o1", Method: "POST", Target: "/orders/o1/payment?size=10",
		Kind: uint32(controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT), TimeoutMs: 400, Body: []byte("paid"), BodyLength: 4, BodyEnd: true,
		Headers: []*peerpb.HeaderField{{Name: "X-Request-Id", Values: []string{"r1"}}},
	}, nil)
}

func grant() siskinrill.Grant {
	return siskinrill.NewGrant(&controlpb.ShardRef{Service: "checkout", Partition: 3, Token: 71}, time.Now().Add(time.Minute))
}

// TestAnswer guards against changing a request or an answer in transit.
func TestAnswer(t *testing.T) {
	pai := newPair(t, standin.Options{CheckFence: true}, backend.Options{})
	must.NoError(t, pai.cli.ReportGrants(t.Context(), []*controlpb.ShardRef{grant().Shard()}, nil))
	must.Eq(t, map[string]uint64{"checkout/3": 71}, pai.srv.Granted())
	ans, err := pai.cli.Do(t.Context(), attempt(1), grant())
	must.NoError(t, err)
	must.Eq(t, 200, ans.Head().GetStatus())
	must.StrContains(t, string(ans.Head().GetBody()), `"request_id":"r1"`)
	rows := pai.srv.Ledger(0, 10)
	must.Len(t, 1, rows)
	must.Eq(t, []any{"9-1", uint64(71), int64(4), "o1"}, []any{rows[0].Attempt, rows[0].FenceToken, rows[0].BodyBytes, rows[0].Key})
}

// TestFrozenServer guards against a second owner while a frozen server may still start pending requests when
// it resumes, and against withholding the keys of a server that has terminated or that checks tokens.
func TestFrozenServer(t *testing.T) {
	for name, checks := range map[string]bool{"checks tokens": true, "checks nothing": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var reported atomic.Int32
			bop := backend.Options{OnUpstream: func(ups *controlpb.Upstream) { reported.Store(int32(ups.GetState())) }}
			pai := newPair(t, standin.Options{CheckFence: checks}, bop)
			must.NoError(t, pai.srv.SetFaults(standin.Faults{Frozen: true}))
			go func() { _, _ = pai.cli.Do(t.Context(), attempt(1), grant()) }()
			failed := int32(controlpb.UpstreamState_UPSTREAM_STATE_FAILED)
			pai.await(t, controlpb.UpstreamState_UPSTREAM_STATE_FAILED, 20*time.Second)
			time.Sleep(time.Second)
			must.Eq(t, checks, reported.Load() == failed)
			pai.srv.Close()
			for end := time.Now().Add(time.Second); reported.Load() != failed; time.Sleep(5 * time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprint("the termination of the server was not reported"))
			}
		})
	}
}

// TestColdStandin guards against a cold server whose announcements or answers of its health path the agent does not
// understand.
func TestColdStandin(t *testing.T) {
	svc := &controlpb.Service{Name: "checkout", ColdMs: 60000, ColdRate: 12}
	pai := newPair(t, standin.Options{ColdRate: 12, ColdTime: 100 * time.Millisecond}, backend.Options{
		Service: func(string) *controlpb.Service { return svc },
	})
	await := func(cold bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); pai.cli.StartLimit().Limited != cold; time.Sleep(5 * time.Millisecond) {
			must.True(t, time.Now().Before(end), must.Sprint("cold: ", !cold))
		}
	}
	await(false)
	pai.srv.BecomeCold(3 * time.Second) // longer than an idle server is not asked
	await(true)
	must.Eq(t, 12.0, pai.cli.StartLimit().PerSecond)
	await(false)
}
