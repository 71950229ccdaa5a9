package http_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill"
	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// member is a fake control process; the one whose address is stored in leader leads.
type member struct {
	controlpb.UnimplementedOperatorServiceServer
	address      string
	leader       *atomic.Pointer[string]
	unresponsive atomic.Bool // does not answer, like an isolated process
	calls        atomic.Int64
}

func (mem *member) redirect(ctx context.Context) error {
	mem.calls.Add(1)
	if mem.unresponsive.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	ldr := *mem.leader.Load()
	if ldr == mem.address {
		return nil
	}
	sta, err := status.New(codes.FailedPrecondition, "leader="+ldr).WithDetails(&controlpb.Redirect{LeaderAddress: ldr})
	if err != nil {
		return err
	}
	return sta.Err()
}

func (mem *member) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusAnswer, error) {
	return &controlpb.StatusAnswer{ClusterId: mem.address}, mem.redirect(ctx)
}

func (mem *member) Owner(ctx context.Context, req *controlpb.OwnerRequest) (*controlpb.OwnerAnswer, error) {
	if err := mem.redirect(ctx); err != nil {
		return nil, err
	}
	return nil, status.Error(codes.NotFound, "unknown_service: "+req.GetService())
}

func (mem *member) Apply(ctx context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyAnswer, error) {
	rec := &controlpb.ChangeRecord{Number: req.GetConfiguration().GetNumber(), Accepted: req.GetChangeId() == "good", Reason: "number_taken"}
	return &controlpb.ApplyAnswer{Record: rec}, mem.redirect(ctx)
}

func (mem *member) Release(ctx context.Context, req *controlpb.ReleaseRequest) (*controlpb.ReleaseAnswer, error) {
	return &controlpb.ReleaseAnswer{Known: req.GetRequest() == 0xc0ffee}, mem.redirect(ctx)
}

func (mem *member) DrainZone(ctx context.Context, req *controlpb.DrainZoneRequest) (*controlpb.DrainZoneAnswer, error) {
	return &controlpb.DrainZoneAnswer{Zone: &controlpb.ZoneStatus{Zone: req.GetZone(), Drained: !req.GetUndo()}}, mem.redirect(ctx)
}

func (mem *member) ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error) {
	if err := mem.redirect(ctx); err != nil {
		return nil, err
	}
	if req.GetName() == "lost" {
		return nil, status.Error(codes.Unavailable, "outcome unknown: x")
	}
	return nil, status.Error(codes.FailedPrecondition, "there is no such member; the leader knows")
}

func newMember(t *testing.T, ldr *atomic.Pointer[string]) *member {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	mem := &member{address: lis.Addr().String(), leader: ldr}
	srv := grpc.NewServer()
	controlpb.RegisterOperatorServiceServer(srv, mem)
	go func() { _ = srv.Serve(lis) }()
	t.Cleanup(srv.Stop)
	return mem
}

// TestFindsLeader guards against an answer taken from a process that does not lead, and against a search
// that an isolated or failed process blocks.
func TestFindsLeader(t *testing.T) {
	var ldr atomic.Pointer[string]
	one, two, tre := newMember(t, &ldr), newMember(t, &ldr), newMember(t, &ldr)
	opr := adminhttp.NewOperator("127.0.0.1:1", one.address, two.address)
	t.Cleanup(opr.Close)
	expect := func(mem *member) {
		t.Helper()
		ans, err := opr.Status(t.Context())
		must.NoError(t, err)
		must.Eq(t, mem.address, ans.GetClusterId())
	}
	ldr.Store(&two.address)
	expect(two)
	cnt := one.calls.Load()
	expect(two)
	must.Eq(t, cnt, one.calls.Load(), must.Sprint("the known leader was not called first"))
	ldr.Store(&tre.address)
	expect(tre)
	tre.unresponsive.Store(true)
	ldr.Store(&one.address)
	expect(one)
	none := ""
	ldr.Store(&none)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := opr.Status(ctx)
	must.ErrorContains(t, err, "no control leader answered; the last answer was 127.0.0.1:")
	time.AfterFunc(200*time.Millisecond, func() { ldr.Store(&two.address) })
	expect(two)
}

// newServer starts an admin API in front of one fake control process.
func newServer(t *testing.T, opt adminhttp.Options) *httptest.Server {
	t.Helper()
	var ldr atomic.Pointer[string]
	mem := newMember(t, &ldr)
	ldr.Store(&mem.address)
	opt.Operator = adminhttp.NewOperator(mem.address)
	t.Cleanup(opt.Operator.Close)
	srv := httptest.NewServer(adminhttp.New(opt))
	t.Cleanup(srv.Close)
	return srv
}

