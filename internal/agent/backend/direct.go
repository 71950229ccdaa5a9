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
	// longestDirect is how long a backend server may hold keys that an earlier process beside it has granted by a call.
	longestDirect = time.Duration(float64(maxDirectHold)*clockRate) + grantTimeout
	// renewAhead is how long before the end of a hold it is renewed, enough for three calls without an answer.
	renewAhead = 1500 * time.Millisecond
	// leastGain is the least time by which a renewal prolongs a hold.
	leastGain = 300 * time.Millisecond
)

// grantCall is a grant of neighbouring rows under one token, on its way to the server.
type grantCall struct {
	rng    GrantedRange
	parts  []uint32
	renews bool // the server holds the first row under this token
	hold   time.Duration
	sendBy time.Time // it is not written later
	life   uint64    // start of the server that it is meant for
	rate   float64   // by which the server's clock may be slow
}

// until returns when the grant has surely ended that arrived at a time at the latest.
func (gcl *grantCall) until(arrived time.Time) time.Time {
	return arrived.Add(time.Duration(float64(gcl.hold) * gcl.rate))
}

// keys returns the range as the server is told of it.
func (gcl *grantCall) keys() siskinrill.KeyGrant {
	return siskinrill.NewKeyGrant(gcl.rng.First, gcl.rng.Last, gcl.rng.Token)
}

// refusal tells how a token was refused by a server that has seen a higher one on some key of the call.
type refusal int

const (
	refusedTogether refusal = iota + 1 // with other rows, so that the row is granted alone next
	refusedAlone                       // for good
)

// directHold returns for how long a call may grant keys now, under a lease that ends at a time.
func directHold(now, exp time.Time) time.Duration {
	left := exp.Sub(now) - grantTimeout
	return min(time.Duration(float64(left)/clockRate)-holdReserve, maxDirectHold).Truncate(time.Millisecond)
}

// due returns the grants to send now: rows that the server does not hold, and those whose hold ends soon together with their neighbours under the same token. exp is the end of the lease.
func (kys *keys) due(rows []*controlpb.Shard, exp time.Time, partitions uint32) []*grantCall {
	now := time.Now()
	hold := directHold(now, exp)
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.prune(rows)
	if hold < leastHold || kys.doubt {
		return nil
	}
	end := now.Add(hold)
	var calls []*grantCall
	for _, run := range kys.runs(rows) {
		if !slices.ContainsFunc(run, func(row *controlpb.Shard) bool { return kys.wants(row, now, end) }) {
			continue
		}
		calls = append(calls, kys.call(run, hold, now, partitions))
	}
	return calls
}

// wants reports whether a row needs a grant that would last until a time; the caller holds the mutex.
func (kys *keys) wants(row *controlpb.Shard, now, end time.Time) bool {
	hld, ok := kys.held[row.GetPartition()]
	if !ok || !hld.offered || hld.token != row.GetToken() || !now.Before(hld.until) {
		return true
	}
	return hld.until.Sub(now) < renewAhead && end.Sub(hld.until) >= leastGain
}

// runs divides the rows that may be granted into neighbours that one call can grant; the caller holds the mutex.
func (kys *keys) runs(rows []*controlpb.Shard) [][]*controlpb.Shard {
	rows = slices.DeleteFunc(slices.Clone(rows), func(row *controlpb.Shard) bool {
		key := grantKey{row.GetPartition(), row.GetToken()}
		return kys.leaves(key, time.Now()) || kys.refused[key] == refusedAlone || kys.calls[row.GetPartition()] > 0
	})
	slices.SortFunc(rows, func(one, two *controlpb.Shard) int { return cmp.Compare(one.GetPartition(), two.GetPartition()) })
	var out [][]*controlpb.Shard
	for pos, row := range rows {
		if pos > 0 && kys.joins(rows[pos-1], row) {
			out[len(out)-1] = append(out[len(out)-1], row)
			continue
		}
		out = append(out, []*controlpb.Shard{row})
	}
	return out
}

// leaves reports whether a row is not to be granted any more. One that is to be given back is renewed for as long as that has to wait, unless a grant without an answer is what it waits for; the caller holds the mutex.
func (kys *keys) leaves(key grantKey, now time.Time) bool {
	rev := kys.revoked[key]
	return rev != nil && (rev.left || now.Before(kys.late[key.partition]))
}

// joins reports whether one call can grant both of two neighbours; the caller holds the mutex.
func (kys *keys) joins(prev, row *controlpb.Shard) bool {
	if kys.refused[grantKey{prev.GetPartition(), prev.GetToken()}] != 0 || kys.refused[grantKey{row.GetPartition(), row.GetToken()}] != 0 {
		return false
	}
	return prev.GetPartition()+1 == row.GetPartition() && prev.GetToken() == row.GetToken() && kys.handover(prev) == kys.handover(row)
}

