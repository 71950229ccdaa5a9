package owner

import (
	"container/list"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// copySweepInterval is how often expired copies are removed; each time all of up to 65,536 copies are visited.
const copySweepInterval = 10 * time.Second

// partitionID identifies a partition of a service.
type partitionID struct {
	service   string
	partition uint32
}

// copyRow is a copy of another agent's record.
type copyRow struct {
	part    partitionID
	id      claimKey
	copy    *peerpb.RecordCopy
	size    int
	expires time.Time
}

// copyStore keeps copies of other agents' records in memory; the oldest are evicted when a limit is exceeded.
type copyStore struct {
	maxCopies int
	maxBytes  int
	cnt       *siskinrill.Counters

	mu    sync.Mutex
	byAge *list.List // of *copyRow, the oldest first
	parts map[partitionID]map[claimKey]*list.Element
	bytes int
	swept time.Time
}

func newCopyStore(limit, room int, cnt *siskinrill.Counters) *copyStore {
	return &copyStore{maxCopies: limit, maxBytes: room, cnt: cnt, byAge: list.New(), parts: map[partitionID]map[claimKey]*list.Element{}, swept: time.Now()}
}

// StoreCopies stores, replaces or drops copies of another owner's records.
func (own *Owner) StoreCopies(_ context.Context, req *peerpb.StoreCopiesRequest) (*peerpb.StoreCopiesAnswer, error) {
	for _, cpy := range req.GetCopies() {
		own.cps.store(cpy)
	}
	return &peerpb.StoreCopiesAnswer{}, nil
}

// FindCopies returns the copies of a partition that have not expired and that may be stored in the region of the agent that
// asks.
func (own *Owner) FindCopies(_ context.Context, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error) {
	all := own.cps.find(partitionID{service: req.GetService(), partition: req.GetPartition()})
	return slices.DeleteFunc(all, func(cpy *peerpb.RecordCopy) bool {
		return !siskinrill.RegionAllowed(cpy.GetRecord().GetAllowedRegions(), req.GetRegion())
	}), nil
}

// store adds a copy unless a newer one is stored; a copy with outcome not_run removes the stored one.
func (cps *copyStore) store(cpy *peerpb.RecordCopy) {
	rec := cpy.GetRecord()
	row := &copyRow{
		part: partitionID{service: rec.GetService(), partition: cpy.GetPartition()},
		id:   claimKey{service: rec.GetService(), key: rec.GetKey(), idem: rec.GetIdempotencyKey()},
		copy: cpy, size: proto.Size(cpy), expires: time.Now().Add(time.Duration(rec.GetTtlMs()) * time.Millisecond),
	}
	cps.mu.Lock()
	defer cps.mu.Unlock()
	if elm := cps.parts[row.part][row.id]; elm != nil {
		old := elm.Value.(*copyRow).copy
		if !replaces(cpy, old) {
			return
		}
		cps.remove(elm)
	}
	if rec.GetOutcome() != peerpb.Outcome_OUTCOME_NOT_RUN {
		cps.add(row)
	}
}

// replaces reports whether a copy replaces a stored one: it is newer, or of the same run and does not undo its
// completion.
func replaces(cpy, old *peerpb.RecordCopy) bool {
	if cpy.GetToken() != old.GetToken() {
		return cpy.GetToken() > old.GetToken()
	}
	if cpy.GetSequence() != old.GetSequence() {
		return cpy.GetSequence() > old.GetSequence()
	}
	return old.GetRecord().GetOutcome() != peerpb.Outcome_OUTCOME_COMPLETE
}

func (cps *copyStore) add(row *copyRow) {
	part := cps.parts[row.part]
	if part == nil {
		part = map[claimKey]*list.Element{}
		cps.parts[row.part] = part
	}
	part[row.id] = cps.byAge.PushBack(row)
	cps.bytes += row.size
	for cps.byAge.Len() > cps.maxCopies || cps.bytes > cps.maxBytes && cps.byAge.Len() > 1 {
		old := cps.byAge.Front()
		if old.Value.(*copyRow).expires.After(time.Now()) {
			cps.cnt.Event("record_copies_dropped")
		}
		cps.remove(old)
	}
}

func (cps *copyStore) remove(elm *list.Element) {
	row := cps.byAge.Remove(elm).(*copyRow)
	cps.bytes -= row.size
	delete(cps.parts[row.part], row.id)
	if len(cps.parts[row.part]) == 0 {
		delete(cps.parts, row.part)
	}
}

// find returns the unexpired copies of a partition with their remaining time to live.
func (cps *copyStore) find(part partitionID) []*peerpb.RecordCopy {
	now := time.Now()
	cps.mu.Lock()
	defer cps.mu.Unlock()
	var out []*peerpb.RecordCopy
	for _, elm := range cps.parts[part] {
		row := elm.Value.(*copyRow)
		if now.Before(row.expires) {
			out = append(out, withTTL(row.copy, row.expires.Sub(now)))
		}
	}
	return out
}

// withTTL returns a copy with another time to live; it shares the stored answer.
func withTTL(cpy *peerpb.RecordCopy, ttl time.Duration) *peerpb.RecordCopy {
	rec := cpy.GetRecord()
	return &peerpb.RecordCopy{
		Partition: cpy.GetPartition(), Token: cpy.GetToken(), Sequence: cpy.GetSequence(),
		Record: &peerpb.IdempotencyRecord{
			Service: rec.GetService(), Key: rec.GetKey(), IdempotencyKey: rec.GetIdempotencyKey(), Fingerprint: rec.GetFingerprint(),
			Outcome: rec.GetOutcome(), Response: rec.GetResponse(), TtlMs: uint32(ttl.Milliseconds()),
			AllowedRegions: rec.GetAllowedRegions(),
		},
	}
}

// sweep removes the expired copies.
func (cps *copyStore) sweep(now time.Time) {
	cps.mu.Lock()
	defer cps.mu.Unlock()
	if now.Sub(cps.swept) < copySweepInterval {
		return
	}
	cps.swept = now
	for elm := cps.byAge.Front(); elm != nil; {
		next := elm.Next()
		if !now.Before(elm.Value.(*copyRow).expires) {
			cps.remove(elm)
		}
		elm = next
	}
}

// size returns the number of copies and their total size in bytes.
func (cps *copyStore) size() (num, bytes int) {
	cps.mu.Lock()
	defer cps.mu.Unlock()
	return cps.byAge.Len(), cps.bytes
}
