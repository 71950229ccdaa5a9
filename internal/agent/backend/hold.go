package backend

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// clockDriftFactor is the factor by which the clock that a backend server measures its hold with may be
	// slow.
	clockDriftFactor = 1.02
	// holdReserve is withheld from the lease to cover the time between computing an answer and sending it.
	holdReserve = 20 * time.Millisecond
	// maxHold is the longest hold that backend servers accept.
	maxHold = 10 * time.Second
	// maxServerHold is the longest time for which a backend server may hold a key whose grant is unknown to
	// this process.
	maxServerHold = time.Duration(float64(maxHold) * clockDriftFactor)
	// minHold is the shortest hold worth granting; a shorter one would expire before the next heartbeat could
	// renew it.
	minHold = 100 * time.Millisecond
	// answerReadTime bounds the time the server takes to process the answer to its heartbeat; a request sent
	// earlier would arrive before the server holds the keys.
	answerReadTime = 3 * time.Millisecond
	// maxAnswerWait is how long the answer to a heartbeat may be delayed for incoming keys. The server gives
	// up on an answer after 1 s and sends its next heartbeat no sooner than 0.8 s after this one.
	maxAnswerWait = 600 * time.Millisecond
	// answerPollInterval is the interval at which incoming keys are polled.
	answerPollInterval = 20 * time.Millisecond
	// minRemainingHold is the remaining hold below which an answer is not delayed, so that one more heartbeat
	// may be lost without losing the hold.
	minRemainingHold = 1500 * time.Millisecond
)

// applyHeartbeat updates the state from a heartbeat; partitions is 0 if the service is not configured with keys. Heartbeats are sequential,
// so keys that an earlier answer granted and this heartbeat does not list were either not received or have been released.
func (kys *keys) applyHeartbeat(ann *Announcement, partitions uint32) reportedHolds {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.holdsKeys, kys.direct = true, false
	kys.changePartitions(partitions)
	partitions = kys.partitions
	kys.unreadable = partitions == 0 && (!kys.serviceKnown || len(ann.Holds) > 0)
	if kys.priorHoldsUntil.IsZero() {
		kys.priorHoldsUntil = time.Now().Add(maxServerHold)
		kys.carrierUnknown = partitions == 0
	}
	kys.carrierUnknown = kys.carrierUnknown && partitions == 0
	rep := readHolds(ann.Holds, partitions)
	if kys.faults.ignorePartly {
		clear(rep.partly)
	}
	kys.applyReleased(ann.Released)
	kys.applyReported(rep)
	for _, rev := range kys.revoked {
		rev.released = rev.released || rev.excluded && !kys.listsKeyOf(rev, rep)
	}
	kys.wake()
	return rep
}

// applyDirectHeartbeat updates the state from a heartbeat of a server whose keys are granted by calls.
func (kys *keys) applyDirectHeartbeat() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.unreadable, kys.everDirect = false, true
	if !kys.direct {
		defer kys.wake() // releases by calls begin
	}
	kys.holdsKeys, kys.direct = true, true
	if kys.priorHoldsUntil.IsZero() || kys.carrierUnknown {
		kys.carrierUnknown = false
		kys.priorHoldsUntil = kys.started.Add(maxServerDirectHold)
		if kys.faults.ignorePrior {
			kys.priorHoldsUntil = kys.started
		}
	}
}

// resumeGrants allows grants again once control has been notified of the server's current incarnation.
func (kys *keys) resumeGrants() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.grantsSuspended = false
}

// selectGrants returns the rows to grant in an answer, in key order, and records them; rep is what the server
// reports as held. A revoked row is served until an answer omits it, because the server releases nothing
// before that.
func (kys *keys) selectGrants(rows []*controlpb.Shard, rep reportedHolds, svc string, until time.Time, maxRanges int) []*controlpb.Shard {
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
			kys.stopServing(row)
			continue
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(one, two *controlpb.Shard) int { return cmp.Compare(one.GetPartition(), two.GetPartition()) })
	if maxRanges > 0 {
		out = fitRanges(out, rep.whole, maxRanges)
	}
	for _, row := range out {
		kys.recordGrant(row, until)
	}
	kys.wake()
	return out
}

// stopServing records that an answer leaves out a row, so that the server releases it. It may hold the row until then, or work on some of
// its keys; the caller holds the mutex.
func (kys *keys) stopServing(row *controlpb.Shard) {
	if hld, ok := kys.held[row.GetPartition()]; ok {
		kys.held[row.GetPartition()] = hld.inPart()
	}
}

