package owner

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// moveKey names a shard at one token.
type moveKey struct {
	shard shardID
	token uint64
}

// move is the release of one shard.
type move struct {
	row      *controlpb.Shard
	sending  bool // its records are being transferred
	sent     bool // its records were transferred, or given up
	reported time.Time
}

func moveKeyOf(row *controlpb.Shard) moveKey {
	return moveKey{shard: shardOf(row), token: row.GetToken()}
}

func (own *Owner) moving() bool {
	own.mu.Lock()
	defer own.mu.Unlock()
	return len(own.moves) > 0
}

// release refuses what waits for the rows that are being released, and reports those with nothing in flight.
func (own *Owner) release(ctx context.Context, rows []*controlpb.Shard) {
	for target, part := range own.releasable(rows) {
		go own.finishMove(ctx, target, part)
	}
}

// releasable updates the moves and returns the rows that can be reported now, by target. A backend server that holds its keys by heartbeats gives a row back only once it has finished its work, and until an answer asks it to do so the row is served.
func (own *Owner) releasable(rows []*controlpb.Shard) map[uint64][]*controlpb.Shard {
	holds := own.bck.HoldsKeys()
	own.mu.Lock()
	defer own.mu.Unlock()
	own.updateMoves(rows)
	parts := map[uint64][]*controlpb.Shard{}
	for _, mov := range own.moves {
		if !holds {
			own.refuseQueuedOf(mov.row)
		}
		if mov.sending || time.Since(mov.reported) < releaseRepeatInterval || !holds && own.inFlight(mov.row) {
			continue
		}
		mov.sending = true
		parts[mov.row.GetTarget()] = append(parts[mov.row.GetTarget()], mov.row)
	}
	return parts
}

// updateMoves takes up new moves and drops those whose row has changed.
func (own *Owner) updateMoves(rows []*controlpb.Shard) {
	seen := map[moveKey]bool{}
	for _, row := range rows {
		if row.GetPhase() != controlpb.Phase_PHASE_RELEASING {
			continue
		}
		key := moveKeyOf(row)
		seen[key] = true
		if own.moves[key] == nil {
			own.moves[key] = &move{row: row}
		}
	}
	for key, mov := range own.moves {
		if !seen[key] && !mov.sending {
			delete(own.moves, key)
		}
	}
}

// refuseQueuedOf refuses the waiting attempts of a row.
func (own *Owner) refuseQueuedOf(row *controlpb.Shard) {
	var tcks []*ticket
	for tck := range own.queued() {
		if covers(row, tck) {
			tcks = append(tcks, tck)
		}
	}
	for _, tck := range tcks {
		own.refuseWaiting(tck, siskinrill.ReasonMoving)
	}
}

// inFlight reports whether an attempt of the row is handed over.
func (own *Owner) inFlight(row *controlpb.Shard) bool {
	if own.flt.releaseEarly {
		return false
	}
	for tck := range own.running {
		if covers(row, tck) {
			return true
		}
	}
	return false
}

// covers reports whether a ticket belongs to a row; that of an override also covers what began under the key's partition, before the override existed.
func covers(row *controlpb.Shard, tck *ticket) bool {
	if row.GetService() != tck.shard.service {
		return false
	}
	if row.GetKey() != "" {
		return row.GetKey() == tck.att.Open().GetKey()
	}
	return tck.shard.key == "" && row.GetPartition() == tck.shard.partition
}

// finishMove transfers the records, waits until the backend server holds the rows no longer, and reports them as released.
func (own *Owner) finishMove(ctx context.Context, target uint64, rows []*controlpb.Shard) {
	if unsent := own.unsent(rows); len(unsent) > 0 {
		own.sendRecords(ctx, target, unsent)
	}
	refs := make([]*controlpb.ShardRef, 0, len(rows))
	for _, row := range rows {
		refs = append(refs, refOf(row))
	}
	if remaining, done := own.bck.Revoke(ctx, refs); done {
		own.ses.Release(remaining)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, row := range rows {
		mov := own.moves[moveKeyOf(row)]
		mov.sending = false
		mov.sent = true
		mov.reported = time.Now()
	}
	own.wakeRun()
}

// unsent returns the rows whose records were not transferred with an earlier report.
func (own *Owner) unsent(rows []*controlpb.Shard) []*controlpb.Shard {
	own.mu.Lock()
	defer own.mu.Unlock()
	var list []*controlpb.Shard
	for _, row := range rows {
		if !own.moves[moveKeyOf(row)].sent {
			list = append(list, row)
		}
	}
	return list
}
