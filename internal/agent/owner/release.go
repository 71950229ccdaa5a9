package owner

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// moveKey identifies a shard at one token.
type moveKey struct {
	shard shardID
	token uint64
}

// move is the release of one shard.
type move struct {
	row      *controlpb.Shard
	sending  bool // its records are being transferred and its release reported
	sent     bool // its records were transferred, or the transfer was abandoned
	reported time.Time
}

func moveKeyOf(row *controlpb.Shard) moveKey {
	return moveKey{shard: shardOf(row), token: row.GetToken()}
}

func moveKeyOfRef(ref *controlpb.ShardRef) moveKey {
	return moveKey{shard: shardOfRef(ref), token: ref.GetToken()}
}

func (own *Owner) moving() bool {
	own.mu.Lock()
	defer own.mu.Unlock()
	return len(own.moves) > 0
}

// release refuses the requests that wait for rows being released, and reports the rows with nothing in flight.
func (own *Owner) release(ctx context.Context, rows []*controlpb.Shard) {
	for target, part := range own.releasable(rows) {
		go own.finishMove(ctx, target, part)
	}
}

// releasable updates the moves and returns the rows that can be reported now, by target. A backend server that holds
// its keys by heartbeats releases a row only after it has finished its work, and the row is served until a heartbeat
// answer asks for that release.
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

// updateMoves adds new moves and removes those whose row has changed.
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

// inFlight reports whether an attempt of the row has been dispatched and has not ended.
func (own *Owner) inFlight(row *controlpb.Shard) bool {
	if own.flt.releaseEarly {
		return false
	}
	for tck := range own.holders {
		if tck.isRunning() && covers(row, tck) {
			return true
		}
	}
	return false
}

// covers reports whether a ticket belongs to a row; the row of an override also covers attempts that started under
// the key's partition before the override existed.
func covers(row *controlpb.Shard, tck *ticket) bool {
	if row.GetService() != tck.shard.service {
		return false
	}
	if row.GetKey() != "" {
		return row.GetKey() == tck.att.Open().GetKey()
	}
	return tck.shard.key == "" && row.GetPartition() == tck.shard.partition
}

// finishMove transfers the records, and reports each row as released once the backend server no longer holds it.
func (own *Owner) finishMove(ctx context.Context, target uint64, rows []*controlpb.Shard) {
	if unsent := own.unsent(rows); len(unsent) > 0 {
		own.sendRecords(ctx, target, unsent)
	}
	refs := make([]*controlpb.ShardRef, 0, len(rows))
	pending := map[moveKey]bool{}
	for _, row := range rows {
		refs = append(refs, refOf(row))
		pending[moveKeyOf(row)] = true
	}
	for free := range own.bck.Revoke(ctx, refs) {
		own.ses.Release(free)
		for _, ref := range free {
			key := moveKeyOfRef(ref)
			own.endMove(key)
			delete(pending, key)
		}
		own.wakeRun()
	}
	for key := range pending {
		own.endMove(key)
	}
	own.wakeRun()
}

// endMove records that the records of a move were transferred and its release was reported, or could not be.
func (own *Owner) endMove(key moveKey) {
	own.mu.Lock()
	defer own.mu.Unlock()
	mov := own.moves[key]
	mov.sending = false
	mov.sent = true
	mov.reported = time.Now()
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
