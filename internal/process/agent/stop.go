package agent

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// runningGrace is how long before the end of a stop requests that have not started are refused, so that those that have can end.
	runningGrace = time.Second
	// abortGrace is how long the last answers of a stop may take.
	abortGrace = 300 * time.Millisecond
	// drainPoll is the time between two checks of a drain.
	drainPoll = 20 * time.Millisecond
	// drainedGrace is how long a drained agent still serves callers, whose connections it asks to close; a request sent on a connection that closes at the same moment is lost to its caller.
	drainedGrace = time.Second
	// callerLeaveTime is how long callers need to notice that the agent is no longer ready: they ask every second and leave after two misses.
	callerLeaveTime = 2200 * time.Millisecond
	// maxCallerLeave bounds the wait for callers that come nevertheless; what is taken later could not end before the stop.
	maxCallerLeave = 2800 * time.Millisecond
	// idleTime is how long no request must have arrived for an earlier end of that.
	idleTime = 200 * time.Millisecond
)

// drain ends the work of the agent while everything that requests need still runs: callers and keys go elsewhere, and every request in hand gets its answer.
func (prc *Process) drain() {
	log := prc.options.Logger.WithField("name", prc.options.Settings.Name)
	prc.stopping.Store(true)
	begin, limit := time.Now(), prc.options.Settings.DrainTimeout
	switch {
	case limit == 0:
	case prc.options.Settings.KeepKeys:
		log.Info("agent: Draining.")
		prc.serveUntilCallersLeave(begin, min(maxCallerLeave, limit*2/3))
	default:
		log.Info("agent: Draining.")
		prc.releaseKeys(log, begin.Add(limit))
		// Requests that began during the drain may take as long as the drain itself.
		begin = time.Now()
	}
	prc.entry.Close()
	prc.owner.Close()
	prc.endRequests(log, begin.Add(max(limit, callerGrace)))
}

// releaseKeys waits until the agent owns nothing and has no request in flight, its lease is over, or the time is up.
func (prc *Process) releaseKeys(log *logrus.Entry, end time.Time) {
	prc.session.Drain()
	for time.Now().Before(end) {
		if prc.owner.Idle() {
			log.Info("agent: Drained.")
			prc.serveUntilIdle()
			return
		}
		// Without a lease the agent serves nothing, and control grants its keys elsewhere.
		if _, valid := prc.session.Expires(); !valid {
			log.Warn("agent: The lease ended during the drain.")
			return
		}
		time.Sleep(drainPoll)
	}
	log.Warn("agent: The drain took too long.")
}

// serveUntilCallersLeave serves callers until they have gone elsewhere, or for the longest time; the keys stay with the backend server for the next process beside it.
func (prc *Process) serveUntilCallersLeave(begin time.Time, limit time.Duration) {
	for time.Since(begin) < min(callerLeaveTime, limit) || time.Since(begin) < limit && time.Since(time.Unix(0, prc.lastRequest.Load())) < idleTime {
		time.Sleep(drainPoll)
	}
}

// endRequests returns once every request in hand has its answer, shortly after a time at the latest: some time before it those that have not started are refused, then those that still run are answered as unknown.
func (prc *Process) endRequests(log *logrus.Entry, end time.Time) {
	if prc.awaitIdle(end.Add(-runningGrace)) {
		log.Info("agent: Finished.")
		return
	}
	prc.entry.WithdrawQueued()
	prc.owner.DismissQueued()
	if prc.awaitIdle(end) {
		log.Info("agent: Finished without the requests that had not started.")
		return
	}
	lod := prc.owner.InHand()
	log.WithFields(logrus.Fields{"callers": prc.inFlight.Load(), "running": lod.GetRunning(), "queued": lod.GetQueued()}).Warn("agent: Requests still run at the stop.")
	prc.entry.LogInHand("A request is answered as unknown at the stop.")
	prc.entry.Abort()
	for limit := time.Now().Add(abortGrace); prc.inFlight.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(drainPoll)
	}
}

// awaitIdle waits until no request is in hand, or reports false at a time.
func (prc *Process) awaitIdle(end time.Time) bool {
	for {
		if prc.owner.Attempts() == 0 && prc.inFlight.Load() == 0 {
			return true
		}
		if !time.Now().Before(end) {
			return false
		}
		time.Sleep(drainPoll)
	}
}

// serveUntilIdle gives callers time to close their connections.
func (prc *Process) serveUntilIdle() {
	for end := time.Now().Add(drainedGrace); time.Now().Before(end); time.Sleep(drainPoll) {
		if time.Since(time.Unix(0, prc.lastRequest.Load())) > idleTime {
			return
		}
	}
}
