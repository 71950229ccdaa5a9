package standin

import (
	"time"

	"github.com/siskinrill/siskinrill"
)

// releaseInterval is the time between announcements while the server releases keys.
const releaseInterval = 90 * time.Millisecond

// heldRange is a range of keys, both ends included, under one fencing token.
type heldRange struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Token    uint64 `json:"token"`
	Handover string `json:"handover,omitempty"` // of a grant only
}

// releasedRange is a range of keys, both ends included, that the server has released.
type releasedRange struct {
	First    uint32 `json:"first"`
	Last     uint32 `json:"last"`
	Handover string `json:"handover"`
}

// list returns what an announcement states: the keys that the server holds or works on, and those that it has released.
func (hks *heldKeys) list() ([]heldRange, []releasedRange) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	hks.releaseLeftOut()
	now := time.Now()
	var out []heldRange
	for key := range uint32(siskinrill.NumericKeyCount) {
		hky := &hks.keys[key]
		if hky.token != 0 && hky.running == 0 && !now.Before(hky.heldUntil) {
			hky.token, hky.leftOut = 0, false
		}
		switch num := len(out) - 1; {
		case hky.token == 0:
		case num >= 0 && out[num].Last+1 == key && out[num].Token == hky.token:
			out[num].Last = key
		default:
			out = append(out, heldRange{First: key, Last: key, Token: hky.token})
		}
	}
	return out, append([]releasedRange{}, hks.released...)
}

// applyAnswer takes the keys that an answer grants until a time and releases the others; the first count releases are acknowledged.
func (hks *heldKeys) applyAnswer(granted []heldRange, until time.Time, count int) {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	hks.released = hks.released[count:]
	if until.IsZero() {
		return
	}
	for key := range hks.keys {
		hks.keys[key].leftOut = hks.keys[key].token != 0
	}
	for _, rng := range granted {
		if siskinrill.ValidKeyRange(rng.First, rng.Last) {
			hks.take(rng.First, rng.Last, rng.Token, until)
		}
	}
	hks.releaseLeftOut()
}

// releaseLeftOut releases the keys that an answer has left out, but for those, or the whole ranges, that requests run for; the caller holds
// the mutex.
func (hks *heldKeys) releaseLeftOut() {
	for first := uint32(0); first < siskinrill.NumericKeyCount; first++ {
		if !hks.keys[first].leftOut {
			continue
		}
		last, running := first, false
		for key := first; key < siskinrill.NumericKeyCount && hks.keys[key].leftOut && hks.keys[key].token == hks.keys[first].token; key++ {
			last = key
			running = running || hks.keys[key].running > 0
		}
		if !running || hks.singleKeys {
			hks.releaseIdle(first, last)
		}
		first = last
	}
}

// releaseIdle releases the keys of a range that no request runs for; those whose hold has ended are not announced as released. The caller
// holds the mutex.
func (hks *heldKeys) releaseIdle(first, last uint32) {
	handover := hks.newHandover(first, last)
	for key := first; key <= last; key++ {
		hky := &hks.keys[key]
		if hky.running > 0 {
			continue
		}
		hky.token, hky.leftOut = 0, false
		if !time.Now().Before(hky.heldUntil) {
			continue
		}
		hky.heldUntil = time.Time{}
		if num := len(hks.released) - 1; num >= 0 && hks.released[num].Last+1 == key && hks.released[num].Handover == handover {
			hks.released[num].Last = key
			continue
		}
		hks.released = append(hks.released, releasedRange{First: key, Last: key, Handover: handover})
	}
}

// isReleasing reports whether the server has to announce a release, or works on keys that it has to release.
func (hks *heldKeys) isReleasing() bool {
	hks.mu.Lock()
	defer hks.mu.Unlock()
	if len(hks.released) > 0 {
		return true
	}
	for key := range hks.keys {
		if hks.keys[key].leftOut {
			return true
		}
	}
	return false
}
