package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/peer"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// TestRefusals guards against requests that are run though they must be refused, and refusals of a wrong form.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change func(fix *fixture, req *http.Request)
		method string
		path   string
		body   int
		status int
		reason string
		retry  string
	}{
		"no route":           {method: "GET", path: "/nowhere", status: 404, reason: "no_route"},
		"method not allowed": {method: "DELETE", path: "/orders/r1", status: 405, reason: "method_not_allowed"},
		"long key":           {method: "GET", path: "/orders/" + strings.Repeat("k", 257), status: 400, reason: "bad_request"},
		"bad deadline":       {method: "GET", status: 400, reason: "bad_request", change: func(_ *fixture, req *http.Request) { req.Header.Set(siskinrill.HeaderTimeout, "soon") }},
		"negative deadline":  {method: "GET", status: 400, reason: "bad_request", change: func(_ *fixture, req *http.Request) { req.Header.Set(siskinrill.HeaderTimeout, "-1s") }},
		"long idempotency key": {method: "POST", status: 400, reason: "bad_request", change: func(_ *fixture, req *http.Request) {
			req.Header.Set(siskinrill.HeaderIdempotencyKey, strings.Repeat("k", 257))
		}},
		"large body":            {method: "PUT", body: 1<<20 + 1, status: 413, reason: "body_too_large"},
		"cut body":              {method: "PUT", status: 400, reason: "bad_request", change: func(_ *fixture, req *http.Request) { req.ContentLength = 10 }},
		"not fresh":             {method: "GET", status: 503, reason: "no_lease", retry: "1", change: func(fix *fixture, _ *http.Request) { fix.ses.stale = true }},
		"shed":                  {method: "POST", status: 503, reason: "backend_shed", retry: "1", change: refusing(siskinrill.ReasonBackendShed)},
		"records full":          {method: "POST", status: 503, reason: "records_full", retry: "1", change: refusing(siskinrill.ReasonRecordsFull)},
		"idempotency key again": {method: "POST", status: 422, reason: "idempotency_key_reused", change: refusing(siskinrill.ReasonIdempotencyKeyReused)},
		"outstanding limit":     {method: "GET", status: 429, reason: "outstanding_limit", retry: "1", change: func(fix *fixture, _ *http.Request) { fix.han.outstanding.counts[1] = defaultOutstanding }},
		"owner is gone":         {method: "GET", status: 503, reason: "no_owner", retry: "1", change: func(fix *fixture, _ *http.Request) { delete(fix.ses.nodes, 1) }},
		"own timeout": {method: "GET", status: 504, reason: "deadline", change: func(fix *fixture, req *http.Request) {
			req.Header.Set(siskinrill.HeaderTimeout, "1s")
			delete(fix.ses.nodes, 1)
		}},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fix := newFixture()
				req := newRequest(cse.method, "r1", make([]byte, cse.body))
				if cse.path != "" {
					req.URL.Path = cse.path
				}
				if cse.change != nil {
					cse.change(fix, req)
				}
				tld := fix.ask(req)
				must.Eq(t, cse.status, tld.status)
				must.Eq(t, "not_run", tld.outcome)
				must.Eq(t, 0, fix.own.runs["r1"])
				must.Eq(t, "1", fix.count("refusals", cse.reason))
				must.Eq(t, "application/problem+json", tld.header.Get("Content-Type"))
				must.Eq(t, cse.retry, tld.header.Get("Retry-After"))
				var prb problem
				must.NoError(t, json.Unmarshal([]byte(tld.body), &prb))
				must.Eq(t, cse.reason, prb.Reason)
				must.Eq(t, cse.status, prb.Status)
				must.Eq(t, "urn:siskinrill:problem:"+cse.reason, prb.Type)
				if cse.status == http.StatusMethodNotAllowed {
					must.Eq(t, []string{"GET", "POST", "PUT"}, tld.header["Allow"])
				}
			})
		})
	}
}

func refusing(rsn siskinrill.Reason) func(*fixture, *http.Request) {
	return func(fix *fixture, _ *http.Request) { fix.own.script["r1"] = []fault{{refuse: rsn}} }
}