// TestRequests guards against serving requests that lack the token, come from web pages or are malformed,
// and against errors without a reason.
func TestRequests(t *testing.T) {
	cnt := siskinrill.NewCounters()
	cnt.Refused(siskinrill.ReasonQueueFull)
	srv := newServer(t, adminhttp.Options{Token: "secret", Counters: cnt, Ready: func() error { return errors.New("no lease") }})
	for nam, tcs := range map[string]struct {
		method, path, token, typ, body string
		status                         int
		want                           string
	}{
		"no token":        {"GET", "/v1/status", "", "", "", 401, `"reason":"unauthorized"`},
		"wrong token":     {"GET", "/debug/vars", "Bearer secre", "", "", 401, `"reason":"unauthorized"`},
		"basic auth":      {"GET", "/v1/status", "Basic secret", "", "", 401, `"reason":"unauthorized"`},
		"token":           {"GET", "/v1/status", "Bearer secret", "", "", 200, `"cluster_id"`},
		"web page":        {"POST", "/v1/drain", "Bearer secret", "text/plain", `{"upstream":"a"}`, 415, `"reason":"unsupported_media_type"`},
		"unknown field":   {"POST", "/v1/drain", "Bearer secret", "application/json", `{"upstreem":"a"}`, 400, `"reason":"bad_request"`},
		"not JSON":        {"POST", "/v1/config", "Bearer secret", "application/json", `x`, 400, `"reason":"bad_request"`},
		"accepted":        {"POST", "/v1/config", "Bearer secret", "application/json", `{"change_id":"good"}`, 200, `"accepted":`},
		"refused":         {"POST", "/v1/config", "Bearer secret", "application/json", `{"change_id":"bad"}`, 409, `"number_taken"`},
		"no key":          {"GET", "/v1/owner?service=a", "Bearer secret", "", "", 400, `"reason":"bad_request"`},
		"unknown service": {"GET", "/v1/owner?service=a&key=b", "Bearer secret", "", "", 404, `"detail":"unknown_service: a"`},
		"drain a zone":    {"POST", "/v1/zones/a%2Fb/drain", "Bearer secret", "application/json", "", 200, `"a/b"`},
		"bad zone":        {"POST", "/v1/zones/%ff/drain", "Bearer secret", "application/json", "", 400, `"reason":"bad_request"`},
		"zone by a page":  {"POST", "/v1/zones/a/drain", "Bearer secret", "", "", 415, `"reason":"unsupported_media_type"`},
		"not implemented": {"POST", "/v1/drain", "Bearer secret", "application/json", `{}`, 500, `"reason":"internal"`},
		"no member":       {"POST", "/v1/members", "Bearer secret", "application/json", `{}`, 409, `"reason":"conflict"`},
		"outcome unknown": {"POST", "/v1/members", "Bearer secret", "application/json", `{"name":"lost"}`, 503, `"detail":"outcome unknown: x"`},
		"not ready":       {"GET", "/v1/ready", "Bearer secret", "", "", 503, `"reason":"no lease"`},
		"counters":        {"GET", "/debug/vars", "Bearer secret", "", "", 200, `"refusals": {"queue_full": 1}`},
		"unknown path":    {"GET", "/v2/status", "Bearer secret", "", "", 404, ""},
	} {
		t.Run(nam, func(t *testing.T) {
			req, err := http.NewRequest(tcs.method, srv.URL+tcs.path, strings.NewReader(tcs.body))
			must.NoError(t, err)
			req.Header.Set("Content-Type", tcs.typ)
			req.Header.Set("Authorization", tcs.token)
			res, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			defer func() { _ = res.Body.Close() }()
			dat, err := io.ReadAll(res.Body)
			must.NoError(t, err)
			must.Eq(t, tcs.status, res.StatusCode, must.Sprint(string(dat)))
			must.StrContains(t, string(dat), tcs.want)
			if tcs.path == "/debug/vars" {
				must.True(t, json.Valid(dat))
			}
		})
	}
}

// TestClient guards against a client that omits the token, the reason of a refusal, or the answer to a refused change.
func TestClient(t *testing.T) {
	srv := newServer(t, adminhttp.Options{Token: "secret"})
	adr := strings.TrimPrefix(srv.URL, "http://")
	var rfe *adminhttp.RefusedError
	_, err := adminhttp.NewClient(adr, "").Status(t.Context())
	must.ErrorAs[*adminhttp.RefusedError](t, err, &rfe)
	must.Eq(t, http.StatusUnauthorized, rfe.Code())
	cli := adminhttp.NewClient(adr, "secret")
	_, err = cli.Owner(t.Context(), "a&b", "c d")
	must.ErrorContains(t, err, "not_found: unknown_service: a&b")
	ans, err := cli.Apply(t.Context(), &controlpb.ApplyRequest{ChangeId: "bad"})
	must.NoError(t, err)
	must.Eq(t, "number_taken", ans.GetRecord().GetReason())
	for _, undo := range []bool{false, true} {
		drn, err := cli.DrainZone(t.Context(), "north 1/2", undo)
		must.NoError(t, err)
		must.Eq(t, "north 1/2", drn.GetZone().GetZone())
		must.Eq(t, !undo, drn.GetZone().GetDrained())
	}
	for fpr, known := range map[uint64]bool{0xc0ffee: true, 1: false} {
		rel, err := cli.Release(t.Context(), fpr)
		must.NoError(t, err)
		must.Eq(t, known, rel.GetKnown())
	}
	rdy, err := cli.Ready(t.Context())
	must.NoError(t, err)
	must.True(t, rdy.Ready)
}
