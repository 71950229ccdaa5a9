package backend

import (
	"sync"
	"time"
)

// partitionHold is the server's time-limited right to a partition, granted in a heartbeat answer or by a
// call. Until its end, the server may hold any key of the partition.
type partitionHold struct {
	token    uint64
	partly   bool      // the server has to be granted the partition before it serves it again; it may hold, or work on, some keys
	direct   bool      // granted by a call
	from     time.Time // when the server is guaranteed to have applied the grant
	grantEnd time.Time // end of the grants by this process, see grantedHere; no request is sent later
	until    time.Time // end of everything that the server may hold of it, on the slowest clock that it may have
}

// grantedHere reports whether this process granted the partition; otherwise a previous agent process did, or the server does not hold all
// of it.
func (hld partitionHold) grantedHere() bool { return !hld.grantEnd.IsZero() }

// inPart returns the hold of a partition of which the server may hold some keys only.
func (hld partitionHold) inPart() partitionHold {
	return partitionHold{token: hld.token, partly: true, direct: hld.direct, until: hld.until}
}

// grantKey identifies a partition and the fencing token of its grant.
type grantKey struct {
	partition uint32
	token     uint64
}

// keys tracks the partitions that the server holds for a limited time and those being revoked. Both carriers
// of grants, heartbeat answers and calls, share it.
type keys struct {
	mu        sync.Mutex
	holdsKeys bool // the server has announced that it holds its keys for a limited time
	held      map[uint32]partitionHold
	// latestEnd is the latest end of a hold that this process has granted, or assumed when it first heard of it, by partition. A
	// heartbeat does not extend it.
	latestEnd map[uint32]time.Time
	revoked   map[grantKey]*revocation
	changed   chan struct{}
	// priorHoldsUntil is the latest end of holds granted by a previous agent process; zero before the first
	// heartbeat.
	priorHoldsUntil time.Time
	carrierUnknown  bool // the service was unknown at the first heartbeat, so priorHoldsUntil assumes the longer hold of the two carriers
	// partitions is the number of partitions by which the maps below are indexed, the last one that was configured; 0 for none.
	partitions   uint32
	serviceKnown bool // the service was configured since this process started
	unreadable   bool // the last heartbeat may list keys whose partitions are not known
	everDirect   bool // keys were granted by calls since this process started

	started         time.Time            // start of this agent process
	direct          bool                 // keys are granted by calls, not in heartbeat answers
	incarnation     uint64               // number of server restarts seen by this process
	inFlight        map[uint32]int       // number of grants in flight, by partition
	unacknowledged  map[uint32]time.Time // latest end of grants without an answer, which may still be applied, by partition
	refused         map[grantKey]refusal
	grantsSuspended bool // the server has or may have restarted, and control has not been notified
	faults          keyFaults
}

// keyFaults disables single rules, so that tests can prove that they detect the violation.
type keyFaults struct {
	ignoreUnacknowledged bool // treats a grant without an answer as not applied
	ignorePrior          bool // assumes that a previous agent process granted nothing
	exactClock           bool // treats the server's clock as exact
	releaseInFlight      bool // releases keys although a grant of them is in flight
	ignorePartly         bool // treats a partition as released although some of its keys are listed
}

func newKeys() keys {
	return keys{
		started: time.Now(), held: map[uint32]partitionHold{}, latestEnd: map[uint32]time.Time{}, revoked: map[grantKey]*revocation{}, changed: make(chan struct{}),
		inFlight: map[uint32]int{}, unacknowledged: map[uint32]time.Time{}, refused: map[grantKey]refusal{},
	}
}

// wake notifies everyone waiting for a change; the caller holds the mutex.
func (kys *keys) wake() {
	close(kys.changed)
	kys.changed = make(chan struct{})
}

// clear resets the state that belongs to the server's previous incarnation.
func (kys *keys) clear() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	clear(kys.held)
	clear(kys.latestEnd)
	clear(kys.inFlight)
	clear(kys.unacknowledged)
	clear(kys.refused)
	kys.unreadable = false
	kys.incarnation++
	kys.grantsSuspended = true
	if kys.holdsKeys {
		kys.priorHoldsUntil = time.Now()
	}
	kys.wake()
}

// setHold records a hold; the caller holds the mutex.
func (kys *keys) setHold(par uint32, hld partitionHold) {
	kys.held[par] = hld
	kys.latestEnd[par] = later(kys.latestEnd[par], hld.until)
}

// remaining returns the longest time for which the server may still hold any key.
func (kys *keys) remaining() time.Duration {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if kys.unreadable {
		return max(kys.longestKnown(), time.Until(kys.priorHoldsUntil))
	}
	return kys.longestKnown()
}

// remainingKnown returns the longest time for which the server may still hold a key whose partition is known.
func (kys *keys) remainingKnown() time.Duration {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	return kys.longestKnown()
}

// longestKnown is remainingKnown for a caller that holds the mutex.
func (kys *keys) longestKnown() time.Duration {
	longest := time.Duration(0)
	for _, hld := range kys.held {
		longest = max(longest, time.Until(hld.until))
	}
	for _, until := range kys.unacknowledged {
		longest = max(longest, time.Until(until))
	}
	if len(kys.inFlight) > 0 {
		longest = max(longest, maxServerDirectHold)
	}
	if kys.direct {
		// Heartbeats don't include keys that a previous agent process granted by calls.
		longest = max(longest, time.Until(kys.priorHoldsUntil))
	}
	return longest
}

// keyCounts are the figures of the keys at one time.
type keyCounts struct {
	held           int // partitions
	partly         int // of these, partitions that are held in part
	unacknowledged int // partitions with a grant without an answer that may still be applied
	minRemaining   time.Duration
}

// counts returns the present figures.
func (kys *keys) counts() keyCounts {
	cts := keyCounts{}
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	for _, hld := range kys.held {
		remaining := hld.until.Sub(now)
		if remaining <= 0 {
			continue
		}
		if cts.held++; cts.held == 1 || remaining < cts.minRemaining {
			cts.minRemaining = remaining
		}
		if hld.partly {
			cts.partly++
		}
	}
	for _, until := range kys.unacknowledged {
		if now.Before(until) {
			cts.unacknowledged++
		}
	}
	return cts
}