// TestHeaders guards against headers of one connection that are passed on, and fencing tokens that a caller makes up.
func TestHeaders(t *testing.T) {
	hdr := http.Header{
		"Connection": {"x-private, keep-alive"}, "X-Private": {"1"}, "Keep-Alive": {"1"}, "Te": {"trailers"}, "Expect": {"100-continue"},
		"Siskinrill-Fence-Token": {"9"}, "X-Request-Id": {"r1"}, "Accept": {"a", "b"}, "Idempotency-Key": {"i"},
	}
	got := map[string][]string{}
	for _, fld := range outward(hdr) {
		got[fld.GetName()] = fld.GetValues()
	}
	must.Eq(t, map[string][]string{"X-Request-Id": {"r1"}, "Accept": {"a", "b"}, "Idempotency-Key": {"i"}}, got)
	back := http.Header{}
	inward(back, []*peerpb.HeaderField{
		{Name: "connection", Values: []string{"x-private"}},
		{Name: "x-private", Values: []string{"1"}},
		{Name: "Content-Length", Values: []string{"7"}},
		{Name: "set-cookie", Values: []string{"a", "b"}},
		{Name: "Siskinrill-Upstream", Values: []string{"u"}},
	})
	must.Eq(t, http.Header{"Set-Cookie": {"a", "b"}, "Siskinrill-Upstream": {"u"}}, back)
}

// TestHedge guards against a hedge that waits for the slow attempt, exceeds the attempts or leaves one behind.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fix := newFixture()
		fix.ses.service = &controlpb.Service{Name: "checkout", HedgeAfterMs: 50}
		fix.own.script["r1"] = []fault{{busy: time.Second}}
		tld := fix.ask(newRequest("GET", "r1", nil))
		must.Eq(t, 200, tld.status)
		must.Eq(t, 50*time.Millisecond, tld.took)
		must.Eq(t, "1", fix.count("events", "hedge"))
		fix.own.script["r2"] = []fault{{busy: time.Second}}
		tld = fix.ask(newRequest("POST", "r2", nil))
		must.Eq(t, time.Second, tld.took)
	})
}

// TestBudget guards against retries that multiply the load of a failing service.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fix := newFixture()
		for range 1000 {
			fix.own.script["r1"] = []fault{{lost: true}, {lost: true}, {lost: true}}
			must.Eq(t, 502, fix.ask(newRequest("GET", "r1", nil)).status)
		}
		runs := fix.own.runs["r1"]
		// 10% of 1,000 requests and the 10 of the first second.
		must.Between(t, 1100, runs, 1111)
		must.NotEq(t, "0", fix.count("events", "retry_budget"))
		time.Sleep(time.Second)
		fix.own.script["r1"] = []fault{{lost: true}, {lost: true}}
		must.Eq(t, 200, fix.ask(newRequest("GET", "r1", nil)).status)
	})
}

// TestCallerGone guards against a non-idempotent request that is cut off while it runs, or runs though its caller left the queue.
func TestCallerGone(t *testing.T) {
	cases := map[string]struct {
		flt  fault
		runs int
	}{
		"running": {fault{busy: time.Second}, 1},
		"queued":  {fault{queued: time.Second}, 0},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fix := newFixture()
				fix.own.script["r1"] = []fault{cse.flt}
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(500*time.Millisecond, cancel)
				tld := fix.ask(newRequest("POST", "r1", nil).WithContext(ctx))
				must.Eq(t, time.Second, tld.took)
				must.Eq(t, cse.runs, fix.own.runs["r1"])
				must.Eq(t, "1", fix.count("events", "caller_gone"))
			})
		})
	}
}

// scripted is an owner that answers by a function.
type scripted struct {
	localOwner
	handle func(att *siskinrill.Attempt) (*siskinrill.Answer, error)
}

func (own scripted) Handle(_ context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	return own.handle(att)
}

