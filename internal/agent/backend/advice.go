package backend

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// sendWindow is the time over which the requests that are sent to a server with a rate limit are counted for the log.
const sendWindow = time.Second

// advice is what the answers of the current backend server state about the requests that it accepts; the client's
// mutex guards it.
type advice struct {
	rateLimit float64 // requests a second from all hosts together; only valid if limited
	limited   bool
	limitedAt time.Time // arrival of the latest answer that stated a rate limit
	leaving   bool      // stated by an answer, or by the server's deregistration; final for this start of the server
	// leavingSince is when it became known that the server is leaving; only valid if it is.
	leavingSince boottime.Instant
	leavingHeard time.Time // when that was last heard
	answered     bool      // the server has answered a request that it ran
	sent         sendCounts
}

// sendCounts are the requests that were sent since start.
type sendCounts struct {
	start time.Time
	all   int
	local int // received from callers on this host
}

// RateLimit returns how many requests a second the backend server accepts, false if it states no limit.
func (cli *Client) RateLimit() (float64, bool) {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.advice.rateLimit, cli.advice.limited
}

func (cli *Client) statesLeaving() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.advice.leaving
}

// Advice returns what the backend server states in its answers, nil if nothing; it must not be modified.
func (cli *Client) Advice() *peerpb.Advice {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	adv := &cli.advice
	if cli.ann == nil || !adv.limited && !adv.leaving {
		return nil
	}
	return &peerpb.Advice{
		Upstream: cli.ann.ID, Incarnation: cli.ann.Incarnation,
		Limited: adv.limited, RateLimit: adv.rateLimit, Leaving: adv.leaving, LeavingMs: adv.leavingMs(),
	}
}

// leavingMs returns for how long it has been known that the server is leaving, in milliseconds.
func (adv *advice) leavingMs() uint32 {
	if !adv.leaving {
		return 0
	}
	return uint32(boottime.Mark().Since(adv.leavingSince).Milliseconds())
}

// AdoptAdvice takes over what another agent knows of the server. This agent may have restarted and then knows nothing
// until the server has answered; without the limit it would send as much as the server has slots in that time.
func (cli *Client) AdoptAdvice(msg *peerpb.Advice) {
	ago := time.Duration(msg.GetLeavingMs()) * time.Millisecond
	if msg.GetLeaving() && !cli.mayBeOutdated(msg) && cli.startLeaving(siskinrill.StartOfAdvice(msg), ago) {
		logrus.Infof("backend: another agent knows that server %s is leaving", msg.GetUpstream())
		cli.report()
	}
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.isCurrent(siskinrill.StartOfAdvice(msg)) {
		return
	}
	if msg.GetLimited() && !cli.advice.answered && !cli.advice.limited {
		cli.setRateLimit(msg.GetRateLimit())
	}
}

// isCurrent reports whether a start of a server is the announced one; the caller holds the mutex.
func (cli *Client) isCurrent(start siskinrill.ServerStart) bool {
	return cli.ann != nil && cli.ann.start() == start
}

// forgetUnnumbered drops what a server without an incarnation stated before it may have started anew; failed is true if
// it has failed since. The caller holds the mutex.
func (cli *Client) forgetUnnumbered(failed bool) {
	if cli.ann.start().IsStated() {
		return
	}
	if failed || cli.advice.leaving && time.Since(cli.advice.leavingHeard) > siskinrill.UnnumberedLeaving {
		cli.advice = advice{}
	}
}

// mayBeOutdated reports whether the advice of another agent may be about an earlier start of a server without an incarnation.
func (cli *Client) mayBeOutdated(msg *peerpb.Advice) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return !siskinrill.StartOfAdvice(msg).IsStated() && cli.advice.answered
}

// setRateLimit records a rate limit; the caller holds the mutex.
func (cli *Client) setRateLimit(lmt float64) {
	adv := &cli.advice
	if !adv.limited {
		cli.cnt.Event("backend_rate_limit_begins")
		logrus.Infof("backend: server %s limits its requests to %g a second", cli.ann.ID, lmt)
		adv.sent = sendCounts{start: time.Now()}
	}
	adv.rateLimit, adv.limited, adv.limitedAt = lmt, true, time.Now()
}

// parseRateLimit returns the rate limit of an answer, false if the answer states none or an invalid one.
func parseRateLimit(txt string) (float64, bool) {
	lmt, err := strconv.ParseFloat(txt, 64)
	return lmt, err == nil && lmt >= 0 && !math.IsInf(lmt, 0)
}

// readAdvice records what an answer states; ran is false if the server refused the request.
func (cli *Client) readAdvice(rnn *run, hdr http.Header, ran bool) {
	if hdr.Get(siskinrill.HeaderLeaving) == "true" && cli.startLeaving(rnn.start, 0) {
		cli.cnt.Event("backend_states_leaving")
		logrus.Infof("backend: server %s states in its answers that it is leaving", rnn.start.ID)
		cli.report()
	}
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.isCurrent(rnn.start) {
		return
	}
	adv := &cli.advice
	adv.answered = adv.answered || ran
	if left, valid := parseWarmup(hdr.Get(siskinrill.HeaderWarmup)); valid {
		cli.cold.state(left, rnn.gat.firstWrite(), time.Now())
	}
	txt := hdr.Get(siskinrill.HeaderRateLimit)
	lmt, valid := parseRateLimit(txt)
	switch {
	case valid:
		cli.setRateLimit(lmt)
	case txt != "":
		cli.cnt.Event("backend_rate_limit_invalid")
		logrus.Debugf("backend: server %s states the invalid rate limit %q", rnn.start.ID, txt)
	case adv.limited && ran && rnn.gat.firstWrite().After(adv.limitedAt):
		// Answers may overtake each other, so only one to a request that was sent after the limit was last stated
		// proves that the limit has ended.
		adv.rateLimit, adv.limited = 0, false
		cli.cnt.Event("backend_rate_limit_ends")
		logrus.Infof("backend: server %s no longer limits its requests", rnn.start.ID)
	}
}

// countSent counts a request that is sent to a server with a rate limit, and logs at most once per sendWindow that
// the limit was exceeded; the caller holds the mutex.
func (cli *Client) countSent(rnn *run) {
	adv := &cli.advice
	if !adv.limited {
		return
	}
	snt := &adv.sent
	if now := time.Now(); now.Sub(snt.start) >= sendWindow {
		if float64(snt.all) > adv.rateLimit*now.Sub(snt.start).Seconds()+1 {
			cli.cnt.Event("backend_rate_limit_exceeded")
			logrus.Warnf("backend: server %s was sent %d requests in %s, %d of them from this host; its limit is %g a second",
				rnn.start.ID, snt.all, now.Sub(snt.start).Round(time.Millisecond), snt.local, adv.rateLimit)
		}
		*snt = sendCounts{start: now}
	}
	snt.all++
	if opn := rnn.att.Open(); opn.GetAttempt().GetEntrySession() == opn.GetOwnerSession() {
		snt.local++
	}
}
