package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// copyTimeout bounds the wait until copies of a pending record are stored, which delays the request.
	copyTimeout = 100 * time.Millisecond
	// updateTimeout bounds one try to update the copies after the run, for which no request waits.
	updateTimeout = 500 * time.Millisecond
	// updateTries is how often an update is tried. A failed update leaves a pending copy, so a resend at a next
	// owner is answered with outcome unknown.
	updateTries = 2
)

// copyDestinations identifies the agents and the run under which copies of a record were sent.
type copyDestinations struct {
	addrs     []string
	partition uint32
	token     uint64
	sequence  uint64
}

// request returns the message that stores copies of a record.
func (cpy *copyDestinations) request(rec *peerpb.IdempotencyRecord) *peerpb.StoreCopiesRequest {
	row := &peerpb.RecordCopy{Record: rec, Partition: cpy.partition, Token: cpy.token, Sequence: cpy.sequence}
	return &peerpb.StoreCopiesRequest{Copies: []*peerpb.RecordCopy{row}}
}

// copyPending stores the record of a request on two other agents before dispatch. The lease is checked after this,
// so a next owner finds the record.
func (own *Owner) copyPending(ctx context.Context, tck *ticket, row *controlpb.Shard) *siskinrill.Refusal {
	if !tck.usesIdempotencyKey() || own.flt.noCopy {
		return nil
	}
	addrs := own.holderAddresses(row, tck.att.Open().GetAllowedRegions())
	if len(addrs) == 0 {
		return nil
	}
	tck.copies = &copyDestinations{addrs: addrs, partition: row.GetPartition(), token: row.GetToken(), sequence: own.seq.Add(1)}
	req := tck.copies.request(own.pendingRecord(tck))
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if err := own.sendCopies(ctx, addrs, req); err != nil {
		return siskinrill.NewRefusal(siskinrill.ReasonRecordNotCopied, peerpb.Outcome_OUTCOME_NOT_RUN, err)
	}
	return nil
}

// pendingRecord returns the record of a request that has not run, with a time to live that covers the rest of the
// deadline and of the record. The fingerprint of a body that has not been read completely is unknown.
func (own *Owner) pendingRecord(tck *ticket) *peerpb.IdempotencyRecord {
	opn := tck.att.Open()
	return &peerpb.IdempotencyRecord{
		Service: opn.GetService(), Key: opn.GetKey(), IdempotencyKey: opn.GetIdempotencyKey(), Fingerprint: tck.fingerprint(),
		Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, TtlMs: uint32((time.Until(tck.deadline) + tck.ttl).Milliseconds()),
		AllowedRegions: opn.GetAllowedRegions(),
	}
}

// holderCache avoids ranking all agents for each request; it is valid for one version of the tables and one session.
type holderCache struct {
	mu      sync.Mutex
	version uint64
	session uint64
	addrs   map[partitionID][]string
}

// find returns the addresses for a partition, and false if they are not cached for this version and session.
func (hdc *holderCache) find(ver, ses uint64, part partitionID) ([]string, bool) {
	hdc.mu.Lock()
	defer hdc.mu.Unlock()
	if hdc.version != ver || hdc.session != ses {
		return nil, false
	}
	addrs, ok := hdc.addrs[part]
	return addrs, ok
}

func (hdc *holderCache) add(ver, ses uint64, part partitionID, addrs []string) {
	hdc.mu.Lock()
	defer hdc.mu.Unlock()
	if hdc.addrs == nil || hdc.version != ver || hdc.session != ses {
		hdc.version, hdc.session, hdc.addrs = ver, ses, map[partitionID][]string{}
	}
	hdc.addrs[part] = addrs
}

// holderAddresses returns the addresses of the agents that store copies of a row's records. Only the addresses for records
// that may be stored in all regions are cached.
func (own *Owner) holderAddresses(row *controlpb.Shard, regions []string) []string {
	if len(regions) > 0 {
		return addressesOf(pickHolders(rankNodes(nodesIn(own.ses.Nodes(), regions), row.GetService(), row.GetPartition()), own.self()))
	}
	ver, ses := own.ses.Version(), own.ses.Session()
	part := partitionID{service: row.GetService(), partition: row.GetPartition()}
	if addrs, ok := own.hdc.find(ver, ses, part); ok {
		return addrs
	}
	addrs := addressesOf(pickHolders(rankNodes(own.ses.Nodes(), part.service, part.partition), own.self()))
	own.hdc.add(ver, ses, part, addrs)
	return addrs
}

func addressesOf(nodes []*controlpb.Node) []string {
	var addrs []string
	for _, nod := range nodes {
		addrs = append(addrs, nod.GetPeerAddress())
	}
	return addrs
}

// nodesIn returns the agents in one of the regions, all for an empty list.
func nodesIn(nodes []*controlpb.Node, regions []string) []*controlpb.Node {
	var out []*controlpb.Node
	for _, nod := range nodes {
		if siskinrill.RegionAllowed(regions, nod.GetRegion()) {
			out = append(out, nod)
		}
	}
	return out
}

// self returns the row of this agent.
func (own *Owner) self() *controlpb.Node {
	ses := own.ses.Session()
	if nod := own.ses.Node(ses); nod != nil {
		return nod
	}
	return &controlpb.Node{Session: ses}
}

// sendCopies sends copies to all addresses in parallel and fails if none has stored them.
func (own *Owner) sendCopies(ctx context.Context, addrs []string, req *peerpb.StoreCopiesRequest) error {
	out := make(chan error, len(addrs))
	for _, addr := range addrs {
		go func() { out <- own.fwd.SendCopies(ctx, addr, req) }()
	}
	stored := 0
	var last error
	for range addrs {
		select {
		case err := <-out:
			if err == nil {
				stored++
				continue
			}
			last = err
			own.cnt.Event("record_copy_failed")
		case <-ctx.Done():
			last = ctx.Err()
		}
	}
	if stored > 0 {
		return nil
	}
	return errors.Wrap(last, "store record copies")
}

// updateCopies sends the outcome of a request to the holders of its copies in the background; the caller holds the
// mutex.
func (own *Owner) updateCopies(tck *ticket, clm *claim) {
	if tck.copies == nil {
		return
	}
	rec := &peerpb.IdempotencyRecord{
		Service: clm.id.service, Key: clm.id.key, IdempotencyKey: clm.id.idem, Fingerprint: clm.fingerprint,
		Outcome: clm.outcome, Response: clm.kept, TtlMs: uint32(tck.ttl.Milliseconds()),
		AllowedRegions: clm.regions,
	}
	req := tck.copies.request(rec)
	for _, addr := range tck.copies.addrs {
		go own.updateCopy(addr, req)
	}
}

func (own *Owner) updateCopy(addr string, req *peerpb.StoreCopiesRequest) {
	var err error
	for range updateTries {
		ctx, cancel := context.WithTimeout(context.Background(), updateTimeout)
		err = own.fwd.SendCopies(ctx, addr, req)
		cancel()
		if err == nil {
			return
		}
	}
	own.cnt.Event("record_copy_update_failed")
	logrus.Debugf("owner: updating the record copy at %s failed: %v", addr, err)
}
