package backend

import (
	"context"
	"net"
	"net/http"
	"net/url"
)

// target is one address of the backend server with its own pool of connections.
type target struct {
	base      *url.URL
	pool      *http.Transport
	transport http.RoundTripper // the pool, perhaps behind a translation
	probes    *http.Transport   // apart, so that a full pool does not make the server look dead
	calls     *http.Transport   // for grants and releases, which wait for no request
}

// newTarget returns the pools for an announcement that was checked.
func newTarget(ann *Announcement, opt Options) *target {
	loc, _ := url.Parse(ann.URL)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := opt.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: con}, nil
	}
	pool := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     int(ann.Connections),
		MaxIdleConnsPerHost: int(ann.Connections),
		// A server whose header never ends would take the default of 10 MB for each of its slots.
		MaxResponseHeaderBytes: maxAnswerHeader,
		IdleConnTimeout:        opt.MaxIdle,
		DisableCompression:     true,
	}
	return &target{
		base: loc, pool: pool, transport: opt.Transport(pool),
		probes: &http.Transport{DialContext: opt.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerHeader},
		calls: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxGrantCalls, IdleConnTimeout: opt.MaxIdle,
			DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
		},
	}
}

func (tgt *target) close() {
	tgt.pool.CloseIdleConnections()
	tgt.calls.CloseIdleConnections()
}
