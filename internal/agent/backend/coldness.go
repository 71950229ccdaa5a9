package backend

import (
	"time"
)

// maxAnnounceDelay is how late an announcement may arrive. One that arrives later than this after an event was certainly
// sent after it; a server that is not heard of for this time counts as failed.
const maxAnnounceDelay = announceExpiry

// coldness is what is known of how long the backend server remains cold. A statement that may be older than what is
// known can only prolong it, since too long a limit costs some waiting and too short a one the server.
type coldness struct {
	until time.Time // end of the coldness by the latest statement, or by the configured time after a start
	// since is when the coldness last began or was prolonged; a statement that was certainly made later replaces it.
	since time.Time
	// doubtful means that the server may have become cold before since, and counts as cold until a later statement.
	doubtful bool
}

// start begins the coldness of a server that has just started.
func (cld *coldness) start(now time.Time, length time.Duration) {
	*cld = coldness{until: now.Add(length), since: now}
}

// doubt makes the server count as cold until a statement that is made after now.
func (cld *coldness) doubt(now time.Time) { cld.since, cld.doubtful = now, true }

// state records a statement of the remaining time that arrived now and was made at earliest or later.
func (cld *coldness) state(left time.Duration, earliest, now time.Time) {
	end := now.Add(left)
	switch {
	case earliest.After(cld.since): // at the same instant, the order is not known
		cld.until, cld.doubtful = end, false
	case left > 0 && end.After(cld.until):
		cld.until = end
	default:
		return
	}
	if left > 0 {
		cld.since = now
	}
}

// silent records that the server says nothing of coldness where it could, at earliest or later. If it is doubtful whether
// it is cold, a coldness of the given length from before the doubt is over by then.
func (cld *coldness) silent(earliest time.Time, length time.Duration) {
	if cld.doubtful && !earliest.Before(cld.since.Add(length)) {
		cld.doubtful = false
	}
}

// left returns for how long the server remains cold, 0 if it is not; for a doubtful one at least a millisecond.
func (cld *coldness) left(now time.Time) time.Duration {
	rest := max(cld.until.Sub(now), 0)
	if cld.doubtful {
		return max(rest, time.Millisecond)
	}
	return rest
}