// recordGrant records that an answer grants a row until a time on the slowest clock; the caller holds the
// mutex.
func (kys *keys) recordGrant(row *controlpb.Shard, until time.Time) {
	now := time.Now()
	old := kys.held[row.GetPartition()]
	hld := partitionHold{token: row.GetToken(), from: now.Add(answerReadTime), grantEnd: until, until: until}
	switch {
	case !old.until.After(now):
	case old.partly || old.token > hld.token:
		hld.until = later(old.until, hld.until)
	case old.grantedHere():
		hld.from, hld.grantEnd, hld.until = old.from, later(old.grantEnd, until), later(old.until, until)
	default:
		hld.from = now
	}
	kys.setHold(row.GetPartition(), hld)
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// applyHolds applies the holds in an announcement. It runs before control is notified of the server, because
// control then returns the rows that the server held with a previous agent process.
func (cli *Client) applyHolds(ann *Announcement) reportedHolds {
	if !ann.HoldsKeys || cli.opt.Service == nil {
		return reportedHolds{}
	}
	svc := cli.service(ann.Service)
	cli.keys.setService(svc)
	if usesDirectGrants(svc) {
		cli.keys.applyDirectHeartbeat()
		return reportedHolds{}
	}
	return cli.keys.applyHeartbeat(ann, svc.GetPartitions())
}

// usesDirectGrants reports whether the backend servers of a service are granted their keys by calls.
func usesDirectGrants(svc *controlpb.Service) bool {
	return svc.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NUMBER && svc.GetCarrier() == controlpb.Carrier_CARRIER_DIRECT
}

// awaitIncoming delays the answer to a heartbeat while keys are in transit, since the server could otherwise
// take them only with its next heartbeat. It does not delay if keys are being revoked, the server is leaving
// or its hold is short, and returns false if a newer heartbeat, whose answer then counts, has arrived.
func (cli *Client) awaitIncoming(ctx context.Context, ann *Announcement) bool {
	if !ann.HoldsKeys || ann.Leaving || cli.opt.Incoming == nil || usesDirectGrants(cli.service(ann.Service)) {
		return true
	}
	if remaining := cli.keys.remaining(); remaining > 0 && remaining < minRemainingHold {
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

// isLatest reports whether no newer announcement has been accepted.
func (cli *Client) isLatest(ann *Announcement) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann == ann
}

// fillHolds adds the keys that the server is to hold, within the agent's lease and the server's clock drift;
// rep is what it reports as held. The hold counts from when the heartbeat was sent, which was before it
// arrived.
func (cli *Client) fillHolds(ann *Announcement, rep reportedHolds, std *AnnouncementAnswer, arrived time.Time) {
	if cli.opt.Service == nil || cli.opt.Lease == nil || cli.opt.Owned == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER || usesDirectGrants(svc) || cli.current() == nil {
		return
	}
	// The rows are read before the lease: if the session ends in between, its own lease still covers them.
	rows := cli.opt.Owned()
	exp, valid := cli.opt.Lease()
	hold := min(time.Duration(float64(exp.Sub(arrived))/clockDriftFactor)-holdReserve, maxHold)
	if !valid || hold < minHold {
		return
	}
	if len(rows) == 0 && !rep.isEmpty() && !cli.keys.isRevoking() {
		// Control has not yet returned the rows that the server held with a previous agent process; an empty
		// answer would make the server release them.
		return
	}
	std.HoldMs = uint32(hold.Milliseconds())
	until := arrived.Add(time.Duration(float64(std.hold()) * clockDriftFactor))
	granted := cli.keys.selectGrants(rows, rep, ann.Service, until, cli.opt.MaxRanges)
	std.Holds = grantedRanges(granted, svc.GetPartitions(), rep.whole)
}

// HoldsKeys reports whether the server holds its keys for a limited time, by either carrier.
func (cli *Client) HoldsKeys() bool {
	cli.keys.mu.Lock()
	defer cli.keys.mu.Unlock()
	return cli.keys.holdsKeys
}

// Held reports whether the server holds a row now; always true for a server without time-limited holds.
func (cli *Client) Held(row *controlpb.Shard) bool {
	held, _, _ := cli.keys.holdStatus(row)
	return held
}

// holdStatus returns whether a row is held. If not, it returns the time from which it will be, zero if
// unknown, and a channel closed at the next change, nil if the row will not be held again.
func (kys *keys) holdStatus(row *controlpb.Shard) (bool, time.Time, <-chan struct{}) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.holdsKeys {
		return true, time.Time{}, nil
	}
	if rev := kys.revoked[grantKey{row.GetPartition(), row.GetToken()}]; rev != nil && rev.excluded {
		return false, time.Time{}, nil
	}
	hld := kys.held[row.GetPartition()]
	now := time.Now()
	if hld.grantedHere() && hld.token > row.GetToken() {
		// The row has a newer token since, under which the request has to be sent again.
		return false, time.Time{}, nil
	}
	// A server that has not released a row also holds it under its earlier tokens.
	if !now.Before(hld.grantEnd) {
		return false, time.Time{}, kys.changed
	}
	return !now.Before(hld.from), hld.from, kys.changed
}

// AwaitHold waits until the server holds a row and returns false if the row is revoked or the context ends
// first.
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

// awaitChange waits for a change or, if it is not zero, a time, and returns false if the context ends first.
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
