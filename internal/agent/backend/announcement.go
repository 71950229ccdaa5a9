package backend

import (
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

// Announcement is what a backend server tells of itself with each heartbeat, and the JSON body of POST /announce.
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
	// Incarnation rises with each start of the server, 0: not told.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Sequence rises with each heartbeat of an incarnation, so that a late one can be told, 0: not told.
	Sequence uint64 `json:"sequence,omitempty"`
	// HoldsKeys tells that the server takes its keys from the answers to its heartbeats.
	HoldsKeys bool `json:"holds_keys,omitempty"`
	// WarmupMs is for how long it stays slow after its start, in milliseconds; nil: not told.
	WarmupMs *uint32 `json:"warmup_ms,omitempty"`
	// Holds are the keys that it holds or still works on.
	Holds []HeldRange `json:"holds,omitempty"`
	// Released are the keys that it has given back since its last answered heartbeat.
	Released []ReleasedRange `json:"released,omitempty"`
}

// HeldRange is a range of keys, both ends included, that a backend server holds under a fencing token.
type HeldRange struct {
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Token uint64 `json:"token"`
}

// ReleasedRange is a range of keys, both ends included, that a backend server has given back, with what it leaves for the next owner.
type ReleasedRange struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Handover string `json:"handover"`
}

// GrantedRange is a range of keys, both ends included, that a backend server is to hold, with what the earlier owner left.
type GrantedRange struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Token    uint64 `json:"token"`
	Handover string `json:"handover,omitempty"`
}

// Standing is the answer to an announcement.
type Standing struct {
	Accepted bool   `json:"accepted"`
	Draining bool   `json:"draining"`
	MayStop  bool   `json:"may_stop"`
	Reason   string `json:"reason,omitempty"`
	// Holds is everything that the server is to hold; it counts only with a HoldMs over 0.
	Holds []GrantedRange `json:"holds,omitempty"`
	// HoldMs is how long it holds that, counted from when it sent its heartbeat, in milliseconds.
	HoldMs uint32 `json:"hold_ms,omitempty"`
}

// hold returns for how long the server is to hold its keys.
func (std *Standing) hold() time.Duration { return time.Duration(std.HoldMs) * time.Millisecond }

// AnnouncementError tells why an announcement is not taken.
type AnnouncementError struct {
	reason   string
	conflict bool
}

// Conflict reports whether another backend server is in its place.
func (ane *AnnouncementError) Conflict() bool { return ane.conflict }

// Error returns the reason.
func (ane *AnnouncementError) Error() string { return ane.reason }

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
	if ann.Slots == 0 || ann.Connections == 0 {
		return errors.New("slots and connections must be over 0")
	}
	return nil
}

// isOlderThan reports whether an announcement was sent before one that was taken already.
func (ann *Announcement) isOlderThan(than *Announcement) bool {
	if than == nil || ann.Incarnation == 0 || than.Incarnation == 0 {
		return false
	}
	if ann.Incarnation != than.Incarnation {
		return ann.Incarnation < than.Incarnation
	}
	return ann.ID == than.ID && ann.Sequence != 0 && ann.Sequence <= than.Sequence
}

// isSuccessorOf reports whether an announcement is of a later start of a server than one that was taken already.
func (ann *Announcement) isSuccessorOf(of *Announcement) bool {
	return of != nil && ann.Incarnation != 0 && of.Incarnation != 0 && ann.Incarnation > of.Incarnation
}