// handover returns what the earlier owner of a row left, empty once the server has taken the row; the caller holds the mutex.
func (kys *keys) handover(row *controlpb.Shard) string {
	if hld, ok := kys.held[row.GetPartition()]; ok && hld.offered && hld.token == row.GetToken() {
		return ""
	}
	return row.GetHandover()
}

// call notes a grant of a run of rows as being on its way; the caller holds the mutex.
func (kys *keys) call(run []*controlpb.Shard, hold time.Duration, now time.Time, partitions uint32) *grantCall {
	fst, _ := siskinrill.KeyRange(run[0].GetPartition(), partitions)
	_, lst := siskinrill.KeyRange(run[len(run)-1].GetPartition(), partitions)
	hld, renews := kys.held[run[0].GetPartition()]
	gcl := &grantCall{
		renews: renews && hld.offered && hld.token == run[0].GetToken(),
		rng:    GrantedRange{First: fst, Last: lst, Token: run[0].GetToken(), Handover: kys.handover(run[0])},
		hold:   hold, sendBy: now.Add(grantTimeout), life: kys.life, rate: clockRate,
	}
	if kys.flt.trueClock {
		gcl.rate = 1
	}
	for _, row := range run {
		gcl.parts = append(gcl.parts, row.GetPartition())
		kys.calls[row.GetPartition()]++
	}
	return gcl
}

// settle ends a call and reports whether it still counts; the caller holds the mutex.
func (kys *keys) settle(gcl *grantCall) bool {
	if gcl.life != kys.life {
		return false
	}
	for _, par := range gcl.parts {
		if kys.calls[par]--; kys.calls[par] <= 0 {
			delete(kys.calls, par)
		}
	}
	kys.wake()
	return true
}

// unsent takes over that no byte of a grant was written.
func (kys *keys) unsent(gcl *grantCall) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.settle(gcl)
}

// granted takes over that the server has answered a grant, which arrived by now.
func (kys *keys) granted(gcl *grantCall) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.settle(gcl) {
		return
	}
	for _, par := range gcl.parts {
		hld := heldKeys{token: gcl.rng.Token, offered: true, direct: true, from: now, until: gcl.until(now)}
		if old, ok := kys.held[par]; ok && now.Before(old.until) {
			hld.until = later(old.until, hld.until)
		}
		kys.held[par] = hld
	}
}

// unanswered takes over that a grant may have arrived, and may be applied as long as its time runs. lost means that its connection ended, so that the server may have restarted.
func (kys *keys) unanswered(gcl *grantCall, lost bool) {
	until := gcl.until(time.Now())
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.settle(gcl) {
		return
	}
	kys.doubt = kys.doubt || lost
	if kys.flt.forgetLate {
		return
	}
	for _, par := range gcl.parts {
		kys.late[par] = later(kys.late[par], until)
	}
}

// outranked takes over that the server has seen a higher token on some key of a grant, and reports whether the grant is given up.
func (kys *keys) outranked(gcl *grantCall) bool {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.settle(gcl) {
		return false
	}
	how := refusedTogether
	if len(gcl.parts) == 1 {
		how = refusedAlone
	}
	for _, par := range gcl.parts {
		kys.refused[grantKey{par, gcl.rng.Token}] = how
	}
	return how == refusedAlone
}

// gaveBack takes over that the server has finished its work on rows that it was told to release, with what it left for their next owner.
func (kys *keys) gaveBack(refs []*controlpb.ShardRef, handover string) {
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

// withdraw ends the use of revoked rows once no grant of them can be applied any more behind their release. It returns true then, or a time to look again, zero if that is not known, and a channel for changes.
func (kys *keys) withdraw(refs []*controlpb.ShardRef) (bool, time.Time, <-chan struct{}) {
	now := time.Now()
	kys.mu.Lock()
	defer kys.mu.Unlock()
	quiet := kys.unknown
	for _, ref := range refs {
		if kys.calls[ref.GetPartition()] > 0 && !kys.flt.freeWhileSent {
			return false, time.Time{}, kys.changed
		}
		quiet = later(quiet, kys.late[ref.GetPartition()])
	}
	if now.Before(quiet) {
		return false, quiet, kys.changed
	}
	for _, ref := range refs {
		if rev := kys.revoked[grantKey{ref.GetPartition(), ref.GetToken()}]; rev != nil {
			rev.left = true
		}
	}
	return true, time.Time{}, nil
}
