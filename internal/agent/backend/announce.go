package backend

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// maxAnnouncement is the maximum size of an announcement in bytes, enough for thousands of ranges of keys.
	maxAnnouncement = 256 << 10
	// connectionsPerSlot is the default for a server that does not state its number of connections.
	connectionsPerSlot = 4
)

// Handler returns the handler that receives announcements of the backend server.
func (cli *Client) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", cli.announce)
	return mux
}

func (cli *Client) announce(wri http.ResponseWriter, req *http.Request) {
	ann := &Announcement{}
	if err := json.NewDecoder(http.MaxBytesReader(wri, req.Body, maxAnnouncement)).Decode(ann); err != nil {
		writeAnswer(wri, http.StatusBadRequest, AnnouncementAnswer{Reason: err.Error()})
		return
	}
	std, err := cli.Announce(req.Context(), ann)
	ane, uce := &AnnouncementError{}, &UnconfirmedError{}
	switch {
	case err == nil:
		writeAnswer(wri, http.StatusOK, std)
	case errors.As(err, &ane) && ane.Conflict():
		writeAnswer(wri, http.StatusConflict, AnnouncementAnswer{Reason: ane.Error()})
	case errors.As(err, &uce):
		writeAnswer(wri, http.StatusServiceUnavailable, AnnouncementAnswer{Reason: uce.Error()})
	default:
		writeAnswer(wri, http.StatusBadRequest, AnnouncementAnswer{Reason: err.Error()})
	}
}

// Announce processes an announcement and returns the answer to it; an error is an *AnnouncementError or an *UnconfirmedError.
func (cli *Client) Announce(ctx context.Context, ann *Announcement) (AnnouncementAnswer, error) {
	arrived := time.Now()
	if ann.Connections == 0 && cli.opt.Service != nil {
		ann.Connections = cmp.Or(cli.service(ann.Service).GetConnections(), ann.Slots*connectionsPerSlot)
	}
	if err := cli.check(ann); err != nil {
		cli.cnt.Event("announce_invalid")
		logrus.Infof("backend: refused the announcement of server %q: %v", ann.ID, err)
		return AnnouncementAnswer{}, &AnnouncementError{reason: err.Error()}
	}
	if other := cli.otherLiveServer(ann); other != "" {
		cli.cnt.Event("announce_other_id")
		return AnnouncementAnswer{}, &AnnouncementError{reason: "this agent guards " + other, conflict: true}
	}
	if !cli.admits(ctx, ann) {
		return AnnouncementAnswer{Accepted: true}, cli.checkUnadmitted(ann)
	}
	defer cli.recordAnswered(ann)
	startedLeaving := cli.accept(ctx, ann)
	cli.refreshColdLimit()
	rep := cli.applyHolds(ann)
	cli.report()
	// Control revokes the rows of the server's previous incarnation; until control has been notified, they
	// must not be granted to this one.
	cli.keys.resumeGrants()
	cli.calls.trigger()
	if startedLeaving && cli.opt.OnDrain != nil {
		logrus.Infof("backend: server %s is leaving", ann.ID)
		cli.opt.OnDrain()
	}
	if ann.Leaving {
		if err := cli.awaitConfirmed(ctx, ann.start()); err != nil {
			return AnnouncementAnswer{}, err
		}
	}
	if !cli.awaitIncoming(ctx, ann) {
		return AnnouncementAnswer{Accepted: true}, nil
	}
	return cli.announcementAnswer(ann, rep, arrived), nil
}

// check reports what makes an announcement invalid for this agent.
func (cli *Client) check(ann *Announcement) error {
	if svc := cli.opt.ExpectedService; svc != "" && ann.Service != svc {
		return errors.Errorf("service is %q; the backend server of this host serves %q", ann.Service, svc)
	}
	return ann.check()
}

func writeAnswer(wri http.ResponseWriter, status int, ans AnnouncementAnswer) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	_ = json.NewEncoder(wri).Encode(ans)
}

func (cli *Client) announcementAnswer(ann *Announcement, rep reportedHolds, arrived time.Time) AnnouncementAnswer {
	std := AnnouncementAnswer{Accepted: true, Draining: ann.Leaving}
	if cli.opt.Draining != nil {
		std.Draining = std.Draining || cli.opt.Draining()
	}
	std.MayStop = ann.Leaving && cli.opt.MayStop != nil && cli.opt.MayStop()
	if ann.HoldsKeys {
		cli.fillHolds(ann, rep, &std, arrived)
	}
	return std
}

