package backend

import (
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
)

const (
	// maxSlots is the maximum number of slots, and of connections, of a backend server.
	maxSlots = 1 << 16
	// maxSequence is the largest sequence number that a JSON number of any sender holds exactly.
	maxSequence = 1<<53 - 1
)

// Announcement is a heartbeat of a backend server, and the JSON body of POST /announce.
type Announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	URL         string `json:"url"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	ChecksFence bool   `json:"checks_fence"`
	HealthPath  string `json:"health_path"`
	GrantsPath  string `json:"grants_path"`
	Leaving     bool   `json:"leaving"`
	// Incarnation increases with each start of the server; 0: not stated.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Sequence increases with each heartbeat of an incarnation, to detect heartbeats that arrive out of
	// order; 0: not stated.
	Sequence uint64 `json:"sequence,omitempty"`
	// HoldsKeys states that the server holds its keys for a limited time.
	HoldsKeys bool `json:"holds_keys,omitempty"`
	// WarmupMs is how long the server is still slow after its start, in milliseconds; nil: not stated.
	WarmupMs *uint32 `json:"warmup_ms,omitempty"`
	// Holds are the keys that the server holds or still works on.
	Holds []HeldRange `json:"holds,omitempty"`
	// Released are the keys that the server has released since its last answered heartbeat.
	Released []ReleasedRange `json:"released,omitempty"`
}

// HeldRange is a range of keys, both ends included, that a backend server holds under a fencing token.
type HeldRange struct {
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Token uint64 `json:"token"`
}

// ReleasedRange is a range of keys, both ends included, that a backend server has released, with the handover
// for the next owner.
type ReleasedRange struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Handover string `json:"handover"`
}

// GrantedRange is a range of keys, both ends included, that a backend server is to hold, with the handover of
// the previous owner.
type GrantedRange struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Token    uint64 `json:"token"`
	Handover string `json:"handover,omitempty"`
}

// AnnouncementAnswer is the JSON answer to an announcement.
type AnnouncementAnswer struct {
	Accepted bool   `json:"accepted"`
	Draining bool   `json:"draining"`
	MayStop  bool   `json:"may_stop"`
	Reason   string `json:"reason,omitempty"`
	// Holds is everything that the server is to hold; it is valid only if HoldMs is over 0.
	Holds []GrantedRange `json:"holds,omitempty"`
	// HoldMs is the duration of the hold, counted from when the server sent its heartbeat, in milliseconds.
	HoldMs uint32 `json:"hold_ms,omitempty"`
}

// hold returns the duration of the hold.
func (std *AnnouncementAnswer) hold() time.Duration {
	return time.Duration(std.HoldMs) * time.Millisecond
}

// AnnouncementError states why an announcement was rejected.
type AnnouncementError struct {
	reason   string
	conflict bool
}

// Conflict reports whether the announcement was rejected because another backend server is announced.
func (ane *AnnouncementError) Conflict() bool { return ane.conflict }

// Error returns the reason.
func (ane *AnnouncementError) Error() string { return ane.reason }

// check reports what makes an announcement invalid.
func (ann *Announcement) check() error {
	if ann.ID == "" || ann.Service == "" {
		return errors.New("id and service are required")
	}
	loc, err := url.Parse(ann.URL)
	if err != nil {
		return errors.Wrap(err, "url")
	}
	if loc.Scheme != "http" || loc.Host == "" {
		return errors.Errorf("url %q is not an http URL with a host", ann.URL)
	}
	if prt := loc.Port(); prt != "" {
		if num, err := strconv.ParseUint(prt, 10, 16); err != nil || num == 0 {
			return errors.Errorf("url %q has a port out of range; allowed: 1 to 65535", ann.URL)
		}
	}
	if ann.Slots == 0 || ann.Connections == 0 || ann.Slots > maxSlots || ann.Connections > maxSlots {
		return errors.Errorf("slots and connections are %d and %d; allowed: 1 to %d", ann.Slots, ann.Connections, maxSlots)
	}
	if ann.Sequence > maxSequence {
		return errors.Errorf("sequence is %d; allowed: up to %d", ann.Sequence, uint64(maxSequence))
	}
	return ann.checkRanges()
}

// checkRanges reports a range that contains no key or ends behind the last one.
func (ann *Announcement) checkRanges() error {
	for _, rng := range ann.Holds {
		if !siskinrill.ValidKeyRange(rng.First, rng.Last) {
			return errors.Errorf("holds %d to %d, which is no range of keys", rng.First, rng.Last)
		}
	}
	for _, rng := range ann.Released {
		if !siskinrill.ValidKeyRange(rng.First, rng.Last) {
			return errors.Errorf("released %d to %d, which is no range of keys", rng.First, rng.Last)
		}
	}
	return nil
}

// start returns the start of the server that the announcement states.
func (ann *Announcement) start() siskinrill.ServerStart {
	return siskinrill.ServerStart{ID: ann.ID, Incarnation: ann.Incarnation}
}

// isOlderThan reports whether an announcement was sent before one that was already accepted; false if either
// states no incarnation.
func (ann *Announcement) isOlderThan(than *Announcement) bool {
	if than == nil || !ann.start().IsStated() {
		return false
	}
	if ann.start() == than.start() {
		return ann.Sequence != 0 && ann.Sequence <= than.Sequence
	}
	return ann.start().Precedes(than.start())
}

// isSuccessorOf reports whether an announcement belongs to a later start than one that was already accepted.
func (ann *Announcement) isSuccessorOf(of *Announcement) bool {
	return of != nil && of.start().Precedes(ann.start())
}

// isOtherStart reports whether two announcements state different starts.
func (ann *Announcement) isOtherStart(cur *Announcement) bool {
	return ann.start().Differs(cur.start())
}

// follows reports whether two announcements are of the same start, in order.
func (ann *Announcement) follows(old *Announcement) bool {
	return old != nil && !ann.isOtherStart(old) && ann.Sequence > old.Sequence
}
