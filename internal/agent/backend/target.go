package backend

import (
	"context"
	"net"
	"net/http"
	"net/url"

	"github.com/siskinrill/siskinrill/internal/wire/httpanswer"
)

// target is an address of the backend server with its own connection pools.
type target struct {
	base      *url.URL
	pool      *http.Transport
	transport http.RoundTripper // the pool, or a wrapper that translates headers
	retries   http.RoundTripper // opens a connection for each retry
	probes    http.RoundTripper // separate, so that an exhausted pool does not make the server look failed
	polls     http.RoundTripper // separate, on one connection that is kept between two polls of the health path
	calls     http.RoundTripper // separate, so that grants and releases don't queue behind requests
	releases  http.RoundTripper // opens a connection for each release
	close     func()            // closes idle connections
}

// checked wraps a pool of connections to check its answers and to translate headers.
func (opt *Options) checked(pool *http.Transport) http.RoundTripper {
	return opt.Transport(httpanswer.Transport(pool))
}

// newTarget returns the target of an announcement that has been validated; onEnd is called when the server ends a connection.
func newTarget(ann *Announcement, opt Options, onEnd func()) *target {
	loc, _ := url.Parse(ann.URL)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := opt.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: con, onEnd: onEnd}, nil
	}
	pool := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     int(ann.Connections),
		MaxIdleConnsPerHost: int(ann.Connections),
		// An endless header would otherwise take up to the default of 10 MB for each slot.
		MaxResponseHeaderBytes: maxAnswerHeader,
		IdleConnTimeout:        opt.MaxIdle,
		DisableCompression:     true,
	}
	retries := newSingleUse(dial)
	retries.MaxConnsPerHost = int(ann.Connections)
	calls := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxGrantCalls, IdleConnTimeout: opt.MaxIdle,
		DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
	}
	return &target{
		base: loc, pool: pool, transport: opt.checked(pool), retries: opt.checked(retries), releases: httpanswer.Transport(newSingleUse(dial)), calls: httpanswer.Transport(calls),
		probes: opt.checked(&http.Transport{DialContext: opt.Dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerHeader}),
		polls: opt.checked(&http.Transport{
			DialContext: opt.Dial, MaxConnsPerHost: 1, IdleConnTimeout: pollIdle, MaxResponseHeaderBytes: maxAnswerHeader,
		}),
		close: func() {
			pool.CloseIdleConnections()
			calls.CloseIdleConnections()
		},
	}
}

// newSingleUse returns a transport that opens a connection for each request, on which no earlier answer can arrive a second
// time.
func newSingleUse(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
	}
}
