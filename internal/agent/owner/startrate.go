package owner

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/siskinrill/siskinrill"
)

const (
	// startBurstTime is the time for which unused starts accumulate; a longer one would let a server that needs
	// relief receive more at once.
	startBurstTime = 250 * time.Millisecond
	// startWindow is the time in which no more requests start than the limit allows in it, whatever was unused before. A
	// cold server counts its requests in any one second.
	startWindow = time.Second
	// maxRecentStarts is the number of starts that are kept; the window is kept for limits up to half of it, so that the
	// oldest can be dropped many at a time.
	maxRecentStarts = 512
	// minStartRate is the lowest rate of starts a second; a server that accepts none is still sent a request now and
	// then, since only its answers show that the limit has ended.
	minStartRate = 0.25
	// acceptedStarts is the number of starts over which the share of requests within their aims is measured, if that
	// takes longer than loadWindow; at a few requests a second, a second tells nothing.
	acceptedStarts = 8
)

// startRate is the rate limit of the backend server, which states it or is cold. All requests to the server pass its
// agent, so that no other agent has to be asked; the owner's mutex guards it.
type startRate struct {
	limiter *rate.Limiter // nil: no limit
	// recent are the latest starts, also of the time without a limit: the server counts those that were on their way when
	// the limit began.
	recent []time.Time
	// aimed is the number of requests that were admitted within their aims, decaying over window.
	aimed   float64
	aimedAt time.Time
	cold    bool // the limit applies because the server is cold
	waking  bool // a timer will give out slots at the next start
}

// set changes the limit.
func (srt *startRate) set(lmt siskinrill.StartLimit) {
	srt.cold = lmt.Limited && lmt.Cold > 0
	if !lmt.Limited {
		srt.limiter = nil
		return
	}
	limit := rate.Limit(max(lmt.PerSecond, minStartRate))
	burst := int(math.Ceil(float64(limit) * startBurstTime.Seconds()))
	switch {
	case srt.limiter == nil:
		srt.limiter = rate.NewLimiter(limit, burst)
		// Until enough is measured, requests within their aims are assumed to use the whole rate.
		srt.aimed, srt.aimedAt = srt.window().Seconds()*float64(limit), time.Now()
	case srt.limiter.Limit() != limit:
		srt.limiter.SetLimit(limit)
		srt.limiter.SetBurst(burst)
	}
}

// ready reports whether a request may start now.
func (srt *startRate) ready(now time.Time) bool { return srt.wait(1, now) == 0 }

// take counts the start of a request.
func (srt *startRate) take(now time.Time) {
	if len(srt.recent) == maxRecentStarts {
		srt.recent = srt.recent[:copy(srt.recent, srt.recent[maxRecentStarts/2:])]
	}
	srt.recent = append(srt.recent, now)
	if srt.limiter != nil {
		srt.limiter.AllowN(now, 1)
	}
}

// wait returns the time until num requests may have started.
func (srt *startRate) wait(num int, now time.Time) time.Duration {
	if srt.limiter == nil {
		return 0
	}
	wait := srt.windowWait(num, now)
	if missing := float64(num) - srt.limiter.TokensAt(now); missing > 0 {
		wait = max(wait, time.Duration(math.Ceil(missing/float64(srt.limiter.Limit())*float64(time.Second))))
	}
	return wait
}

// windowWait returns the time until num requests may have started without more starts in startWindow than the limit.
// Starts that the wait itself would add are left out: the limit spaces them.
func (srt *startRate) windowWait(num int, now time.Time) time.Duration {
	allowed := int(math.Ceil(float64(srt.limiter.Limit()) * startWindow.Seconds()))
	blocking := len(srt.recent) + num - 1 - allowed // must have left the window
	if blocking < 0 || len(srt.recent) == 0 || allowed > maxRecentStarts/2 {
		return 0
	}
	return max(startWindow-now.Sub(srt.recent[min(blocking, len(srt.recent)-1)]), 0)
}

// window returns the time constant of the measured share of requests within their aims.
func (srt *startRate) window() time.Duration {
	return max(loadWindow, time.Duration(acceptedStarts/float64(srt.limiter.Limit())*float64(time.Second)))
}

// accept counts a request that was admitted within its aim.
func (srt *startRate) accept(now time.Time) {
	if srt.limiter == nil {
		return
	}
	srt.decay(now)
	srt.aimed++
}

func (srt *startRate) decay(now time.Time) {
	srt.aimed *= math.Exp(-float64(now.Sub(srt.aimedAt)) / float64(srt.window()))
	srt.aimedAt = now
}

// remainingShare returns the share of the rate that requests admitted within their aims leave to others.
func (srt *startRate) remainingShare(now time.Time) float64 {
	srt.decay(now)
	return max(1-srt.aimed/srt.window().Seconds()/float64(srt.limiter.Limit()), minRemainingShare)
}

// startForecast returns when the rate limit lets an arriving ticket start; the caller holds the mutex.
func (own *Owner) startForecast(tck *ticket, now time.Time) startForecast {
	if own.starts.limiter == nil {
		return startForecast{}
	}
	// Requests whose bodies are being received have no place in a queue, and start before later ones.
	ahead, all := 1+own.bodies.receiving, 1+own.bodies.receiving
	for oth := range own.queued() {
		all++
		if oth.before(tck) {
			ahead++
		}
	}
	afterAll := time.Duration(float64(own.starts.wait(all, now)) / own.starts.remainingShare(now))
	return startForecast{inTurn: own.starts.wait(ahead, now), afterAll: afterAll}
}

// startWait returns the time until the rate limit lets a further request start; the caller holds the mutex.
func (own *Owner) startWait(now time.Time) time.Duration {
	return own.starts.wait(1+own.waiting(), now)
}

// wakeAtNextStart gives out slots again when the rate limit allows the next start; the caller holds the mutex.
func (own *Owner) wakeAtNextStart(now time.Time) {
	if own.starts.waking || own.starts.ready(now) {
		return
	}
	own.starts.waking = true
	time.AfterFunc(own.starts.wait(1, now), func() {
		own.mu.Lock()
		defer own.mu.Unlock()
		own.starts.waking = false
		own.assignSlots()
	})
}

// lateBecauseCold reports whether a request would be answered within its aim but for the limit of the cold server, and its
// entry can try another upstream, which may have room. The caller holds the mutex.
func (own *Owner) lateBecauseCold(tck *ticket, dmd demand, blg backlog) bool {
	if !own.starts.cold || !tck.att.Open().GetHasAlternatives() {
		return false
	}
	dmd.start = startForecast{}
	vdt, _ := decide(dmd, blg)
	return vdt == withinAim
}

// latestRateStart returns the time by which a waiting request must start under the rate limit: for its deadline, or for its
// aim if the server is cold and the entry can try another upstream.
func (own *Owner) latestRateStart(tck *ticket) time.Time {
	if own.starts.cold && tck.hasAim && !tck.afterAim && tck.att.Open().GetHasAlternatives() {
		return tck.aim.Add(-tck.expectedRun)
	}
	return tck.deadline.Add(-tck.expectedRun)
}

// refuseBeyondRate refuses the waiting requests for which the rate limit leaves no start in time, for example because
// the server has just stated the limit; the caller holds the mutex.
func (own *Owner) refuseBeyondRate(now time.Time) {
	if own.starts.limiter == nil {
		return
	}
	start := 1
	for _, tck := range own.inOrder() {
		if now.Add(own.starts.wait(start, now)).After(own.latestRateStart(tck)) {
			own.refuseWaiting(tck, siskinrill.ReasonBackendRateLimited)
			continue
		}
		start++
	}
}
