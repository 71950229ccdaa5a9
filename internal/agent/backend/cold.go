package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
)

const (
	// coldPollInterval is the interval at which it is checked whether a server that has a limit while it is cold must be
	// asked for its coldness.
	coldPollInterval = 200 * time.Millisecond
	// maxPollAge is how long a server is not asked that gets few requests.
	maxPollAge = time.Second
	// triggerDelay makes the statement that a triggered poll brings later than the event that triggered it.
	triggerDelay = time.Millisecond
	// pollIdle is how long the connection for these questions is kept; servers close idle connections after seconds.
	pollIdle = 2 * time.Second
	// A cold server must get at most coldFactor times its limit plus coldSlack requests in a second, also before its agent
	// knows that it is cold.
	coldFactor = 1.5
	coldSlack  = 8
	// unnoticedShare is the part of these that is sent between two polls; the rest is on its way until a poll is answered.
	unnoticedShare = 0.4
	// maxPollGap is the time without a poll after which the agent was suspended and may have missed that the server
	// became cold. A poll takes at most probeTimeout.
	maxPollGap = time.Second
	// maxWarmup is the longest remaining time that is accepted from a server; a longer one is taken for an error.
	maxWarmup = time.Hour
)

// coldLimit is the limit of a cold server, from the configuration of its service; the client's mutex guards it.
type coldLimit struct {
	coldness
	rate   float64       // requests a second, 0: no limit
	length time.Duration // how long the server is cold after its start
	// draining is whether the upstream was draining at the last look.
	draining bool
	active   bool      // the limit applied at the last look
	polled   time.Time // latest look whether the server must be asked
	asked    time.Time // start of the latest poll
	sent     int       // requests sent since then
}

// needsPoll reports whether the server has to be asked for its coldness: it counts as cold, was not asked for long, or has
// been sent so many requests that it would get too many if it has become cold meanwhile.
func (cld *coldLimit) needsPoll(now time.Time) bool {
	return cld.left(now) > 0 || now.Sub(cld.asked) >= maxPollAge || float64(cld.sent) >= unnoticedShare*(coldFactor*cld.rate+coldSlack)
}

// StartLimit returns how many requests a second may start at the backend server: the lower one of the limit that the
// server states in its answers and of that of its service while it is cold.
func (cli *Client) StartLimit() siskinrill.StartLimit {
	if !cli.coldKnown.Load() {
		cli.refreshColdLimit() // a restarted agent may get the configuration after the first announcement
	}
	draining := cli.coldEnabled.Load() && cli.opt.Draining != nil && cli.opt.Draining()
	cli.mu.Lock()
	defer cli.mu.Unlock()
	lmt := siskinrill.StartLimit{PerSecond: cli.advice.rateLimit, Limited: cli.advice.limited}
	left := cli.coldLeft(draining)
	if left == 0 {
		return lmt
	}
	if !lmt.Limited || cli.cold.rate < lmt.PerSecond {
		lmt = siskinrill.StartLimit{PerSecond: cli.cold.rate, Limited: true, Cold: left}
	}
	return lmt
}

// coldLeft returns for how long the limit of the cold server applies, 0 if it does not. After the end of a drain the
// server counts as cold: it may have become so while no request was sent to it, and its statement may be on its way. The
// caller holds the mutex.
func (cli *Client) coldLeft(draining bool) time.Duration {
	cld := &cli.cold
	if cld.rate == 0 || cli.ann == nil {
		return 0
	}
	now := time.Now()
	if cld.draining && !draining || now.Sub(cld.polled) > maxPollGap {
		cld.doubt(now)
		cld.polled = now
		cli.triggerPoll()
	}
	cld.draining = draining
	left := cld.left(now)
	if active := left > 0; active != cld.active {
		cld.active = active
		cli.logColdness(left)
	}
	return left
}

func (cli *Client) logColdness(left time.Duration) {
	if left == 0 {
		cli.cnt.Event("backend_cold_ends")
		logrus.Infof("backend: server %s is no longer cold", cli.ann.ID)
		return
	}
	cli.cnt.Event("backend_cold_begins")
	logrus.Infof("backend: server %s is cold; it is sent at most %g requests a second", cli.ann.ID, cli.cold.rate)
}

// countCold counts a request that is sent to a cold server; the caller holds the mutex.
func (cli *Client) countCold() {
	cli.cold.sent++
	if cli.cold.rate > 0 && cli.cold.left(time.Now()) > 0 {
		cli.cnt.Event("backend_sent_cold")
	}
}

