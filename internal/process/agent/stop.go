package agent

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// runningGrace is how long before the end of a stop waiting requests are refused, so that running ones can finish.
	runningGrace = time.Second
	// abortGrace is the time for sending the answers to requests that are aborted.
	abortGrace = 300 * time.Millisecond
	// drainPoll is the interval at which the conditions of a drain are checked.
	drainPoll = 20 * time.Millisecond
	// drainedGrace is how long a drained agent still serves callers and closes their connections after the answers; a
	// request that is sent while its connection is being closed gets no answer.
	drainedGrace = time.Second
	// callerLeaveTime is how long callers take to detect that the agent is no longer ready; they check every second and
	// leave after two failed checks.
	callerLeaveTime = 2200 * time.Millisecond
	// maxCallerLeave limits the wait for callers that still send requests; a request accepted later could not finish before
	// the stop.
	maxCallerLeave = 2800 * time.Millisecond
	// idleTime is the time without a new request after which these waits end early.
	idleTime = 200 * time.Millisecond
)

// drain moves callers and keys to other agents and waits until every request in flight is answered; all parts of the agent
// that requests need are still running.
func (prc *Process) drain() {
	log := prc.options.Logger.WithField("name", prc.options.Settings.Name)
	prc.stopping.Store(true)
	begin, limit := time.Now(), prc.options.Settings.DrainTimeout
	switch {
	case limit == 0:
	case prc.options.Settings.KeepKeys:
		log.Info("agent: Draining.")
		prc.entry.StopAt(begin.Add(limit))
		prc.owner.StopAt(begin.Add(limit))
		prc.serveUntilCallersLeave(begin, min(maxCallerLeave, limit*2/3))
	default:
		log.Info("agent: Draining.")
		prc.releaseKeys(log, begin.Add(limit))
		// Requests that started during the drain have the full time again.
		begin = time.Now()
	}
	prc.entry.Close()
	prc.owner.Close()
	prc.endRequests(log, begin.Add(max(limit, callerGrace)))
}

// releaseKeys requests a drain and waits until the agent owns no keys and has no request in flight, its lease has ended, or
// the time end is reached.
func (prc *Process) releaseKeys(log *logrus.Entry, end time.Time) {
	prc.session.Drain()
	for time.Now().Before(end) {
		if prc.owner.Idle() {
			log.Info("agent: Drained.")
			prc.serveUntilIdle()
			return
		}
		// Without a lease the agent serves no requests, and control grants its keys to other agents.
		if _, valid := prc.session.Expires(); !valid {
			log.Warn("agent: The lease expired during the drain.")
			return
		}
		time.Sleep(drainPoll)
	}
	log.Warn("agent: The drain did not finish within its timeout.")
}

// serveUntilCallersLeave waits until callers have left, for limit at most; the backend server keeps its keys for the agent
// process that replaces this one.
func (prc *Process) serveUntilCallersLeave(begin time.Time, limit time.Duration) {
	for time.Since(begin) < min(callerLeaveTime, limit) || time.Since(begin) < limit && time.Since(time.Unix(0, prc.lastRequest.Load())) < idleTime {
		time.Sleep(drainPoll)
	}
}

// endRequests waits until every request in flight is answered. Requests that have not started are refused runningGrace
// before end, and requests that still run at end are answered as unknown, within abortGrace.
func (prc *Process) endRequests(log *logrus.Entry, end time.Time) {
	if prc.awaitIdle(end.Add(-runningGrace)) {
		log.Info("agent: All requests have finished.")
		return
	}
	prc.entry.WithdrawQueued()
	prc.owner.RefuseQueued()
	if prc.awaitIdle(end) {
		log.Info("agent: All running requests have finished; waiting requests were refused.")
		return
	}
	lod := prc.owner.CurrentLoad()
	log.WithFields(logrus.Fields{"callers": prc.inFlight.Load(), "running": lod.GetRunning(), "queued": lod.GetQueued()}).Warn("agent: Requests are still running at the end of the stop.")
	prc.entry.LogInFlight("Request did not finish before the stop; its outcome is answered as unknown.")
	prc.entry.Abort()
	for limit := time.Now().Add(abortGrace); prc.inFlight.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(drainPoll)
	}
}

// awaitIdle waits until no request is in flight; it returns false if the time end is reached first.
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

// serveUntilIdle waits until no more requests arrive, for drainedGrace at most.
func (prc *Process) serveUntilIdle() {
	for end := time.Now().Add(drainedGrace); time.Now().Before(end); time.Sleep(drainPoll) {
		if time.Since(time.Unix(0, prc.lastRequest.Load())) > idleTime {
			return
		}
	}
}
