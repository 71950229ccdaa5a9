package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// heartbeatAgent is an agent whose server holds its keys by the answers to its announcements.
type heartbeatAgent struct {
	cli  *backend.Client
	addr string
	last atomic.Pointer[backend.Announcement]
}

func newHeartbeatAgent(t *testing.T, rows ...*controlpb.Shard) *heartbeatAgent {
	agt := &heartbeatAgent{cli: newClient(t, controlpb.Carrier_CARRIER_HEARTBEAT, rows...)}
	hdl := agt.cli.Handler()
	web := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		buf, _ := io.ReadAll(req.Body)
		ann := &backend.Announcement{}
		_ = json.Unmarshal(buf, ann)
		agt.last.Store(ann)
		req.Body = io.NopCloser(bytes.NewReader(buf))
		hdl.ServeHTTP(wri, req)
	}))
	agt.addr = web.Listener.Addr().String()
	t.Cleanup(web.Close)
	return agt
}

// await waits until a condition holds, for 2 s at most.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
}

// TestKeysByHeartbeats guards against a stand-in that serves keys which an answer has left out, that announces a key as released while a
// request for it runs, or that cannot keep single keys, and against an agent that gives such a key away.
func TestKeysByHeartbeats(t *testing.T) {
	for name, tcs := range map[string]struct {
		single bool
		kept   []backend.HeldRange // while a request for key 7 runs
	}{
		"single keys":  {single: true, kept: []backend.HeldRange{{First: 7, Last: 7, Token: 5}, {First: 4096, Last: 8191, Token: 5}}},
		"whole ranges": {kept: []backend.HeldRange{{First: 0, Last: 8191, Token: 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			rows := []*controlpb.Shard{ownedRow(0), ownedRow(1)}
			agt := newHeartbeatAgent(t, rows...)
			srv := newServer(t, standin.Options{HeartbeatHolds: true, KeepsSingleKeys: tcs.single, Median: 2500 * time.Millisecond, Agent: agt.addr})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			await(t, agt.cli.HoldsKeys)
			must.True(t, agt.cli.AwaitHold(ctx, rows[0]))
			time.Sleep(100 * time.Millisecond) // until the server has read the answer
			must.Eq(t, http.StatusMisdirectedRequest, status(t, srv, "8192"))
			done := make(chan int, 1)
			go func() { done <- status(t, srv, "7") }()
			await(t, func() bool { return len(srv.Ledger(0, 10)) > 0 })
			var freed *controlpb.ShardRef
			kept := make(chan []backend.HeldRange, 1)
			time.AfterFunc(1500*time.Millisecond, func() { kept <- agt.last.Load().Holds })
			for refs := range agt.cli.Revoke(ctx, []*controlpb.ShardRef{{Service: "vitrine", Token: 5}}) {
				freed = refs[0]
				must.Positive(t, srv.Ledger(0, 10)[0].EndedUnixUs, must.Sprint("the keys were given away while the request ran"))
			}
			must.NotNil(t, freed)
			must.Eq(t, tcs.kept, <-kept)
			must.NotEq(t, "", freed.GetHandover())
			must.Eq(t, http.StatusOK, <-done)
			must.Eq(t, http.StatusMisdirectedRequest, status(t, srv, "8"))
			must.Eq(t, []backend.HeldRange{{First: 4096, Last: 8191, Token: 5}}, agt.last.Load().Holds)
		})
	}
}
