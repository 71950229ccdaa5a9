package backend

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// clockRate is how much slower than true time a backend server's clock may run that measures its hold.
	clockRate = 1.02
	// holdReserve is the part of the lease that is not passed on, for the time between the computation and the sending of an answer.
	holdReserve = 20 * time.Millisecond
	// maxHold is the longest hold that backend servers accept.
	maxHold = 10 * time.Second
	// longestHold is how long a backend server may hold a key whose grant is not known here.
	longestHold = time.Duration(float64(maxHold) * clockRate)
	// leastHold is the shortest hold worth granting: the next heartbeat could not come in time.
	leastHold = 100 * time.Millisecond
	// answerTime is how long the server may take to read the answer to its heartbeat; a request before that would find keys that it does not hold yet.
	answerTime = 3 * time.Millisecond
	// answerWait is how long the answer to a heartbeat may wait for keys that are on their way; the server gives it up after 1 s, and sends the next heartbeat 0.8 s after this one at the earliest.
	answerWait = 600 * time.Millisecond
	// answerPoll is the time between two looks at those keys.
	answerPoll = 20 * time.Millisecond
	// spareHold must be left of a hold for its renewal to wait; one more heartbeat may then be lost.
	spareHold = 1500 * time.Millisecond
	// causeRefused is the cause of a failure that proves that the server has ended.
	causeRefused = "refused"
)

// take brings the view up to what a heartbeat tells. Heartbeats follow each other, so whatever an earlier answer granted and this one does not name was not received or has been given back.
func (kys *keys) take(ann *Announcement, partitions uint32) map[uint32]uint64 {
	rep := reported(ann, partitions)
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.active, kys.direct = true, false
	if kys.unknown.IsZero() {
		kys.unknown = time.Now().Add(longestHold)
		kys.guessed = partitions == 0
	}
	kys.guessed = kys.guessed && partitions == 0
	for _, rng := range ann.Released {
		for _, par := range covered(rng.First, rng.Last, partitions) {
			kys.noteReleased(par, rng.Handover)
		}
	}
	for par, hld := range kys.held {
		tok, ok := rep[par]
		switch {
		case !ok:
			if hld.direct {
				// The service has changed its carrier, and what a call has granted need not be named in a heartbeat.
				kys.late[par] = later(kys.late[par], hld.until)
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
			kys.held[par] = heldKeys{token: tok, until: time.Now().Add(longestHold)}
		}
	}
	for key, rev := range kys.revoked {
		_, holds := rep[key.partition]
		rev.released = rev.released || rev.left && !holds
	}
	kys.wake()
	return rep
}

// hear takes a heartbeat of a server that takes its keys from calls.
func (kys *keys) hear() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.active, kys.direct = true, true
	if kys.unknown.IsZero() || kys.guessed {
		kys.guessed = false
		kys.unknown = kys.started.Add(longestDirect)
		if kys.flt.forgetEarlier {
			kys.unknown = kys.started
		}
	}
}

// trust lets grants go on after a heartbeat whose start of the server control was told.
func (kys *keys) trust() {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.doubt = false
}

func (kys *keys) noteReleased(par uint32, handover string) {
	for key, rev := range kys.revoked {
		if key.partition == par {
			rev.handover = handover
		}
	}
}