// otherLiveServer returns the id of another backend server that has announced itself and has not failed,
// empty without one.
func (cli *Client) otherLiveServer(ann *Announcement) string {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == nil || cli.ann.ID == ann.ID || ann.isSuccessorOf(cli.ann) || ann.isOlderThan(cli.ann) || !cli.usable() || time.Since(cli.announcedAt) >= announceExpiry {
		return ""
	}
	return cli.ann.ID
}

// accept makes an announcement the current one and reports whether the server has just started leaving. A
// failed server is probed before it is used again.
func (cli *Client) accept(ctx context.Context, ann *Announcement) bool {
	tgt, fresh, failed := cli.setAnnouncement(ann)
	if failed && !cli.recovered(ctx, tgt) {
		return false
	}
	if fresh || failed {
		cli.resendGrants(ctx, tgt)
	}
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.tgt != tgt {
		return false
	}
	cli.forgetUnnumbered(failed)
	leaving := ann.Leaving || cli.advice.leaving
	cli.ended, cli.portClosed, cli.crashed = false, false, false
	cli.state = controlpb.UpstreamState_UPSTREAM_STATE_SERVING
	if leaving {
		cli.state = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	cli.crashes.serverAccepted()
	startsLeaving := leaving && !cli.leaving
	cli.leaving = leaving
	return startsLeaving
}

// setAnnouncement stores an announcement as the current one; fresh means that new connections are needed.
func (cli *Client) setAnnouncement(ann *Announcement) (tgt *target, fresh, failed bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	old := cli.ann
	cli.ann = ann
	cli.recordGuess(old, ann, time.Since(cli.announcedAt))
	cli.recordGap(old, ann)
	restarted := old != nil && old.start() != ann.start()
	if restarted {
		cli.handleRestart()
	}
	cli.recordLeaving(ann)
	cli.recordAnnounced(ann, old == nil, restarted)
	fresh = old == nil || restarted || old.URL != ann.URL || old.Connections != ann.Connections
	if fresh {
		if cli.tgt != nil {
			cli.tgt.close()
		}
		cli.tgt = newTarget(ann, cli.opt, func() { cli.connEnded.Store(true) })
	}
	return cli.tgt, fresh, cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED
}

// recordGap records when an announcement arrived, the longest time between two of one start of the server, and whether it was late;
// the caller holds the mutex.
func (cli *Client) recordGap(old, ann *Announcement) {
	now := time.Now()
	gap := now.Sub(cli.announcedAt)
	waited := min(gap, now.Sub(cli.answeredAt)) // a server may wait for an answer that is delayed for keys
	late := waited >= cli.lateAfter()
	if old == nil || ann.isOtherStart(old) {
		gap, waited = 0, 0
		cli.announceGap, cli.lateAt = 0, time.Time{}
		late = ann.Sequence != firstSequence // an earlier process of this agent may have heard the server
	}
	if late {
		cli.lateAt = now
	}
	cli.delay = max(waited-time.Duration((1-announceJitter)*float64(cli.opt.AnnounceEvery)), 0)
	cli.announceGap = max(cli.announceGap, min(gap, maxAnnounceGap))
	cli.announcedAt = now
}

// recordAnswered records when an announcement was answered.
func (cli *Client) recordAnswered(ann *Announcement) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.ann == ann {
		cli.answeredAt = time.Now()
	}
}

// handleRestart resets the state that belongs to the server's previous incarnation; the caller holds the
// mutex.
func (cli *Client) handleRestart() {
	if !cli.leaving {
		cli.crashes.recordCrash()
	}
	cli.backoffUntil = time.Time{}
	cli.leaving = false
	cli.advice, cli.knownToStay = advice{}, false
	cli.keys.clear()
	cli.mtr.reset()
	if cli.state == controlpb.UpstreamState_UPSTREAM_STATE_FAILED {
		cli.state = controlpb.UpstreamState_UPSTREAM_STATE_SERVING
	}
	for rnn := range cli.runs {
		rnn.serverFailed(false)
	}
}

// recovered reports whether a failed server is past its backoff and answers a probe.
func (cli *Client) recovered(ctx context.Context, tgt *target) bool {
	if cli.inBackoff() || !cli.probe(ctx, tgt) {
		return false
	}
	cli.mtr.reset()
	cli.cnt.Event("backend_returned")
	logrus.Info("backend: the failed server has recovered")
	return true
}

func (cli *Client) inBackoff() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return time.Now().Before(cli.backoffUntil)
}
