package backend

import "time"

const (
	// leaveNotice is the time for which a server that is going to stop accepts connections after its last announcement that
	// does not state that it is leaving.
	leaveNotice = 2 * time.Second
	// noticeReserve covers delays of a connection attempt and of the server's timers.
	noticeReserve = 100 * time.Millisecond
	// lateFactor is the multiple of Options.AnnounceEvery after which an announcement is late, and minLateSlack the least time that
	// it is allowed beyond the interval. Servers vary the interval by announceJitter.
	lateFactor     = 1.25
	minLateSlack   = 250 * time.Millisecond
	announceJitter = 0.1
	// portCheckInterval is the shortest time between two checks whether the port of a server refuses connections.
	portCheckInterval = time.Second
	// firstSequence is the sequence number of the first announcement of a start of a server.
	firstSequence = 1
)

// portChecks are the times of the checks whether the port of a server refuses connections.
type portChecks struct {
	last  time.Time
	aging time.Time // arrival of the last announcement that isAging reported
}

// mustHaveCrashed reports whether a server whose port refuses connections can only have crashed. A server that stops as planned closes
// its port first, then finishes its work, and holds its keys until it has ended; but it announces that it is leaving before. So it has
// crashed if no such announcement can be missing: the last one is recent, and none was late for as long as a hold lasts. The caller
// holds the mutex.
func (cli *Client) mustHaveCrashed() bool {
	if cli.ann == nil || cli.ann.Leaving || cli.leaving {
		return false
	}
	return time.Since(cli.announcedAt) < cli.recentAge() && !cli.wasLate()
}

// wasLate reports whether an announcement was late within the time that a hold lasts; the caller holds the mutex.
func (cli *Client) wasLate() bool { return time.Since(cli.lateAt) < maxServerHold }

// lateAfter returns the time after an announcement, or its answer, at which the next one is late.
func (cli *Client) lateAfter() time.Duration {
	every := cli.opt.AnnounceEvery
	return max(time.Duration(lateFactor*float64(every)), every+minLateSlack)
}

// recentAge returns the age of the last announcement up to which the server cannot have stopped as planned after it.
func (cli *Client) recentAge() time.Duration { return leaveNotice - noticeReserve - cli.delay }

// hasOpenRuns reports whether the server may be at work on a request that was sent to it; the caller holds the mutex.
func (cli *Client) hasOpenRuns() bool {
	for rnn := range cli.runs {
		if rnn.gat.hasStarted() {
			return true
		}
	}
	return false
}

// concludeCrash records the end of a server that must have crashed and has no open runs any more, whose connections end with it, and
// reports whether that is new; its failure is then reported at once. The caller holds the mutex.
func (cli *Client) concludeCrash() bool {
	if !cli.crashed || cli.ended || cli.hasOpenRuns() {
		return false
	}
	cli.recordEnd()
	return true
}

// recordEnd records that the server has ended, so that its failure may be reported; the caller holds the mutex.
func (cli *Client) recordEnd() {
	cli.ended, cli.reportAfterEnd, cli.reportFrom = true, false, time.Time{}
}

// suspectsEnd reports whether to check if the port of a server that holds keys refuses connections: it has ended a connection, or it has
// no request and its last announcement will soon not be recent. So a crash is found while it can be told apart from a planned stop, also
// if no request is sent.
func (cli *Client) suspectsEnd() bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if !cli.ann.HoldsKeys || time.Since(cli.portChecks.last) < portCheckInterval {
		return false
	}
	connEnded, aging := cli.connEnded.Swap(false), cli.isAging()
	if aging {
		cli.portChecks.aging = cli.announcedAt
	}
	if !connEnded && !aging {
		return false
	}
	cli.portChecks.last = time.Now()
	return true
}

// isAging reports, once for each announcement, that it will soon not be recent while the server has no request; the caller holds the
// mutex.
func (cli *Client) isAging() bool {
	age, recent := time.Since(cli.announcedAt), cli.recentAge()
	if age < min(cli.lateAfter(), recent-2*tickInterval) || age >= recent {
		return false
	}
	return !cli.portChecks.aging.Equal(cli.announcedAt) && !cli.hasOpenRuns()
}
