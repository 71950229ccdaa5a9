package owner

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Limits for the transfer of idempotency records.
const (
	// transferTries is how often one message is tried; the move must not wait long for an unreachable target.
	transferTries = 3
	// transferTimeout bounds one try.
	transferTimeout = 500 * time.Millisecond
	// transferPause is the time between two tries.
	transferPause = 100 * time.Millisecond
	// maxTransferBytes bounds the total size of the answers in one message; gRPC refuses messages over 4 MB by
	// default.
	maxTransferBytes = 1 << 20
	// maxTransferRecords bounds the records in one message.
	maxTransferRecords = 2048
)

// Transfer stores idempotency records sent by the previous owner; records for another session are not stored.
func (own *Owner) Transfer(_ context.Context, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	if req.GetToSession() != own.ses.Session() {
		return &peerpb.TransferAnswer{}, nil
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	ans := &peerpb.TransferAnswer{}
	for _, rec := range req.GetRecords() {
		if own.storeRecord(rec) {
			ans.Kept++
		}
	}
	return ans, nil
}

// storeRecord stores a record unless there is an unexpired one for its key, and reports false if there is no room;
// the caller holds the mutex.
func (own *Owner) storeRecord(rec *peerpb.IdempotencyRecord) bool {
	idt := claimKey{service: rec.GetService(), key: rec.GetKey(), idem: rec.GetIdempotencyKey()}
	if old := own.claims[idt]; old != nil {
		if old.running || time.Now().Before(old.expires) {
			return true
		}
		own.dropClaim(old)
	}
	if len(own.claims) >= own.opt.MaxIdempotency {
		own.cnt.Event("transfer_records_full")
		return false
	}
	clm := &claim{id: idt, fingerprint: rec.GetFingerprint(), outcome: rec.GetOutcome(), reason: siskinrill.ReasonBackendLost, regions: rec.GetAllowedRegions()}
	clm.kept = own.keepAnswer(rec.GetResponse())
	clm.expires = time.Now().Add(time.Duration(rec.GetTtlMs()) * time.Millisecond)
	own.claims[idt] = clm
	own.whe.add(clm.expires, clm)
	return true
}

// sendRecords sends the records of released shards to their next owner; if all tries fail, the move continues
// without them.
func (own *Owner) sendRecords(ctx context.Context, target uint64, rows []*controlpb.Shard) {
	recs := own.recordsOf(rows, own.ses.Node(target).GetRegion())
	if len(recs) == 0 {
		return
	}
	addr := own.ses.Node(target).GetPeerAddress()
	if addr == "" {
		own.cnt.Event("transfer_without_target")
		return
	}
	for _, part := range batches(recs) {
		req := &peerpb.TransferRequest{FromSession: own.ses.Session(), ToSession: target, Records: part}
		if !own.sendTransfer(ctx, addr, req) {
			own.cnt.Event("transfer_failed")
			logrus.Warnf("owner: the move of %d shards continues without their idempotency records: transfer to session %d failed", len(rows), target)
			return
		}
	}
}

func (own *Owner) sendTransfer(ctx context.Context, addr string, req *peerpb.TransferRequest) bool {
	for try := range transferTries {
		if try > 0 && !sleep(ctx, transferPause) {
			return false
		}
		tctx, cancel := context.WithTimeout(ctx, transferTimeout)
		ans, err := own.fwd.Transfer(tctx, addr, req)
		cancel()
		if err == nil {
			return int(ans.GetKept()) == len(req.GetRecords())
		}
		own.cnt.Event("transfer_retried")
	}
	return false
}

func sleep(ctx context.Context, dur time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dur):
		return true
	}
}

// recordsOf returns the records of ended requests for the keys in the rows that may be stored in a region. The others are
// left behind: the next owner is not allowed to run their requests either.
func (own *Owner) recordsOf(rows []*controlpb.Shard, region string) []*peerpb.IdempotencyRecord {
	now := time.Now()
	svcs := own.services(rows)
	own.mu.Lock()
	defer own.mu.Unlock()
	var recs []*peerpb.IdempotencyRecord
	for _, clm := range own.claims {
		if clm.running || !now.Before(clm.expires) || !siskinrill.RegionAllowed(clm.regions, region) || !coveredByAny(rows, svcs, clm.id) {
			continue
		}
		recs = append(recs, &peerpb.IdempotencyRecord{
			Service: clm.id.service, Key: clm.id.key, IdempotencyKey: clm.id.idem, Fingerprint: clm.fingerprint,
			Outcome: clm.outcome, Response: clm.kept, TtlMs: uint32(clm.expires.Sub(now).Milliseconds()),
			AllowedRegions: clm.regions,
		})
	}
	return recs
}

// services returns the services of the rows by name.
func (own *Owner) services(rows []*controlpb.Shard) map[string]*controlpb.Service {
	svcs := map[string]*controlpb.Service{}
	for _, row := range rows {
		svcs[row.GetService()] = own.ses.Service(row.GetService())
	}
	return svcs
}

// coveredByAny reports whether a key belongs to one of the rows. A key with an override may be sent with its
// partition as well, which does no harm.
func coveredByAny(rows []*controlpb.Shard, svcs map[string]*controlpb.Service, idt claimKey) bool {
	for _, row := range rows {
		if row.GetService() != idt.service {
			continue
		}
		if row.GetKey() != "" {
			if row.GetKey() == idt.key {
				return true
			}
			continue
		}
		if par, ok := siskinrill.PartitionOf(svcs[idt.service], idt.key); ok && par == row.GetPartition() {
			return true
		}
	}
	return false
}

// batches splits records into messages of limited size.
func batches(recs []*peerpb.IdempotencyRecord) [][]*peerpb.IdempotencyRecord {
	var parts [][]*peerpb.IdempotencyRecord
	from, size := 0, 0
	for num, rec := range recs {
		size += keptSize(rec.GetResponse()) + len(rec.GetKey()) + len(rec.GetIdempotencyKey())
		if size > maxTransferBytes || num-from >= maxTransferRecords {
			parts = append(parts, recs[from:num+1])
			from, size = num+1, 0
		}
	}
	if from < len(recs) {
		parts = append(parts, recs[from:])
	}
	return parts
}
