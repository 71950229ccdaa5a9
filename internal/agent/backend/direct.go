package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// grantTimeout bounds writing and answering a grant; the granted hold ends within the lease even if the
	// call arrives at the last moment.
	grantTimeout = 400 * time.Millisecond
	// maxDirectHold is the longest hold that a call grants; after a restart, the agent must treat all keys as
	// held for as long.
	maxDirectHold = 2500 * time.Millisecond
	// maxServerDirectHold is the longest time for which a backend server may hold keys that a previous agent
	// process granted by a call.
	maxServerDirectHold = time.Duration(float64(maxDirectHold)*clockDriftFactor) + grantTimeout
	// renewAhead is how long before its end a hold is renewed, enough for three calls without an answer.
	renewAhead = 1500 * time.Millisecond
	// minExtension is the shortest extension worth a renewal.
	minExtension = 300 * time.Millisecond
)

// grantCall is a call that grants contiguous rows under one token.
type grantCall struct {
	keyRange    GrantedRange
	partitions  []uint32
	renews      bool // the server already holds the first row under this token
	hold        time.Duration
	sendBy      time.Time // deadline for writing the call
	incarnation uint64    // keys.incarnation when the call was created
	clockDrift  float64   // clock drift factor of the server
}

// until returns the time by which a grant that arrived no later than arrived has expired.
func (gcl *grantCall) until(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(float64(gcl.hold) * gcl.clockDrift))
}

// keyGrant returns the grant as it is sent to the server.
func (gcl *grantCall) keyGrant() siskinrill.KeyGrant {
	return siskinrill.NewKeyGrant(gcl.keyRange.First, gcl.keyRange.Last, gcl.keyRange.Token)
}

// refusal records how the server refused a token because it has seen a higher one for some key of the call.
type refusal int

const (
	refusedWithOthers refusal = iota + 1 // in a call with other rows; the row is retried in a call of its own
	refusedAlone                         // in a call of its own; not retried
)

// directHold returns the longest hold that a call may grant now under a lease that ends at exp.
func directHold(now, exp time.Time) time.Duration {
	remaining := exp.Sub(now) - grantTimeout
	return min(time.Duration(float64(remaining)/clockDriftFactor)-holdReserve, maxDirectHold).Truncate(time.Millisecond)
}

// dueGrants returns the grants to send now: rows that the server does not hold, and rows whose hold ends soon
// together with their neighbours under the same token. exp is the end of the lease.
func (kys *keys) dueGrants(rows []*controlpb.Shard, exp time.Time, partitions uint32) []*grantCall {
	now := time.Now()
	hold := directHold(now, exp)
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.pruneRevoked(rows)
	if hold < minHold || kys.grantsSuspended {
		return nil
	}
	end := now.Add(hold)
	var calls []*grantCall
	for _, run := range kys.contiguousRows(rows) {
		if !slices.ContainsFunc(run, func(row *controlpb.Shard) bool { return kys.needsGrant(row, now, end) }) {
			continue
		}
		calls = append(calls, kys.newGrantCall(run, hold, now, partitions))
	}
	return calls
}

// needsGrant reports whether a row is not held, or its hold expires soon and would be extended enough by a
// grant until end; the caller holds the mutex.
func (kys *keys) needsGrant(row *controlpb.Shard, now, end time.Time) bool {
	hld := kys.held[row.GetPartition()]
	if hld.token != row.GetToken() || !now.Before(hld.grantEnd) {
		return true
	}
	return hld.grantEnd.Sub(now) < renewAhead && end.Sub(hld.grantEnd) >= minExtension
}

// contiguousRows groups the rows that may be granted into ranges that one call can grant; the caller holds
// the mutex.
func (kys *keys) contiguousRows(rows []*controlpb.Shard) [][]*controlpb.Shard {
	rows = slices.DeleteFunc(slices.Clone(rows), func(row *controlpb.Shard) bool {
		key := grantKey{row.GetPartition(), row.GetToken()}
		return kys.isExcluded(key, time.Now()) || kys.refused[key] == refusedAlone || kys.inFlight[row.GetPartition()] > 0
	})
	slices.SortFunc(rows, func(one, two *controlpb.Shard) int { return cmp.Compare(one.GetPartition(), two.GetPartition()) })
	var out [][]*controlpb.Shard
	for pos, row := range rows {
		if pos > 0 && kys.canShareCall(rows[pos-1], row) {
			out[len(out)-1] = append(out[len(out)-1], row)
			continue
		}
		out = append(out, []*controlpb.Shard{row})
	}
	return out
}

// isExcluded reports whether a row must no longer be granted. A row being revoked is renewed while its
// release has to wait, unless it waits for an unacknowledged grant; the caller holds the mutex.
func (kys *keys) isExcluded(key grantKey, now time.Time) bool {
	rev := kys.revoked[key]
	return rev != nil && (rev.excluded || now.Before(kys.unacknowledged[key.partition]))
}

// canShareCall reports whether one call can grant two consecutive rows; the caller holds the mutex.
func (kys *keys) canShareCall(prev, row *controlpb.Shard) bool {
	if kys.refused[grantKey{prev.GetPartition(), prev.GetToken()}] != 0 || kys.refused[grantKey{row.GetPartition(), row.GetToken()}] != 0 {
		return false
	}
	return prev.GetPartition()+1 == row.GetPartition() && prev.GetToken() == row.GetToken() && kys.pendingHandover(prev) == kys.pendingHandover(row)
}