// newStack returns the address of a handler for callers whose owner is behind gRPC.
func newStack(t *testing.T, handle func(att *siskinrill.Attempt) (*siskinrill.Answer, error)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	gsv := grpc.NewServer(peer.ServerOptions()...)
	ses := newFakeSession()
	peer.NewServer(scripted{localOwner{newFakeOwners(ses)}, handle}, nil).Register(gsv)
	go func() { _ = gsv.Serve(lis) }()
	t.Cleanup(gsv.Stop)
	poo := peer.NewPool(peer.Options{})
	t.Cleanup(poo.Close)
	ses.nodes[1].PeerAddress = lis.Addr().String()
	srv := httptest.NewServer(New(Options{}, ses, poo, nil, siskinrill.NewCounters()))
	t.Cleanup(srv.Close)
	return srv.URL
}

// TestStackBodies guards against bodies that change between a caller and an owner, and refused uploads that are not sent again.
func TestStackBodies(t *testing.T) {
	refused := map[string]bool{}
	url := newStack(t, func(att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		if !refused[att.Open().GetKey()] {
			refused[att.Open().GetKey()] = true
			return nil, siskinrill.NotRun(siskinrill.ReasonBackendUnreachable)
		}
		bdy := io.MultiReader(bytes.NewReader(att.Open().GetBody()))
		if att.Body() != nil {
			bdy = io.MultiReader(bdy, att.Body())
		}
		return siskinrill.NewAnswer(&peerpb.Response{Status: 201, BodyLength: -1}, io.NopCloser(bdy)), nil
	})
	for name, size := range map[string]int{"empty": 0, "held": heldBody, "streamed": heldBody + 1, "large": 1 << 20} {
		for _, length := range []int64{int64(size), -1} {
			sent := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
			req, err := http.NewRequest("PUT", url+"/orders/"+name, bytes.NewReader(sent))
			must.NoError(t, err)
			req.ContentLength = length
			rsp, err := http.DefaultClient.Do(req)
			must.NoError(t, err)
			got, err := io.ReadAll(rsp.Body)
			must.NoError(t, err, must.Sprint(name, length, len(got), rsp.StatusCode, rsp.Header))
			must.Eq(t, 201, rsp.StatusCode, must.Sprint(string(got[:min(len(got), 200)])))
			must.Eq(t, "complete", rsp.Header.Get(siskinrill.HeaderOutcome))
			must.True(t, bytes.Equal(sent, got))
		}
	}
}

// TestStackCut guards against an answer that was cut and looks complete to an HTTP client.
func TestStackCut(t *testing.T) {
	for name, length := range map[string]int64{"known length": 3 << 20, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			url := newStack(t, func(*siskinrill.Attempt) (*siskinrill.Answer, error) {
				bdy := io.MultiReader(bytes.NewReader(make([]byte, 1<<20)), cutBody{})
				return siskinrill.NewAnswer(&peerpb.Response{Status: 200, BodyLength: length}, io.NopCloser(bdy)), nil
			})
			rsp, err := http.Get(url + "/orders/r1")
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, rsp.Body)
			must.Error(t, err)
		})
	}
}

// TestStackStalledUpload guards against an upload that stalls for ever, and against the rest of a body that is taken for a request.
func TestStackStalledUpload(t *testing.T) {
	for name, size := range map[string]int{"held part": 10 << 10, "streamed part": 100 << 10} {
		t.Run(name, func(t *testing.T) {
			url := newStack(t, func(att *siskinrill.Attempt) (*siskinrill.Answer, error) {
				_, err := io.Copy(io.Discard, att.Body())
				return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, err)
			})
			con, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			must.NoError(t, err)
			defer func() { _ = con.Close() }()
			_, _ = fmt.Fprintf(con, "PUT /orders/r1 HTTP/1.1\r\nHost: x\r\nContent-Length: 204800\r\nSiskinrill-Timeout: 200ms\r\n\r\n%s", make([]byte, size))
			beg := time.Now()
			rdr := bufio.NewReader(con)
			rsp, err := http.ReadResponse(rdr, nil)
			must.NoError(t, err)
			must.Eq(t, http.StatusGatewayTimeout, rsp.StatusCode)
			must.Less(t, time.Second, time.Since(beg))
			_, _ = io.Copy(io.Discard, rsp.Body)
			_, _ = io.WriteString(con, "GET /orders/r2 HTTP/1.1\r\nHost: x\r\n\r\n")
			_, err = http.ReadResponse(rdr, nil)
			must.Error(t, err)
		})
	}
}
