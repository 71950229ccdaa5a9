package owner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// fetchTimeout bounds the fetch of the copies of a partition, for which the first request with an Idempotency-Key
// waits.
const fetchTimeout = 300 * time.Millisecond

// fetch is one fetch of the copies for a shard; succeeded is valid once done is closed.
type fetch struct {
	token     uint64
	done      chan struct{}
	succeeded bool
}

// fetchKey identifies the fetches for a shard; records that may not be stored in all regions have other holders.
type fetchKey struct {
	shard   shardID
	regions string // in which the record may be stored, separated by line feeds
}

// fetcher tracks the grants for which copies were fetched.
type fetcher struct {
	mu      sync.Mutex
	fetches map[fetchKey]*fetch
}

// begin returns the fetch for a grant and whether the caller must carry it out.
func (fcr *fetcher) begin(key fetchKey, tok uint64) (*fetch, bool) {
	fcr.mu.Lock()
	defer fcr.mu.Unlock()
	fch := fcr.fetches[key]
	if fch != nil && fch.token == tok {
		return fch, false
	}
	fch = &fetch{token: tok, done: make(chan struct{})}
	fcr.fetches[key] = fch
	return fch, true
}

// end ends a fetch; a failed one is removed, so that the next request tries again.
func (fcr *fetcher) end(key fetchKey, fch *fetch, ok bool) {
	fcr.mu.Lock()
	defer fcr.mu.Unlock()
	fch.succeeded = ok
	if !ok && fcr.fetches[key] == fch {
		delete(fcr.fetches, key)
	}
	close(fch.done)
}

// forget removes the fetches of shards that are not among the rows.
func (fcr *fetcher) forget(rows []*controlpb.Shard) {
	owned := make(map[shardID]bool, len(rows))
	for _, row := range rows {
		owned[shardOf(row)] = true
	}
	fcr.mu.Lock()
	defer fcr.mu.Unlock()
	for key := range fcr.fetches {
		if !owned[key.shard] {
			delete(fcr.fetches, key)
		}
	}
}

// fetchCopies waits until the copies of an earlier owner's records have been fetched, which happens once for each
// granted token and set of allowed regions.
func (own *Owner) fetchCopies(ctx context.Context, tck *ticket, row *controlpb.Shard) *siskinrill.Refusal {
	if own.flt.noFetch {
		return nil
	}
	regions := tck.att.Open().GetAllowedRegions()
	key := fetchKey{shard: shardOf(row), regions: strings.Join(regions, "\n")}
	fch, first := own.fch.begin(key, row.GetToken())
	if first {
		go own.fetch(context.WithoutCancel(ctx), key, regions, fch)
	}
	select {
	case <-fch.done:
	case <-ctx.Done():
		return siskinrill.NotRun(waitReason(ctx))
	}
	if !fch.succeeded {
		return siskinrill.NotRun(siskinrill.ReasonRecordNotCopied)
	}
	return nil
}

// fetch queries the agents that may hold copies. It waits for all of them until the timeout, since two fast replies
// may both be from agents without copies.
func (own *Owner) fetch(ctx context.Context, key fetchKey, regions []string, fch *fetch) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	part := partitionID{service: key.shard.service, partition: key.shard.partition}
	requested, answers := own.requestCopies(ctx, part, regions)
	full := own.adopt(own.cps.find(part))
	answered := 0
	for range requested {
		select {
		case res := <-answers:
			if res.err == nil {
				answered++
				full = own.adopt(res.copies) || full
			}
		case <-ctx.Done():
		}
	}
	ok := !full && (answered > 0 || requested == 0)
	if !ok {
		own.cnt.Event("record_copies_not_fetched")
		logrus.Warnf("owner: fetching copies of idempotency records for %s/%d failed: %d of %d agents answered", part.service, part.partition, answered, requested)
	}
	own.fch.end(key, fch, ok)
}

// fetchResult is the reply of one agent.
type fetchResult struct {
	copies []*peerpb.RecordCopy
	err    error
}

// requestCopies queries the candidates other than this agent, and returns their number and a channel with their
// replies.
func (own *Owner) requestCopies(ctx context.Context, part partitionID, regions []string) (int, <-chan fetchResult) {
	req := &peerpb.FetchCopiesRequest{Service: part.service, Partition: part.partition, Region: own.opt.Region}
	ranked := rankNodes(own.ses.Nodes(), part.service, part.partition)
	candidates := pickCandidates(ranked)
	if len(regions) > 0 {
		// The general candidates may have records from before the route named its regions.
		for _, nod := range pickCandidates(nodesIn(ranked, regions)) {
			if !slices.Contains(candidates, nod) {
				candidates = append(candidates, nod)
			}
		}
	}
	out := make(chan fetchResult, len(candidates))
	slf, requested := own.self(), 0
	for _, nod := range candidates {
		if sameAgent(nod, slf) {
			continue
		}
		requested++
		go func() {
			cps, err := own.fwd.FetchCopies(ctx, nod.GetPeerAddress(), req)
			out <- fetchResult{copies: cps, err: err}
		}()
	}
	return requested, out
}

// adopt stores fetched copies as records, and reports whether there was no room for some of them; a completed record
// replaces a pending one of another holder.
func (own *Owner) adopt(cps []*peerpb.RecordCopy) (full bool) {
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, cpy := range cps {
		rec := cpy.GetRecord()
		idt := claimKey{service: rec.GetService(), key: rec.GetKey(), idem: rec.GetIdempotencyKey()}
		old := own.claims[idt]
		if old != nil && old.adopted && old.outcome != peerpb.Outcome_OUTCOME_COMPLETE && rec.GetOutcome() == peerpb.Outcome_OUTCOME_COMPLETE {
			own.dropClaim(old)
		}
		full = !own.storeRecord(rec) || full
		if clm := own.claims[idt]; clm != nil && clm != old {
			clm.adopted = true
		}
	}
	return full
}
