package backend

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// confirmTimeout limits the wait for control before the leaving of a server is acknowledged; servers wait for 1 s.
	confirmTimeout = 800 * time.Millisecond
	// confirmPollInterval is the interval at which it is checked whether control knows that a server is leaving.
	confirmPollInterval = 5 * time.Millisecond
	// unknownLeavingAge is for how long a server counts as leaving if an earlier process of this agent may have acknowledged it;
	// it exceeds the time for which any leaving server gets requests.
	unknownLeavingAge = time.Hour
)

// departedUpstream returns what control is told of a server that has deregistered before this process has heard an announcement of
// it; nothing else is known of it.
func departedUpstream(departed siskinrill.ServerStart, svc string) *controlpb.Upstream {
	return &controlpb.Upstream{
		Id: departed.ID, Service: svc, State: controlpb.UpstreamState_UPSTREAM_STATE_DRAINING, Incarnation: departed.Incarnation, Leaving: true,
	}
}

// UnconfirmedError states that control has not confirmed in time that a server is leaving. The statement is not acknowledged, since
// the agent would forget it in a restart.
type UnconfirmedError struct {
	id string
}

// Error returns the reason.
func (uce *UnconfirmedError) Error() string {
	return "control has not confirmed in time that server " + uce.id + " is leaving"
}

// MarkLeaving marks a server as draining that has left or is about to without announcing it; it is served no longer
// than one that announced that it is leaving. If no announcement of the server is known, all of its starts up to an incarnation count
// as leaving. The error is an *UnconfirmedError.
func (cli *Client) MarkLeaving(ctx context.Context, id string, upTo uint64) error {
	leaving := siskinrill.ServerStart{ID: id, Incarnation: upTo}
	cli.mu.Lock()
	switch {
	case cli.ann == nil:
		cli.departed = leaving
	case cli.ann.ID == id && cli.heard.ID == id && cli.heard.isOtherStart(cli.ann):
		cli.mu.Unlock()
		return &UnconfirmedError{id: id} // of the start that waits for its predecessor's end, or of that one
	case cli.ann.ID == id:
		leaving = cli.ann.start()
	default:
		cli.mu.Unlock()
		return nil // another server has taken its place
	}
	cli.mu.Unlock()
	if cli.startLeaving(leaving, 0) {
		logrus.Infof("backend: server %s has left or is about to leave", id)
	}
	cli.report()
	return cli.awaitConfirmed(ctx, leaving)
}

// checkUnadmitted refuses an announcement that does not count and states that a server is leaving which may be up: nothing keeps that.
// One that is late needs no answer, since a later one of that start, or a later start, has been accepted.
func (cli *Client) checkUnadmitted(ann *Announcement) error {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if ann.Leaving && !ann.isOlderThan(cli.ann) {
		return &UnconfirmedError{id: ann.ID}
	}
	return nil
}

// awaitConfirmed waits until control knows that a server is leaving. From then on it stays known if this process ends.
func (cli *Client) awaitConfirmed(ctx context.Context, start siskinrill.ServerStart) error {
	if cli.opt.Registered == nil || !start.IsStated() {
		return nil
	}
	tck := time.NewTicker(confirmPollInterval)
	defer tck.Stop()
	for end := time.Now().Add(confirmTimeout); ; {
		ups := cli.opt.Registered()
		if siskinrill.StartOf(ups) == start && ups.GetLeaving() {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-tck.C:
			if time.Now().Before(end) {
				continue
			}
		}
		cli.cnt.Event("leaving_unconfirmed")
		return &UnconfirmedError{id: start.ID}
	}
}

// startLeaving makes the announced server drain for the rest of this start, whatever its further heartbeats announce,
// since one may have been delayed or may not tell yet; ago is for how long it has been known. It reports whether that is new.
func (cli *Client) startLeaving(start siskinrill.ServerStart, ago time.Duration) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.isCurrent(start) {
		return false
	}
	if cli.advice.leaving {
		if ago == 0 {
			cli.advice.leavingHeard = time.Now()
		}
		return false
	}
	cli.setLeaving(ago)
	cli.leaving = true
	if cli.usable() {
		cli.state = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	return true
}

// setLeaving records for how long it has been known that the server is leaving. An earlier process of this agent may have known it
// unless control has had this start as one that is not leaving since this process began. The caller holds the mutex.
func (cli *Client) setLeaving(ago time.Duration) {
	if cli.opt.Registered != nil && cli.ann.start().IsStated() && !cli.knownToStay {
		ago = unknownLeavingAge
	}
	adv := &cli.advice
	adv.leaving = true
	adv.leavingSince = boottime.Mark().Add(-ago)
	adv.leavingHeard = time.Now().Add(-ago)
}

// recordLeaving records that an announcement states that its server is leaving, or that it has deregistered before; the caller holds
// the mutex.
func (cli *Client) recordLeaving(ann *Announcement) {
	if ann.start().IsStated() && !cli.advice.leaving && (ann.Leaving || ann.start().UpTo(cli.departed)) {
		cli.setLeaving(0)
	}
}

// adoptRegistered takes over from control that the server is leaving, which an earlier process of this agent has reported.
func (cli *Client) adoptRegistered() {
	if cli.opt.Registered == nil {
		return
	}
	ups := cli.opt.Registered()
	cli.mu.Lock()
	if !ups.GetLeaving() && cli.isCurrent(siskinrill.StartOf(ups)) {
		cli.knownToStay = true
	}
	cli.mu.Unlock()
	if ups.GetLeaving() && cli.startLeaving(siskinrill.StartOf(ups), unknownLeavingAge) {
		logrus.Infof("backend: control knows that server %s is leaving", ups.GetId())
		cli.report()
	}
}
