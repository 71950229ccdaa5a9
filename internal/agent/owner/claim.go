package owner

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// claimKey identifies an Idempotency-Key within a service and key.
type claimKey struct {
	service string
	key     string
	idem    string
}

// claim is the record of an Idempotency-Key; the owner's mutex guards it until its request has ended.
type claim struct {
	id          claimKey
	running     bool
	fingerprint uint64 // hash over method, target and body; 0: not known
	outcome     peerpb.Outcome
	reason      siskinrill.Reason
	kept        *peerpb.Response
	expires     time.Time
	done        chan struct{} // closed when the request ends; nil if the record was taken over from another agent
	adopted     bool          // created from a copy on another agent
	regions     []string      // in which the record may be stored, empty: all
}

// expire drops the record unless its request still runs.
func (clm *claim) expire(own *Owner) time.Time {
	if clm.running {
		return time.Now().Add(time.Second)
	}
	if own.claims[clm.id] != clm {
		return time.Time{}
	}
	own.dropClaim(clm)
	return time.Time{}
}

func (own *Owner) dropClaim(clm *claim) {
	delete(own.claims, clm.id)
	own.keptBytes -= keptSize(clm.kept)
}

// usesIdempotencyKey reports whether the Idempotency-Key is honoured; an idempotent request may run again anyway.
func (tck *ticket) usesIdempotencyKey() bool {
	return tck.atMostOnce && tck.att.Open().GetIdempotencyKey() != ""
}

// digest returns the digest for the fingerprint, nil if the request needs none.
func (tck *ticket) digest() *xxhash.Digest {
	if !tck.usesIdempotencyKey() {
		return nil
	}
	return newDigest(tck.att.Open())
}

// newDigest returns a digest of the method, the target and the first part of the body.
func newDigest(opn *peerpb.Open) *xxhash.Digest {
	dig := xxhash.New()
	_, _ = dig.WriteString(opn.GetMethod())
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(opn.GetTarget())
	_, _ = dig.Write([]byte{0})
	_, _ = dig.Write(opn.GetBody())
	return dig
}

// fingerprint returns the fingerprint of the request, 0 until the complete body has been read.
func (tck *ticket) fingerprint() uint64 {
	if tck.bdy == nil {
		return nonZero(newDigest(tck.att.Open()).Sum64())
	}
	return tck.bdy.fingerprint()
}

// awaitClaim returns the stored answer, waiting for a running request with the same Idempotency-Key, or nil if this
// attempt is the one to run.
func (own *Owner) awaitClaim(ctx context.Context, tck *ticket) (*peerpb.Response, *siskinrill.Refusal) {
	for {
		clm, done, ref := own.claim(tck)
		if ref != nil {
			return nil, ref
		}
		if clm == tck.claim {
			return nil, nil
		}
		if done == nil {
			return own.replay(tck, clm)
		}
		own.cnt.Event("idempotency_waits")
		select {
		case <-done:
		case ref := <-tck.wake:
			return nil, ref
		case <-ctx.Done():
			return nil, siskinrill.Unknown(waitReason(ctx), ctx.Err())
		}
	}
}

// claim returns the record of the Idempotency-Key, and the channel to wait on while its request runs; a new record
// belongs to the ticket.
func (own *Owner) claim(tck *ticket) (*claim, <-chan struct{}, *siskinrill.Refusal) {
	opn := tck.att.Open()
	idt := claimKey{service: opn.GetService(), key: opn.GetKey(), idem: opn.GetIdempotencyKey()}
	own.mu.Lock()
	defer own.mu.Unlock()
	if clm := own.claims[idt]; clm != nil && (clm.running || time.Now().Before(clm.expires)) {
		tck.rec.duplicate = true
		if clm.running {
			return clm, clm.done, nil
		}
		return clm, nil, nil
	}
	tck.rec.duplicate = false
	if len(own.claims) >= own.opt.MaxIdempotency {
		return nil, nil, siskinrill.NotRun(siskinrill.ReasonRecordsFull).WithRetryAfter(time.Second)
	}
	if old := own.claims[idt]; old != nil {
		own.dropClaim(old)
	}
	tck.claim = &claim{id: idt, running: true, done: make(chan struct{}), regions: opn.GetAllowedRegions()}
	own.claims[idt] = tck.claim
	return tck.claim, nil, nil
}

// replay answers from the record of an ended request.
func (own *Owner) replay(tck *ticket, clm *claim) (*peerpb.Response, *siskinrill.Refusal) {
	if tck.bdy != nil {
		_, _ = io.Copy(io.Discard, tck.bdy)
	}
	prt := tck.fingerprint()
	switch {
	case clm.fingerprint == 0 || prt == 0:
		return nil, siskinrill.Unknown(siskinrill.ReasonAnswerNotKept, nil)
	case clm.fingerprint != prt:
		return nil, siskinrill.NotRun(siskinrill.ReasonIdempotencyKeyReused)
	case clm.outcome != peerpb.Outcome_OUTCOME_COMPLETE:
		return nil, siskinrill.Unknown(clm.reason, nil)
	case clm.kept == nil:
		return nil, siskinrill.Unknown(siskinrill.ReasonAnswerNotKept, nil)
	default:
		own.cnt.Event("idempotency_repeated")
		return clm.kept, nil
	}
}

// endClaim ends the record that belongs to the ticket; the caller holds the mutex. A request that did not run leaves
// no record.
func (own *Owner) endClaim(tck *ticket, how attemptEnd) {
	clm := tck.claim
	if clm == nil {
		return
	}
	tck.claim = nil
	defer own.updateCopies(tck, clm)
	if how.outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		clm.outcome = how.outcome
		delete(own.claims, clm.id)
	} else {
		clm.outcome = how.outcome
		clm.reason = how.reason
		clm.fingerprint = tck.fingerprint()
		clm.kept = own.keepAnswer(how.response)
		clm.expires = time.Now().Add(tck.ttl)
		own.whe.add(clm.expires, clm)
	}
	clm.running = false
	close(clm.done)
}
