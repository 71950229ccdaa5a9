package owner

import (
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// attemptID identifies an attempt.
type attemptID struct {
	entry   uint64
	counter uint64
}

func idOf(idt *peerpb.AttemptId) attemptID {
	return attemptID{entry: idt.GetEntrySession(), counter: idt.GetCounter()}
}

// phase is the state of an attempt.
type phase uint8

const (
	phaseQueued phase = iota
	phaseDispatched
	phaseDone
)

// record is the state of an attempt; the owner's mutex guards it.
type record struct {
	id        attemptID
	phase     phase
	withdrawn bool
	duplicate bool           // waits for another attempt with the same Idempotency-Key
	outcome   peerpb.Outcome // once done
	kept      *peerpb.Response
	expires   time.Time
	tck       *ticket       // until done
	done      chan struct{} // created when a withdrawal waits for the end; closed at the end
}

// expire drops the record unless its attempt still runs.
func (rec *record) expire(own *Owner) time.Time {
	if rec.phase != phaseDone {
		return time.Now().Add(time.Second)
	}
	delete(own.records, rec.id)
	own.past.forget(rec.id)
	own.keptBytes -= keptSize(rec.kept)
	return time.Time{}
}

// endedAttempts holds the ids of ended attempts in two generations. For older ones only the highest counter of each
// entry session is known.
type endedAttempts struct {
	limit            int
	newer            map[attemptID]peerpb.Outcome
	older            map[attemptID]peerpb.Outcome
	forgotten        map[uint64]uint64 // by entry session: attempts up to this counter may have been dropped
	forgottenSession uint64            // entry sessions up to this one have been dropped completely
	rotated          time.Time
}

// maxForgottenSessions is the maximum number of entry sessions whose highest dropped counter is kept; a deployment
// has 810.
const maxForgottenSessions = 8192

func newEndedAttempts(limit int) *endedAttempts {
	return &endedAttempts{
		limit: limit, newer: map[attemptID]peerpb.Outcome{}, older: map[attemptID]peerpb.Outcome{},
		forgotten: map[uint64]uint64{}, rotated: time.Now(),
	}
}

// add stores the id of an ended attempt for at least recordRetention, or less if many attempts end.
func (ead *endedAttempts) add(idt attemptID, out peerpb.Outcome) {
	if len(ead.newer) >= ead.limit {
		ead.rotate()
	}
	ead.newer[idt] = out
}

// find returns the outcome of an ended attempt, unknown if its id may have been dropped; false means that it never
// arrived here.
func (ead *endedAttempts) find(idt attemptID) (peerpb.Outcome, bool) {
	if out, ok := ead.newer[idt]; ok {
		return out, true
	}
	if out, ok := ead.older[idt]; ok {
		return out, true
	}
	if idt.entry <= ead.forgottenSession {
		return peerpb.Outcome_OUTCOME_UNKNOWN, true
	}
	high, ok := ead.forgotten[idt.entry]
	return peerpb.Outcome_OUTCOME_UNKNOWN, ok && idt.counter <= high
}

// forget drops an attempt; from then on nothing is stated about it and earlier attempts of its entry session.
func (ead *endedAttempts) forget(idt attemptID) {
	if idt.entry <= ead.forgottenSession {
		return
	}
	ead.forgotten[idt.entry] = max(ead.forgotten[idt.entry], idt.counter)
	if len(ead.forgotten) > maxForgottenSessions {
		ead.forgetOldestSession()
	}
}

// forgetOldestSession drops the oldest entry session, which has the lowest number because sessions are log indexes.
func (ead *endedAttempts) forgetOldestSession() {
	low := ^uint64(0)
	for ses := range ead.forgotten {
		low = min(low, ses)
	}
	ead.forgottenSession = low
	delete(ead.forgotten, low)
}

func (ead *endedAttempts) rotate() {
	for idt := range ead.older {
		ead.forget(idt)
	}
	ead.older = ead.newer
	ead.newer = map[attemptID]peerpb.Outcome{}
	ead.rotated = time.Now()
}

func (ead *endedAttempts) sweep(now time.Time) {
	if now.Sub(ead.rotated) >= recordRetention {
		ead.rotate()
	}
}

// register creates the record of an attempt, or refuses an attempt that has been here before.
func (own *Owner) register(tck *ticket) *siskinrill.Refusal {
	own.mu.Lock()
	defer own.mu.Unlock()
	if _, ok := own.records[tck.rec.id]; ok {
		return siskinrill.Unknown(siskinrill.ReasonDuplicateAttempt, nil)
	}
	out, ok := own.past.find(tck.rec.id)
	if ok && out == peerpb.Outcome_OUTCOME_NOT_RUN {
		return siskinrill.NotRun(siskinrill.ReasonWithdrawn)
	}
	if ok {
		return siskinrill.Unknown(siskinrill.ReasonDuplicateAttempt, nil)
	}
	if len(own.records) >= own.opt.MaxRecords {
		return siskinrill.NotRun(siskinrill.ReasonRecordsFull).WithRetryAfter(time.Second)
	}
	own.records[tck.rec.id] = tck.rec
	own.attempts++
	return nil
}

// endRecord ends the record of an attempt; the caller holds the mutex.
func (own *Owner) endRecord(tck *ticket, out peerpb.Outcome, kept *peerpb.Response) {
	rec := tck.rec
	own.attempts--
	rec.phase = phaseDone
	rec.outcome = out
	rec.tck = nil
	if tck.atMostOnce && out != peerpb.Outcome_OUTCOME_NOT_RUN {
		rec.kept = own.keepAnswer(kept)
		rec.expires = tck.deadline.Add(recordRetention)
		own.whe.add(rec.expires, rec)
	} else {
		delete(own.records, rec.id)
		own.past.add(rec.id, out)
	}
	if rec.done != nil {
		close(rec.done)
	}
}

// keepAnswer returns the answer if it may be stored, and counts its size; the caller holds the mutex.
func (own *Owner) keepAnswer(res *peerpb.Response) *peerpb.Response {
	size := keptSize(res)
	if size == 0 {
		return nil
	}
	if size > maxKeptAnswer || own.keptBytes+size > own.opt.MaxKeptBytes {
		own.cnt.Event("answer_too_long_to_keep")
		return nil
	}
	own.keptBytes += size
	return res
}

// keptSize returns the stored size of an answer with its headers, 0 for none.
func keptSize(res *peerpb.Response) int {
	if res == nil {
		return 0
	}
	size := 64 + len(res.GetBody())
	for _, fld := range res.GetHeaders() {
		size += len(fld.GetName())
		for _, val := range fld.GetValues() {
			size += len(val)
		}
	}
	return size
}
