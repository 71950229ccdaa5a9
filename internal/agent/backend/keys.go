package backend

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
)

// heldKeys is a partition that the server holds by an answer to a heartbeat or by a call.
type heldKeys struct {
	token   uint64
	offered bool      // by this process; another one before it may have granted the rest
	direct  bool      // by a call
	from    time.Time // when the server has surely taken it
	until   time.Time // by the slowest clock that the server may have
}

// grantKey names a partition under one token.
type grantKey struct {
	partition uint32
	token     uint64
}

// keys are the partitions that the server holds for a limited time, and those that it is to give back. Both carriers of grants, answers to heartbeats and calls, share them.
type keys struct {
	mu      sync.Mutex
	active  bool // the server has announced that it holds its keys for a limited time
	held    map[uint32]heldKeys
	revoked map[grantKey]*revocation
	changed chan struct{}
	// unknown is until when the server may hold keys that an earlier process beside it has granted, zero before the first heartbeat.
	unknown time.Time
	guessed bool // the service was not known at the first heartbeat, so that the longest hold of either carrier counts

	started time.Time            // of this process
	direct  bool                 // the server takes its keys from calls
	life    uint64               // rises when the server starts anew
	calls   map[uint32]int       // grants on their way, by partition
	late    map[uint32]time.Time // until when a grant without an answer may be applied, by partition
	refused map[grantKey]refusal
	doubt   bool // the server may have started anew, or has and control was not told yet
	flt     keyFaults
}

// keyFaults break single rules, so that tests can prove that they would notice.
type keyFaults struct {
	forgetLate    bool // a grant without an answer counts as not applied
	forgetEarlier bool // an earlier process beside the server counts as having granted nothing
	trueClock     bool // the server's clock counts as exact
	freeWhileSent bool // a grant on its way does not delay a release
}

func newKeys() keys {
	return keys{
		started: time.Now(), held: map[uint32]heldKeys{}, revoked: map[grantKey]*revocation{}, changed: make(chan struct{}),
		calls: map[uint32]int{}, late: map[uint32]time.Time{}, refused: map[grantKey]refusal{},
	}
}

// wake lets those look again that wait for a change; the caller holds the mutex.
func (kys *keys) wake() {
	close(kys.changed)
	kys.changed = make(chan struct{})
}

// clear forgets what an earlier start of the server held.
func (kys *keys) clear() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	clear(kys.held)
	clear(kys.calls)
	clear(kys.late)
	clear(kys.refused)
	kys.life++
	kys.doubt = true
	if kys.active {
		kys.unknown = time.Now()
	}
	kys.wake()
}

// left returns how long the server may still hold any key.
func (kys *keys) left() time.Duration {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	rest := time.Duration(0)
	for _, hld := range kys.held {
		rest = max(rest, time.Until(hld.until))
	}
	for _, until := range kys.late {
		rest = max(rest, time.Until(until))
	}
	if kys.direct {
		// Heartbeats do not tell what an earlier process has granted by calls.
		rest = max(rest, time.Until(kys.unknown))
	}
	return rest
}

// counts returns the partitions that the server holds, those for which a grant without an answer may still be applied, and the shortest time that is left of a hold.
func (kys *keys) counts() (held, late int, left time.Duration) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	for _, hld := range kys.held {
		rest := hld.until.Sub(now)
		if rest <= 0 {
			continue
		}
		if held++; held == 1 || rest < left {
			left = rest
		}
	}
	for _, until := range kys.late {
		if now.Before(until) {
			late++
		}
	}
	return held, late, left
}

// covered returns the partitions that lie whole in a range of keys.
func covered(first, last, partitions uint32) []uint32 {
	if partitions == 0 || first > last || last >= siskinrill.NumberKeys {
		return nil
	}
	var out []uint32
	for par := uint32(uint64(first) * uint64(partitions) / siskinrill.NumberKeys); par < partitions; par++ {
		fst, lst := siskinrill.KeyRange(par, partitions)
		if lst > last {
			break
		}
		if fst >= first {
			out = append(out, par)
		}
	}
	return out
}

// reported returns the tokens of the partitions that the server says it holds.
func reported(ann *Announcement, partitions uint32) map[uint32]uint64 {
	out := map[uint32]uint64{}
	for _, rng := range ann.Holds {
		for _, par := range covered(rng.First, rng.Last, partitions) {
			out[par] = rng.Token
		}
	}
	return out
}