// refreshColdLimit reads the limit from the configuration.
func (cli *Client) refreshColdLimit() {
	cli.mu.Lock()
	ann := cli.ann
	cli.mu.Unlock()
	if ann == nil || cli.opt.Service == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if svc == nil {
		return
	}
	cli.coldKnown.Store(true)
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cld := &cli.cold
	if cld.rate == 0 && svc.GetColdRate() > 0 {
		// Until now the health path was not polled.
		cld.polled = time.Now()
		cld.doubt(cld.polled)
		cli.triggerPoll()
	}
	cld.rate, cld.length = svc.GetColdRate(), time.Duration(svc.GetColdMs())*time.Millisecond
	cli.coldEnabled.Store(cld.rate > 0)
}

// recordAnnounced records what an announcement states of coldness. A server that this agent has seen starting counts as
// cold, whatever its announcement states, until its health path says otherwise. The caller holds the mutex.
func (cli *Client) recordAnnounced(ann *Announcement, first, restarted bool) {
	now := time.Now()
	earliest := now.Add(-maxAnnounceDelay)
	switch {
	case restarted || first && ann.WarmupMs == nil:
		cli.cold.start(now, cli.cold.length)
		cli.triggerPoll()
	case first:
		cli.cold.start(now, 0)
	}
	if ann.WarmupMs == nil {
		cli.cold.silent(earliest, cli.cold.length)
		return
	}
	cli.cold.state(time.Duration(*ann.WarmupMs)*time.Millisecond, earliest, now)
}

// expectCold makes the server count as cold until its health path says otherwise, since it may have started anew.
func (cli *Client) expectCold() {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	cli.cold.start(time.Now(), cli.cold.length)
	cli.triggerPoll()
}

// readWarmup records what an answer of a server states of coldness, to a request that was sent at a time; silent is
// whether an answer without a statement means that the server makes none.
func (cli *Client) readWarmup(tgt *target, hdr http.Header, sentAt time.Time, silent bool) {
	txt := hdr.Get(siskinrill.HeaderWarmup)
	left, valid := parseWarmup(txt)
	if txt != "" && !valid {
		cli.cnt.Event("backend_warmup_invalid")
		return
	}
	if txt == "" && !silent {
		return
	}
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.tgt != tgt {
		return
	}
	if !valid {
		cli.cold.silent(sentAt, cli.cold.length)
		return
	}
	cli.cold.state(left, sentAt, time.Now())
}

// parseWarmup returns the remaining time that a header states in milliseconds, false if it is not valid.
func parseWarmup(txt string) (time.Duration, bool) {
	num, err := strconv.ParseUint(txt, 10, 32)
	left := time.Duration(num) * time.Millisecond
	return left, err == nil && left <= maxWarmup
}

// triggerPoll polls the health path without waiting for the next interval.
func (cli *Client) triggerPoll() {
	select {
	case cli.pollNow <- struct{}{}:
	default:
	}
}

// pollColdness asks the health path of a server whose service has a limit for cold servers for its coldness, until the
// context ends. Announcements arrive every 870 ms and may be late, in which time a warm server's load would be too much.
func (cli *Client) pollColdness(ctx context.Context) {
	tck := time.NewTicker(coldPollInterval)
	defer tck.Stop()
	for {
		triggered := false
		select {
		case <-ctx.Done():
			return
		case <-tck.C:
		case <-cli.pollNow:
			triggered = true
			time.Sleep(triggerDelay)
		}
		cli.refreshColdLimit()
		if !cli.coldEnabled.Load() {
			continue
		}
		cli.StartLimit() // notices the end of a drain and a suspension
		// A suspension during the poll must show, since its answer may be from before.
		cli.mu.Lock()
		cli.cold.polled = time.Now()
		needed := triggered || cli.cold.needsPoll(cli.cold.polled)
		cli.mu.Unlock()
		if tgt := cli.current(); needed && tgt != nil && cli.healthPath() != "" {
			cli.pollOnce(ctx, tgt)
		}
	}
}

func (cli *Client) pollOnce(ctx context.Context, tgt *target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	cli.mu.Lock()
	cli.cold.asked, cli.cold.sent = time.Now(), 0
	cli.mu.Unlock()
	if _, answered := cli.askHealth(ctx, tgt, tgt.polls); !answered {
		cli.cnt.Event("backend_cold_poll_failed")
	}
}

// askHealth reports whether the health path answered and which server its answer names, empty if none, and records what it states
// of coldness; the status is ignored.
func (cli *Client) askHealth(ctx context.Context, tgt *target, trn http.RoundTripper) (name string, answered bool) {
	sentAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, tgt.base.String()+cli.healthPath(), nil)
	if err != nil {
		return "", false
	}
	res, err := trn.RoundTrip(req)
	if err != nil {
		return "", false
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedAnswer)); err != nil {
		return "", false
	}
	cli.readWarmup(tgt, res.Header, sentAt, true)
	return res.Header.Get(siskinrill.HeaderUpstream), true
}
