package backend

import (
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
)

// partitionHold is a partition that the server holds by an answer to a heartbeat or by a call.
type partitionHold struct {
	token       uint64
	grantedHere bool      // by this process; another one before it may have granted the rest
	direct      bool      // by a call
	from        time.Time // when the server has surely taken it
	until       time.Time // by the slowest clock that the server may have
}

// grantKey names a partition under one token.
type grantKey struct {
	partition uint32
	token     uint64
}

// keys are the partitions that the server holds for a limited time, and those that it is to give back. Both carriers of grants, answers to heartbeats and calls, share them.
type keys struct {
	mu        sync.Mutex
	holdsKeys bool // the server has announced that it holds its keys for a limited time
	held      map[uint32]partitionHold
	revoked   map[grantKey]*revocation
	changed   chan struct{}
	// priorHoldsUntil is until when the server may hold keys that an earlier process beside it has granted, zero before the first heartbeat.
	priorHoldsUntil time.Time
	carrierUnknown  bool // the service was not known at the first heartbeat, so that the longest hold of either carrier counts

	started         time.Time            // of this process
	direct          bool                 // the server takes its keys from calls
	incarnation     uint64               // rises when the server starts anew
	inFlight        map[uint32]int       // grants on their way, by partition
	unacknowledged  map[uint32]time.Time // until when a grant without an answer may be applied, by partition
	refused         map[grantKey]refusal
	grantsSuspended bool // the server may have started anew, or has and control was not told yet
	faults          keyFaults
}

// keyFaults break single rules, so that tests can prove that they would notice.
type keyFaults struct {
	ignoreUnacknowledged bool // a grant without an answer counts as not applied
	ignorePrior          bool // an earlier process beside the server counts as having granted nothing
	exactClock           bool // the server's clock counts as exact
	releaseInFlight      bool // a grant on its way does not delay a release
}

func newKeys() keys {
	return keys{
		started: time.Now(), held: map[uint32]partitionHold{}, revoked: map[grantKey]*revocation{}, changed: make(chan struct{}),
		inFlight: map[uint32]int{}, unacknowledged: map[uint32]time.Time{}, refused: map[grantKey]refusal{},
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
	clear(kys.inFlight)
	clear(kys.unacknowledged)
	clear(kys.refused)
	kys.incarnation++
	kys.grantsSuspended = true
	if kys.holdsKeys {
		kys.priorHoldsUntil = time.Now()
	}
	kys.wake()
}

// remaining returns how long the server may still hold any key.
func (kys *keys) remaining() time.Duration {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	longest := time.Duration(0)
	for _, hld := range kys.held {
		longest = max(longest, time.Until(hld.until))
	}
	for _, until := range kys.unacknowledged {
		longest = max(longest, time.Until(until))
	}
	if kys.direct {
		// Heartbeats do not tell what an earlier process has granted by calls.
		longest = max(longest, time.Until(kys.priorHoldsUntil))
	}
	return longest
}

// counts returns the partitions that the server holds, those for which a grant without an answer may still be applied, and the shortest time that is left of a hold.
func (kys *keys) counts() (held, unacknowledged int, minRemaining time.Duration) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	for _, hld := range kys.held {
		remaining := hld.until.Sub(now)
		if remaining <= 0 {
			continue
		}
		if held++; held == 1 || remaining < minRemaining {
			minRemaining = remaining
		}
	}
	for _, until := range kys.unacknowledged {
		if now.Before(until) {
			unacknowledged++
		}
	}
	return held, unacknowledged, minRemaining
}

// partitionsWithin returns the partitions that lie whole in a range of keys.
func partitionsWithin(first, last, partitions uint32) []uint32 {
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

// reportedTokens returns the tokens of the partitions that the server says it holds.
func reportedTokens(ann *Announcement, partitions uint32) map[uint32]uint64 {
	out := map[uint32]uint64{}
	for _, rng := range ann.Holds {
		for _, par := range partitionsWithin(rng.First, rng.Last, partitions) {
			out[par] = rng.Token
		}
	}
	return out
}
