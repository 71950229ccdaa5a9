package actor

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRequestReadAfterCallerLeft guards against work that is started for a caller who has closed its connection before the
// request was read, as at a process that is short of processor time or descriptors.
func TestRequestReadAfterCallerLeft(t *testing.T) {
	const callers = 50
	for nam, tcs := range map[string]struct {
		depth int
		sent  string
	}{
		"pipelining":                 {depth: 8, sent: get("/get/0")},
		"pipelining, several":        {depth: 8, sent: get("/get/0") + get("/get/1") + get("/get/2")},
		"pipelining, with a body":    {depth: 8, sent: post("/once/0", 300)},
		"no pipelining":              {depth: 0, sent: get("/get/0")},
		"no pipelining, with a body": {depth: 0, sent: post("/once/0", 300)},
		"no pipelining, long body":   {depth: 0, sent: post("/once/0", 32<<10)},
		"pipelining, long body":      {depth: 8, sent: post("/once/0", 32<<10)},
		"pipelining, chunked body":   {depth: 8, sent: chunked("/once/0", 20<<10)},
	} {
		t.Run(nam, func(t *testing.T) {
			var begun atomic.Int64
			lis, err := Listen("127.0.0.1:0")
			must.NoError(t, err)
			for range callers {
				cnn, err := net.Dial("tcp", lis.Addr().String())
				must.NoError(t, err)
				_, err = cnn.Write([]byte(tcs.sent))
				must.NoError(t, err)
				must.NoError(t, cnn.Close())
			}
			cns := newConnections(maxKeepAlive)
			cns.pipelining = Pipelining{Depth: tcs.depth, Ahead: func(*http.Request) bool { return true }}
			srv := cns.newServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				if req.Context().Err() == nil {
					begun.Add(1)
				}
			}))
			go func() { _ = cns.serve(srv, lis) }()
			time.Sleep(200 * time.Millisecond)
			_ = srv.Shutdown(context.Background())
			must.Eq(t, 0, begun.Load())
		})
	}
}
