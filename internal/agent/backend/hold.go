package backend

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// clockDriftFactor is how much slower than true time a backend server's clock may run that measures its hold.
	clockDriftFactor = 1.02
	// holdReserve is the part of the lease that is not passed on, for the time between the computation and the sending of an answer.
	holdReserve = 20 * time.Millisecond
	// maxHold is the longest hold that backend servers accept.
	maxHold = 10 * time.Second
	// maxServerHold is how long a backend server may hold a key whose grant is not known here.
	maxServerHold = time.Duration(float64(maxHold) * clockDriftFactor)
	// minHold is the shortest hold worth granting: the next heartbeat could not come in time.
	minHold = 100 * time.Millisecond
	// answerReadTime is how long the server may take to read the answer to its heartbeat; a request before that would find keys that it does not hold yet.
	answerReadTime = 3 * time.Millisecond
	// maxAnswerWait is how long the answer to a heartbeat may wait for keys that are on their way; the server gives it up after 1 s, and sends the next heartbeat 0.8 s after this one at the earliest.
	maxAnswerWait = 600 * time.Millisecond
	// answerPollInterval is the time between two looks at those keys.
	answerPollInterval = 20 * time.Millisecond
	// minRemainingHold must be left of a hold for its renewal to wait; one more heartbeat may then be lost.
	minRemainingHold = 1500 * time.Millisecond
	// causeRefused is the cause of a failure that proves that the server has ended.
	causeRefused = "refused"
)

// applyHeartbeat brings the view up to what a heartbeat tells. Heartbeats follow each other, so whatever an earlier answer granted and this one does not name was not received or has been given back.
func (kys *keys) applyHeartbeat(ann *Announcement, partitions uint32) map[uint32]uint64 {
	rep := reportedTokens(ann, partitions)
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.holdsKeys, kys.direct = true, false
	if kys.priorHoldsUntil.IsZero() {
		kys.priorHoldsUntil = time.Now().Add(maxServerHold)
		kys.carrierUnknown = partitions == 0
	}
	kys.carrierUnknown = kys.carrierUnknown && partitions == 0
	for _, rng := range ann.Released {
		for _, par := range partitionsWithin(rng.First, rng.Last, partitions) {
			kys.recordHandover(par, rng.Handover)
		}
	}
	for par, hld := range kys.held {
		tok, ok := rep[par]
		switch {
		case !ok:
			if hld.direct {
				// The service has changed its carrier, and what a call has granted need not be named in a heartbeat.
				kys.unacknowledged[par] = later(kys.unacknowledged[par], hld.until)
			}
			delete(kys.held, par)
		case tok != hld.token:
			// It has not received the renewal of the token.
			hld.token = tok
			kys.held[par] = hld
		}
	}
	for par, tok := range rep {
		if _, ok := kys.held[par]; !ok {
			// An earlier process beside the server has granted it, for a time that is not known here.
			kys.held[par] = partitionHold{token: tok, until: time.Now().Add(maxServerHold)}
		}
	}
	for key, rev := range kys.revoked {
		_, holds := rep[key.partition]
		rev.released = rev.released || rev.excluded && !holds
	}
	kys.wake()
	return rep
}

// applyDirectHeartbeat takes a heartbeat of a server that takes its keys from calls.
func (kys *keys) applyDirectHeartbeat() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.holdsKeys, kys.direct = true, true
	if kys.priorHoldsUntil.IsZero() || kys.carrierUnknown {
		kys.carrierUnknown = false
		kys.priorHoldsUntil = kys.started.Add(maxServerDirectHold)
		if kys.faults.ignorePrior {
			kys.priorHoldsUntil = kys.started
		}
	}
}

// resumeGrants lets grants go on after a heartbeat whose start of the server control was told.
func (kys *keys) resumeGrants() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.grantsSuspended = false
}

func (kys *keys) recordHandover(par uint32, handover string) {
	for key, rev := range kys.revoked {
		if key.partition == par {
			rev.handover = handover
		}
	}
}

