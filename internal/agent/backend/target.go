package backend

import (
	"context"
	"net"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
)

// announcement is the body of POST /announce.
type announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	URL         string `json:"url"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	ChecksFence bool   `json:"checks_fence"`
	HealthPath  string `json:"health_path"`
	GrantsPath  string `json:"grants_path"`
	Leaving     bool   `json:"leaving"`
}

func (ann *announcement) check() error {
	if ann.ID == "" || ann.Service == "" {
		return errors.New("id and service are required")
	}
	loc, err := url.Parse(ann.URL)
	if err != nil {
		return errors.Wrap(err, "url")
	}
	if loc.Scheme != "http" || loc.Host == "" {
		return errors.Errorf("url %q is not an http URL with a host", ann.URL)
	}
	if ann.Slots == 0 || ann.Connections == 0 {
		return errors.New("slots and connections must be over 0")
	}
	return nil
}

// target is one address of the backend server with its own pool of connections.
type target struct {
	base      *url.URL
	transport *http.Transport
	probes    *http.Transport // apart, so that a full pool does not make the server look dead
}

// newTarget returns the pools for an announcement that was checked.
func newTarget(ann *announcement) *target {
	loc, _ := url.Parse(ann.URL)
	dia := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := dia.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: con}, nil
	}
	return &target{
		base: loc,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     int(ann.Connections),
			MaxIdleConnsPerHost: int(ann.Connections),
			IdleConnTimeout:     maxIdle,
			DisableCompression:  true,
		},
		probes: &http.Transport{DialContext: dia.DialContext, DisableKeepAlives: true},
	}
}

func (tgt *target) close() { tgt.transport.CloseIdleConnections() }
