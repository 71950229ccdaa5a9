package backend

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// grantTimeout is the time in which a grant must be written and answered; what it grants ends within the lease even if it arrives at the last moment.
	grantTimeout = 400 * time.Millisecond
	// maxDirectHold is the longest time for which a call grants keys; a restarted agent must take all keys for held as long.
	maxDirectHold = 2500 * time.Millisecond
	// maxServerDirectHold is how long a backend server may hold keys that an earlier process beside it has granted by a call.
	maxServerDirectHold = time.Duration(float64(maxDirectHold)*clockDriftFactor) + grantTimeout
	// renewAhead is how long before the end of a hold it is renewed, enough for three calls without an answer.
	renewAhead = 1500 * time.Millisecond
	// minExtension is the least time by which a renewal prolongs a hold.
	minExtension = 300 * time.Millisecond
)

// grantCall is a grant of neighbouring rows under one token, on its way to the server.
type grantCall struct {
	keyRange    GrantedRange
	partitions  []uint32
	renews      bool // the server holds the first row under this token
	hold        time.Duration
	sendBy      time.Time // it is not written later
	incarnation uint64    // start of the server that it is meant for
	clockDrift  float64   // by which the server's clock may be slow
}

// until returns when the grant has surely ended that arrived at a time at the latest.
func (gcl *grantCall) until(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(float64(gcl.hold) * gcl.clockDrift))
}

// keyGrant returns the range as the server is told of it.
func (gcl *grantCall) keyGrant() siskinrill.KeyGrant {
	return siskinrill.NewKeyGrant(gcl.keyRange.First, gcl.keyRange.Last, gcl.keyRange.Token)
}

// refusal tells how a token was refused by a server that has seen a higher one on some key of the call.
type refusal int

const (
	refusedWithOthers refusal = iota + 1 // with other rows, so that the row is granted alone next
	refusedAlone                         // for good
)

// directHold returns for how long a call may grant keys now, under a lease that ends at a time.
func directHold(now, exp time.Time) time.Duration {
	left := exp.Sub(now) - grantTimeout
	return min(time.Duration(float64(left)/clockDriftFactor)-holdReserve, maxDirectHold).Truncate(time.Millisecond)
}

// dueGrants returns the grants to send now: rows that the server does not hold, and those whose hold ends soon together with their neighbours under the same token. exp is the end of the lease.
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

// needsGrant reports whether a row needs a grant that would last until a time; the caller holds the mutex.
func (kys *keys) needsGrant(row *controlpb.Shard, now, end time.Time) bool {
	hld, ok := kys.held[row.GetPartition()]
	if !ok || !hld.grantedHere || hld.token != row.GetToken() || !now.Before(hld.until) {
		return true
	}
	return hld.until.Sub(now) < renewAhead && end.Sub(hld.until) >= minExtension
}

// contiguousRows divides the rows that may be granted into neighbours that one call can grant; the caller holds the mutex.
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

// isExcluded reports whether a row is not to be granted any more. One that is to be given back is renewed for as long as that has to wait, unless a grant without an answer is what it waits for; the caller holds the mutex.
func (kys *keys) isExcluded(key grantKey, now time.Time) bool {
	rev := kys.revoked[key]
	return rev != nil && (rev.excluded || now.Before(kys.unacknowledged[key.partition]))
}

// canShareCall reports whether one call can grant both of two neighbours; the caller holds the mutex.
func (kys *keys) canShareCall(prev, row *controlpb.Shard) bool {
	if kys.refused[grantKey{prev.GetPartition(), prev.GetToken()}] != 0 || kys.refused[grantKey{row.GetPartition(), row.GetToken()}] != 0 {
		return false
	}
	return prev.GetPartition()+1 == row.GetPartition() && prev.GetToken() == row.GetToken() && kys.pendingHandover(prev) == kys.pendingHandover(row)
}

// pendingHandover returns what the earlier owner of a row left, empty once the server has taken the row; the caller holds the mutex.
func (kys *keys) pendingHandover(row *controlpb.Shard) string {
	if hld, ok := kys.held[row.GetPartition()]; ok && hld.grantedHere && hld.token == row.GetToken() {
		return ""
	}
	return row.GetHandover()
}

// newGrantCall notes a grant of a run of rows as being on its way; the caller holds the mutex.
func (kys *keys) newGrantCall(run []*controlpb.Shard, hold time.Duration, now time.Time, partitions uint32) *grantCall {
	fst, _ := siskinrill.KeyRange(run[0].GetPartition(), partitions)
	_, lst := siskinrill.KeyRange(run[len(run)-1].GetPartition(), partitions)
	hld, renews := kys.held[run[0].GetPartition()]
	gcl := &grantCall{
		renews:   renews && hld.grantedHere && hld.token == run[0].GetToken(),
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

// finishCall ends a call and reports whether it still counts; the caller holds the mutex.
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

// grantNotSent takes over that no byte of a grant was written.
func (kys *keys) grantNotSent(gcl *grantCall) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.finishCall(gcl)
}

// grantAnswered takes over that the server has answered a grant, which arrived by now.
func (kys *keys) grantAnswered(gcl *grantCall) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.finishCall(gcl) {
		return
	}
	for _, par := range gcl.partitions {
		hld := partitionHold{token: gcl.keyRange.Token, grantedHere: true, direct: true, from: now, until: gcl.until(now)}
		if old, ok := kys.held[par]; ok && now.Before(old.until) {
			hld.until = later(old.until, hld.until)
		}
		kys.held[par] = hld
	}
}

// grantUnanswered takes over that a grant may have arrived, and may be applied as long as its time runs. lost means that its connection ended, so that the server may have restarted.
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

// grantOutranked takes over that the server has seen a higher token on some key of a grant, and reports whether the grant is given up.
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

// releaseAnswered takes over that the server has finished its work on rows that it was told to release, with what it left for their next owner.
func (kys *keys) releaseAnswered(refs []*controlpb.ShardRef, handover string) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	for _, ref := range refs {
		if rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]; rev != nil {
			rev.released, rev.handover = true, handover
			delete(kys.held, ref.GetPartition())
		}
	}
	kys.wake()
}

// beginRelease ends the use of revoked rows once no grant of them can be applied any more behind their release. It returns true then, or a time to look again, zero if that is not known, and a channel for changes.
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