// offer returns the rows to grant with an answer, in the order of their keys; rep is what the server holds. A revoked row is served until an answer leaves it out, because the server gives nothing back before.
func (kys *keys) offer(rows []*controlpb.Shard, rep map[uint32]uint64, svc string, until time.Time, most int) []*controlpb.Shard {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	kys.prune(rows)
	var out []*controlpb.Shard
	for _, row := range rows {
		if row.GetService() != svc || row.GetKey() != "" {
			continue
		}
		if rev := kys.revoked[grantKey{row.GetPartition(), row.GetToken()}]; rev != nil {
			rev.left = true
			delete(kys.held, row.GetPartition())
			continue
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(one, two *controlpb.Shard) int { return cmp.Compare(one.GetPartition(), two.GetPartition()) })
	if most > 0 {
		out = fit(out, rep, most)
	}
	for _, row := range out {
		kys.grant(row, until)
	}
	kys.wake()
	return out
}

// grant notes that an answer grants a row until a time by the slowest clock; the caller holds the mutex.
func (kys *keys) grant(row *controlpb.Shard, until time.Time) {
	now := time.Now()
	old, ok := kys.held[row.GetPartition()]
	hld := heldKeys{token: row.GetToken(), offered: true, from: now.Add(answerTime), until: until}
	switch {
	case !ok || old.token > hld.token || !old.until.After(now):
	case old.offered:
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

// takeHolds takes in what the server holds; it comes before control is told of the server, because rows that it held beside an earlier process come back then.
func (cli *Client) takeHolds(ann *Announcement) map[uint32]uint64 {
	if !ann.HoldsKeys || cli.opt.Service == nil {
		return nil
	}
	svc := cli.opt.Service(ann.Service)
	if direct(svc) {
		cli.keys.hear()
		return nil
	}
	return cli.keys.take(ann, svc.GetPartitions())
}

// direct reports whether the backend servers of a service take their keys from calls.
func direct(svc *controlpb.Service) bool {
	return svc.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NUMBER && svc.GetCarrier() == controlpb.Carrier_CARRIER_DIRECT
}

// awaitKeys holds back the answer to a heartbeat while keys are on their way, since the server could take them only with its next heartbeat. A server that is to give keys back, that leaves, or whose hold is short is answered at once. It returns false if a newer heartbeat has arrived meanwhile, whose answer counts then.
func (cli *Client) awaitKeys(ctx context.Context, ann *Announcement) bool {
	if !ann.HoldsKeys || ann.Leaving || cli.opt.Incoming == nil || cli.opt.Service != nil && direct(cli.opt.Service(ann.Service)) {
		return true
	}
	if left := cli.keys.left(); left > 0 && left < spareHold {
		return true
	}
	tck := time.NewTicker(answerPoll)
	defer tck.Stop()
	for end := time.Now().Add(answerWait); time.Now().Before(end) && cli.opt.Incoming(ann.Service) && !cli.keys.revokes(); {
		select {
		case <-ctx.Done():
			return cli.newest(ann)
		case <-tck.C:
		}
	}
	return cli.newest(ann)
}

// newest reports whether no other announcement has been taken over since.
func (cli *Client) newest(ann *Announcement) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	return cli.ann == ann
}

// grantHolds fills in the keys that the server is to hold, as long as the agent's lease and the server's clock allow; rep is what it holds. The hold counts from the sending of the heartbeat, which was before its arrival.
func (cli *Client) grantHolds(ann *Announcement, rep map[uint32]uint64, std *Standing, arrived time.Time) {
	if cli.opt.Service == nil || cli.opt.Lease == nil || cli.opt.Owned == nil {
		return
	}
	svc := cli.opt.Service(ann.Service)
	if svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER || direct(svc) || cli.current() == nil {
		return
	}
	// The rows are read before the lease: rows of a session that ends in between are covered by its lease.
	rows := cli.opt.Owned()
	exp, valid := cli.opt.Lease()
	hold := min(time.Duration(float64(exp.Sub(arrived))/clockRate)-holdReserve, maxHold)
	if !valid || hold < leastHold {
		return
	}
	if len(rows) == 0 && len(rep) > 0 && !cli.keys.revokes() {
		// What the server held beside an earlier process has not come back yet; an empty answer would make it give that up.
		return
	}
	std.HoldMs = uint32(hold.Milliseconds())
	std.Holds = ranges(cli.keys.offer(rows, rep, ann.Service, arrived.Add(time.Duration(float64(std.hold())*clockRate)), cli.opt.MaxRanges), svc.GetPartitions(), rep)
}

// HoldsKeys reports whether the server takes its keys from the answers to its heartbeats.
func (cli *Client) HoldsKeys() bool {
	cli.keys.mu.Lock()
	defer cli.keys.mu.Unlock()
	return cli.keys.active
}

// Held reports whether the server holds a row now; one that does not take its keys by heartbeats always does.
func (cli *Client) Held(row *controlpb.Shard) bool {
	held, _, _ := cli.keys.look(row)
	return held
}

// look returns whether a row is held, otherwise from when it will be, zero if that is not known, and a channel that is closed at the next change; that is nil if it will not be held any more.
func (kys *keys) look(row *controlpb.Shard) (bool, time.Time, <-chan struct{}) {
	kys.mu.Lock()
	defer kys.mu.Unlock()
	if !kys.active {
		return true, time.Time{}, nil
	}
	if rev := kys.revoked[grantKey{row.GetPartition(), row.GetToken()}]; rev != nil && rev.left {
		return false, time.Time{}, nil
	}
	hld, ok := kys.held[row.GetPartition()]
	now := time.Now()
	// A server that has not given a row back holds it under its earlier tokens too.
	if !ok || !hld.offered || hld.token > row.GetToken() || !now.Before(hld.until) {
		return false, time.Time{}, kys.changed
	}
	return !now.Before(hld.from), hld.from, kys.changed
}

// AwaitHold returns once the server holds a row, false if it is to give it back or the context ended first.
func (cli *Client) AwaitHold(ctx context.Context, row *controlpb.Shard) bool {
	for {
		held, from, changed := cli.keys.look(row)
		if held {
			return true
		}
		if changed == nil || !await(ctx, changed, from) {
			return false
		}
	}
}

// await returns at a change or at a time, if that is not zero; false if the context ended first.
func await(ctx context.Context, changed <-chan struct{}, at time.Time) bool {
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
