package backend

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// checkServer marks the server as failed if its announcement has expired or its requests go unanswered.
func (cli *Client) checkServer(ctx context.Context) {
	cli.adoptRegistered()
	tgt := cli.current()
	if tgt == nil {
		cli.checkEnded(ctx)
		return
	}
	if cli.isLeaving() {
		cli.checkLeaving(ctx, tgt)
		return
	}
	if cli.suspectsEnd() && cli.refusesConnections(ctx, tgt) {
		cli.fail(tgt, causeRefused)
		return
	}
	if cli.announcementExpired() {
		cli.fail(tgt, causeNotAnnounced)
		return
	}
	if cli.mtr.failing() {
		cli.fail(tgt, causeRequestsFail)
		return
	}
	if !cli.mtr.unresponsive() || cli.sendsHeartbeats() || time.Since(cli.probedAt) < probeInterval {
		return
	}
	if cli.probeTwice(ctx, tgt) {
		cli.probedAt = time.Now()
		return
	}
	if cli.mtr.unresponsive() {
		cli.fail(tgt, causeSilent)
	}
}

func (cli *Client) isLeaving() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.leaving
}

// checkLeaving marks a server that is leaving as failed once its port no longer accepts connections. Such a server may end its
// announcements, gets no new requests and finishes those that it has, however long they take; neither that nor silence is a failure.
func (cli *Client) checkLeaving(ctx context.Context, tgt *target) {
	cli.mu.Lock()
	quiet := time.Since(cli.announcedAt) >= heartbeatGrace
	cli.mu.Unlock()
	if !quiet || time.Since(cli.dialedAt) < leavingCheckInterval {
		return
	}
	cli.dialedAt = time.Now()
	err := cli.tryConnect(ctx, tgt)
	switch {
	case err == nil:
		cli.failedDials = 0
	case errors.Is(err, syscall.ECONNREFUSED):
		cli.fail(tgt, causeRefused)
	default:
		if cli.failedDials++; cli.failedDials >= maxFailedDials {
			cli.failedDials = 0
			cli.fail(tgt, causeSilent)
		}
	}
}

// checkEnded reports the failure of a server that does not check tokens once its port refuses connections and no run is
// open. A frozen server starts its pending requests whenever it resumes, and one that stops finishes those that it has, so its
// keys must not have another owner before.
func (cli *Client) checkEnded(ctx context.Context) {
	cli.mu.Lock()
	tgt, awaitsEnd := cli.tgt, cli.reportAfterEnd && cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED && !cli.hasOpenRuns()
	cli.mu.Unlock()
	if !awaitsEnd || !cli.refusesConnections(ctx, tgt) {
		return
	}
	cli.mu.Lock()
	if cli.tgt == tgt {
		cli.recordEnd()
	}
	cli.mu.Unlock()
	logrus.Info("backend: the failed server has no open runs and its port refuses connections")
	cli.report()
}

// refusesConnections reports whether nothing listens at the server's address; a time-out proves nothing.
func (cli *Client) refusesConnections(ctx context.Context, tgt *target) bool {
	return errors.Is(cli.tryConnect(ctx, tgt), syscall.ECONNREFUSED)
}

// tryConnect opens a connection to the server and closes it.
func (cli *Client) tryConnect(ctx context.Context, tgt *target) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	con, err := cli.opt.Dial(ctx, "tcp", tgt.base.Host)
	if err != nil {
		return err
	}
	return con.Close()
}

// sendsHeartbeats reports whether a server with an incarnation has sent a recent heartbeat, which shows that
// it is alive although its requests take long.
func (cli *Client) sendsHeartbeats() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann.start().IsStated() && time.Since(cli.announcedAt) < heartbeatGrace
}

func (cli *Client) announcementExpired() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return time.Since(cli.announcedAt) >= announceExpiry
}

// probeTwice reports whether at least one of two probes was answered.
func (cli *Client) probeTwice(ctx context.Context, tgt *target) bool {
	start := time.Now()
	if cli.probe(ctx, tgt) {
		return true
	}
	select {
	case <-ctx.Done():
		return true
	case <-time.After(probeInterval - min(time.Since(start), probeInterval)):
	}
	return cli.probe(ctx, tgt)
}

// probe reports whether the health endpoint answered at all; its status is ignored.
func (cli *Client) probe(ctx context.Context, tgt *target) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, answered := cli.askHealth(ctx, tgt, tgt.probes)
	if !answered {
		cli.cnt.Event("backend_probe_failed")
	}
	return answered
}

func (cli *Client) healthPath() string {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cmp.Or(cli.service(cli.ann.Service).GetHealthPath(), cli.ann.HealthPath)
}