// selectGrants returns the rows to grant with an answer, in the order of their keys; rep is what the server holds. A revoked row is served until an answer leaves it out, because the server gives nothing back before.
func (kys *keys) selectGrants(rows []*controlpb.Shard, rep map[uint32]uint64, svc string, until time.Time, maxRanges int) []*controlpb.Shard {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.pruneRevoked(rows)
	var out []*controlpb.Shard
	for _, row := range rows {
		if row.GetService() != svc || row.GetKey() != "" {
			continue
		}
		if rev := kys.revoked[grantKey{row.GetPartition(), row.GetToken()}]; rev != nil {
			rev.excluded = true
			delete(kys.held, row.GetPartition())
			continue
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(one, two *controlpb.Shard) int { return cmp.Compare(one.GetPartition(), two.GetPartition()) })
	if maxRanges > 0 {
		out = fitRanges(out, rep, maxRanges)
	}
	for _, row := range out {
		kys.recordGrant(row, until)
	}
	kys.wake()
	return out
}

// recordGrant notes that an answer grants a row until a time by the slowest clock; the caller holds the mutex.
func (kys *keys) recordGrant(row *controlpb.Shard, until time.Time) {
	now := time.Now()
	old, ok := kys.held[row.GetPartition()]
	hld := partitionHold{token: row.GetToken(), grantedHere: true, from: now.Add(answerReadTime), until: until}
	switch {
	case !ok || old.token > hld.token || !old.until.After(now):
	case old.grantedHere:
		hld.from, hld.until = old.from, later(old.until, hld.until)
	default:
		hld.from = now
	}
	kys.held[row.GetPartition()] = hld
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// applyHolds takes in what the server holds; it comes before control is told of the server, because rows that it held beside an earlier process come back then.
func (cli *Client) applyHolds(ann *Announcement) map[uint32]uint64 {
	if !ann.HoldsKeys || cli.opt.Service == nil {
		return nil
	}
	svc := cli.opt.Service(ann.Service)
	if usesDirectGrants(svc) {
		cli.keys.applyDirectHeartbeat()
		return nil
	}
	return cli.keys.applyHeartbeat(ann, svc.GetPartitions())
}

// usesDirectGrants reports whether the backend servers of a service take their keys from calls.
func usesDirectGrants(svc *controlpb.Service) bool {
	return svc.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NUMBER && svc.GetCarrier() == controlpb.Carrier_CARRIER_DIRECT
}

// awaitIncoming holds back the answer to a heartbeat while keys are on their way, since the server could take them only with its next heartbeat. A server that is to give keys back, that leaves, or whose hold is short is answered at once. It returns false if a newer heartbeat has arrived meanwhile, whose answer counts then.
func (cli *Client) awaitIncoming(ctx context.Context, ann *Announcement) bool {
	if !ann.HoldsKeys || ann.Leaving || cli.opt.Incoming == nil || cli.opt.Service != nil && usesDirectGrants(cli.opt.Service(ann.Service)) {
		return true
	}
	if left := cli.keys.remaining(); left > 0 && left < minRemainingHold {
		return true
	}
	tck := time.NewTicker(answerPollInterval)
	defer tck.Stop()
	for end := time.Now().Add(maxAnswerWait); time.Now().Before(end) && cli.opt.Incoming(ann.Service) && !cli.keys.isRevoking(); {
		select {
		case <-ctx.Done():
			return cli.isLatest(ann)
		case <-tck.C:
		}
	}
	return cli.isLatest(ann)
}

// isLatest reports whether no other announcement has been taken over since.
func (cli *Client) isLatest(ann *Announcement) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann == ann
}

// fillHolds fills in the keys that the server is to hold, as long as the agent's lease and the server's clock allow; rep is what it holds. The hold counts from the sending of the heartbeat, which was before its arrival.
func (cli *Client) fillHolds(ann *Announcement, rep map[uint32]uint64, std *Standing, arrived time.Time) {
	if cli.opt.Service == nil || cli.opt.Lease == nil || cli.opt.Owned == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER || usesDirectGrants(svc) || cli.current() == nil {
		return
	}
	// The rows are read before the lease: rows of a session that ends in between are covered by its lease.
	rows := cli.opt.Owned()
	exp, valid := cli.opt.Lease()
	hold := min(time.Duration(float64(exp.Sub(arrived))/clockDriftFactor)-holdReserve, maxHold)
	if !valid || hold < minHold {
		return
	}
	if len(rows) == 0 && len(rep) > 0 && !cli.keys.isRevoking() {
		// What the server held beside an earlier process has not come back yet; an empty answer would make it give that up.
		return
	}
	std.HoldMs = uint32(hold.Milliseconds())
	std.Holds = grantedRanges(cli.keys.selectGrants(rows, rep, ann.Service, arrived.Add(time.Duration(float64(std.hold())*clockDriftFactor)), cli.opt.MaxRanges), svc.GetPartitions(), rep)
}

// HoldsKeys reports whether the server takes its keys from the answers to its heartbeats.
func (cli *Client) HoldsKeys() bool {
	cli.keys.mu.Lock()
	defer cli.keys.mu.Unlock()
	return cli.keys.holdsKeys
}

// Held reports whether the server holds a row now; one that does not take its keys by heartbeats always does.
func (cli *Client) Held(row *controlpb.Shard) bool {
	held, _, _ := cli.keys.holdStatus(row)
	return held
}

// holdStatus returns whether a row is held, otherwise from when it will be, zero if that is not known, and a channel that is closed at the next change; that is nil if it will not be held any more.
func (kys *keys) holdStatus(row *controlpb.Shard) (bool, time.Time, <-chan struct{}) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.holdsKeys {
		return true, time.Time{}, nil
	}
	if rev := kys.revoked[grantKey{row.GetPartition(), row.GetToken()}]; rev != nil && rev.excluded {
		return false, time.Time{}, nil
	}
	hld, ok := kys.held[row.GetPartition()]
	now := time.Now()
	// A server that has not given a row back holds it under its earlier tokens too.
	if !ok || !hld.grantedHere || hld.token > row.GetToken() || !now.Before(hld.until) {
		return false, time.Time{}, kys.changed
	}
	return !now.Before(hld.from), hld.from, kys.changed
}

// AwaitHold returns once the server holds a row, false if it is to give it back or the context ended first.
func (cli *Client) AwaitHold(ctx context.Context, row *controlpb.Shard) bool {
	for {
		held, from, changed := cli.keys.holdStatus(row)
		if held {
			return true
		}
		if changed == nil || !awaitChange(ctx, changed, from) {
			return false
		}
	}
}

// awaitChange returns at a change or at a time, if that is not zero; false if the context ended first.
func awaitChange(ctx context.Context, changed <-chan struct{}, at time.Time) bool {
	var due <-chan time.Time
	if !at.IsZero() {
		tmr := time.NewTimer(time.Until(at))
		defer tmr.Stop()
		due = tmr.C
	}
	select {
	case <-changed:
	case <-due:
	case <-ctx.Done():
		return false
	}
	return true
}
