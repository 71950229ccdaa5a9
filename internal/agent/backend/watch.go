package backend

import (
	"context"
	"io"
	"net/http"
	"time"
)

// watch checks the age of the announcement and whether requests are answered.
func (cli *Client) watch(ctx context.Context) {
	tgt := cli.current()
	if tgt == nil {
		return
	}
	if cli.expired() {
		cli.fail(tgt, "not_announced")
		return
	}
	if cli.mtr.failing() {
		cli.fail(tgt, "requests_fail")
		return
	}
	if !cli.mtr.silent() || cli.beats() || time.Since(cli.probed) < probeGap {
		return
	}
	if cli.probeTwice(ctx, tgt) {
		cli.probed = time.Now()
		return
	}
	if cli.mtr.silent() {
		cli.fail(tgt, "silent")
	}
}

// beats reports whether a server that takes its keys by heartbeats has sent one of late, which shows that it lives although its requests take long.
func (cli *Client) beats() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann.Incarnation != 0 && time.Since(cli.heard) < beatGrace
}

func (cli *Client) expired() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return time.Since(cli.heard) >= announceExpiry
}

// probeTwice reports whether one of two probes was answered.
func (cli *Client) probeTwice(ctx context.Context, tgt *target) bool {
	start := time.Now()
	if cli.probe(ctx, tgt) {
		return true
	}
	select {
	case <-ctx.Done():
		return true
	case <-time.After(probeGap - min(time.Since(start), probeGap)):
	}
	return cli.probe(ctx, tgt)
}

// probe reports whether the health endpoint answered at all; what it says is not trusted.
func (cli *Client) probe(ctx context.Context, tgt *target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	loc := tgt.base.String() + cli.healthPath()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, loc, nil)
	if err != nil {
		return false
	}
	res, err := tgt.probes.RoundTrip(req)
	if err != nil {
		cli.cnt.Event("backend_probe_failed")
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, wholeAnswer))
	return err == nil
}

func (cli *Client) healthPath() string {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.opt.Service != nil {
		if path := cli.opt.Service(cli.ann.Service).GetHealthPath(); path != "" {
			return path
		}
	}
	return cli.ann.HealthPath
}