// pendingHandover returns the handover of a row's previous owner, empty once the server holds the row; the
// caller holds the mutex.
func (kys *keys) pendingHandover(row *controlpb.Shard) string {
	if hld := kys.held[row.GetPartition()]; hld.grantedHere() && hld.token == row.GetToken() {
		return ""
	}
	return row.GetHandover()
}

// newGrantCall creates the grant of a range of rows and records it as in flight; the caller holds the mutex.
func (kys *keys) newGrantCall(run []*controlpb.Shard, hold time.Duration, now time.Time, partitions uint32) *grantCall {
	fst, _ := siskinrill.KeyRange(run[0].GetPartition(), partitions)
	_, lst := siskinrill.KeyRange(run[len(run)-1].GetPartition(), partitions)
	hld := kys.held[run[0].GetPartition()]
	gcl := &grantCall{
		renews:   hld.grantedHere() && hld.token == run[0].GetToken(),
		keyRange: GrantedRange{First: fst, Last: lst, Token: run[0].GetToken(), Handover: kys.pendingHandover(run[0])},
		hold:     hold, sendBy: now.Add(grantTimeout), incarnation: kys.incarnation, clockDrift: clockDriftFactor,
	}
	if kys.faults.exactClock {
		gcl.clockDrift = 1
	}
	for _, row := range run {
		gcl.partitions = append(gcl.partitions, row.GetPartition())
		kys.inFlight[row.GetPartition()]++
	}
	return gcl
}

// finishCall removes a call from the grants in flight and reports whether it belongs to the server's current
// incarnation; the caller holds the mutex.
func (kys *keys) finishCall(gcl *grantCall) bool {
	if gcl.incarnation != kys.incarnation {
		return false
	}
	for _, par := range gcl.partitions {
		if kys.inFlight[par]--; kys.inFlight[par] <= 0 {
			delete(kys.inFlight, par)
		}
	}
	kys.wake()
	return true
}

// grantNotApplied records that a grant was not applied: no byte of it was written, or the server refused it.
func (kys *keys) grantNotApplied(gcl *grantCall) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.finishCall(gcl)
}

// grantAnswered records a successful answer to a grant; the hold counts from now at the latest.
func (kys *keys) grantAnswered(gcl *grantCall) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.finishCall(gcl) {
		return
	}
	for _, par := range gcl.partitions {
		end := gcl.until(now)
		old := kys.held[par]
		kys.setHold(par, partitionHold{
			token: gcl.keyRange.Token, direct: true, from: now, grantEnd: later(old.grantEnd, end), until: later(old.until, end),
		})
	}
}

// grantUnanswered records that a grant may have arrived and may be applied until its hold expires.
// connectionLost means that the server may have restarted.
func (kys *keys) grantUnanswered(gcl *grantCall, connectionLost bool) {
	until := gcl.until(time.Now())
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.finishCall(gcl) {
		return
	}
	kys.grantsSuspended = kys.grantsSuspended || connectionLost
	if kys.faults.ignoreUnacknowledged {
		return
	}
	for _, par := range gcl.partitions {
		kys.unacknowledged[par] = later(kys.unacknowledged[par], until)
	}
}

// grantOutranked records that the server has seen a higher token for some key of a grant, and reports whether
// the grant is abandoned.
func (kys *keys) grantOutranked(gcl *grantCall) bool {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.finishCall(gcl) {
		return false
	}
	how := refusedWithOthers
	if len(gcl.partitions) == 1 {
		how = refusedAlone
	}
	for _, par := range gcl.partitions {
		kys.refused[grantKey{par, gcl.keyRange.Token}] = how
	}
	return how == refusedAlone
}

// releaseAnswered records that the server has finished its work on released rows, with the handover for their
// next owner.
func (kys *keys) releaseAnswered(refs []*controlpb.ShardRef, handover string) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	for _, ref := range refs {
		if rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]; rev != nil {
			rev.released = true
			rev.addHandover(ReleasedRange{First: rev.first, Last: rev.last, Handover: handover})
			delete(kys.held, ref.GetPartition())
		}
	}
	kys.wake()
}

// beginRelease excludes revoked rows from use once no earlier grant of them can be applied after their
// release, and then returns true. Otherwise it returns when to check again, zero if unknown, and a channel
// closed at the next change.
func (kys *keys) beginRelease(refs []*controlpb.ShardRef) (bool, time.Time, <-chan struct{}) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	safeFrom := kys.priorHoldsUntil
	for _, ref := range refs {
		if kys.inFlight[ref.GetPartition()] > 0 && !kys.faults.releaseInFlight {
			return false, time.Time{}, kys.changed
		}
		safeFrom = later(safeFrom, kys.unacknowledged[ref.GetPartition()])
	}
	if now.Before(safeFrom) {
		return false, safeFrom, kys.changed
	}
	for _, ref := range refs {
		if rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]; rev != nil {
			rev.excluded = true
		}
	}
	return true, time.Time{}, nil
}
