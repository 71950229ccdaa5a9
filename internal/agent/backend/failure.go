package backend

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Causes of a failure, for the counters and the log.
const (
	causeRefused      = "refused"       // its port refuses connections
	causeSilent       = "silent"        // it answers neither requests nor probes
	causeNotAnnounced = "not_announced" // it has not been announced for announceExpiry
	causeRequestsFail = "requests_fail" // maxFailures requests in a row got no answer
)

// fail marks the backend server as failed; the cause is for the log and the counter. No request is written
// after the failure was reported, because control then grants the shards to others immediately.
func (cli *Client) fail(tgt *target, cause string) {
	cli.mu.Lock()
	if cli.tgt != tgt || !cli.usable() {
		cli.mu.Unlock()
		return
	}
	cli.state = controlpb.UpstreamState_UPSTREAM_STATE_FAILED
	// It may have started anew when it is used again.
	cli.cold.doubt(time.Now())
	cli.beginBackoff()
	for rnn := range cli.runs {
		rnn.serverFailed(cause == causeSilent || cause == causeRequestsFail)
	}
	// The server may use its keys, or start requests that it has received, until then; an earlier report would allow a
	// second owner.
	cli.reportFrom = later(time.Now().Add(cli.keys.remaining()), cli.latestStart)
	cli.reportAfterEnd = cli.mayStartAfterMove()
	cli.portClosed = cause == causeRefused
	cli.crashed = cli.portClosed && cli.mustHaveCrashed()
	cli.concludeCrash()
	reportFrom, leaving, crashed := cli.reportFrom, cli.leaving, cli.crashed
	log := logrus.WithFields(logrus.Fields{
		"server": cli.ann.ID, "cause": cause, "crashed": crashed, "leaving": leaving, "open_runs": cli.hasOpenRuns(),
		"held_ms": max(time.Until(reportFrom), 0).Milliseconds(), "announced_ms_ago": time.Since(cli.announcedAt).Milliseconds(),
		"late": cli.wasLate(),
	})
	cli.mu.Unlock()
	cli.cnt.Event("backend_failed_" + cause)
	if crashed {
		cli.cnt.Event("backend_crashed")
	}
	log.Warn("backend: The server is marked as failed.")
	tgt.close()
	if cause == causeRefused && !leaving {
		cli.crashes.recordCrash()
	}
	cli.report()
	if wait := time.Until(reportFrom); wait > 0 {
		time.AfterFunc(wait, cli.report)
	}
}

// beginBackoff sets the time before which the server is not used again; the caller holds the mutex.
func (cli *Client) beginBackoff() {
	if time.Since(cli.backoffUntil) > maxFailureBackoff {
		cli.failures = 0
	}
	backoff := min(minFailureBackoff<<min(cli.failures, 10), maxFailureBackoff)
	cli.failures++
	cli.backoffUntil = time.Now().Add(backoff)
}

// mayStartAfterMove reports whether the server may start a request after its key has moved to another owner,
// because it neither checks tokens nor holds its keys for a limited time; the caller holds the mutex.
func (cli *Client) mayStartAfterMove() bool {
	if cli.ann.ChecksFence || cli.ann.HoldsKeys {
		return false
	}
	return cli.opt.Service == nil || cli.service(cli.ann.Service).GetKeyMode() != controlpb.KeyMode_KEY_MODE_NONE
}
