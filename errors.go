package siskinrill

import (
	"fmt"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Refusal tells why an attempt ended without a whole answer, and whether it may have run.
type Refusal struct {
	reason     Reason
	outcome    peerpb.Outcome
	retryAfter time.Duration
	version    uint64
	load       *peerpb.OwnerLoad
	cause      error
}

// NewRefusal returns a refusal with an outcome of not_run or unknown and an optional cause.
func NewRefusal(rsn Reason, out peerpb.Outcome, cause error) *Refusal {
	return &Refusal{reason: rsn, outcome: out, cause: cause}
}

// NotRun returns a refusal of a request that certainly did not run.
func NotRun(rsn Reason) *Refusal {
	return NewRefusal(rsn, peerpb.Outcome_OUTCOME_NOT_RUN, nil)
}

// Unknown returns a refusal of a request that may have run.
func Unknown(rsn Reason, cause error) *Refusal {
	return NewRefusal(rsn, peerpb.Outcome_OUTCOME_UNKNOWN, cause)
}

// WithRetryAfter returns a copy that advises the caller to wait before a retry.
func (ref *Refusal) WithRetryAfter(dur time.Duration) *Refusal {
	cpy := *ref
	cpy.retryAfter = dur
	return &cpy
}

// WithVersion returns a copy that carries the refusing agent's newest applied log index.
func (ref *Refusal) WithVersion(ver uint64) *Refusal {
	cpy := *ref
	cpy.version = ver
	return &cpy
}

// WithLoad returns a copy that carries what the refusing agent has in hand.
func (ref *Refusal) WithLoad(lod *peerpb.OwnerLoad) *Refusal {
	cpy := *ref
	cpy.load = lod
	return &cpy
}

// Load returns what the refusing agent has in hand, nil if it did not tell.
func (ref *Refusal) Load() *peerpb.OwnerLoad { return ref.load }

// Reason returns the reason, which is also the name of its counter.
func (ref *Refusal) Reason() Reason { return ref.reason }

// Outcome returns whether the request certainly did not run or may have run.
func (ref *Refusal) Outcome() peerpb.Outcome { return ref.outcome }

// NotRun reports whether it is proved that the request did not run.
func (ref *Refusal) NotRun() bool { return ref.outcome == peerpb.Outcome_OUTCOME_NOT_RUN }

// RetryAfter returns the advised wait before a retry, zero for none.
func (ref *Refusal) RetryAfter() time.Duration { return ref.retryAfter }

// Version returns the refusing agent's newest applied log index, zero if not known.
func (ref *Refusal) Version() uint64 { return ref.version }

// Unwrap returns the cause, or nil.
func (ref *Refusal) Unwrap() error { return ref.cause }

// Error returns the reason, the outcome and the cause.
func (ref *Refusal) Error() string {
	if ref.cause != nil {
		return fmt.Sprintf("%s (%s): %v", ref.reason, OutcomeText(ref.outcome), ref.cause)
	}
	return fmt.Sprintf("%s (%s)", ref.reason, OutcomeText(ref.outcome))
}

// OutcomeText returns the value of the Siskinrill-Outcome header.
func OutcomeText(out peerpb.Outcome) string {
	switch out {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		return "complete"
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	default:
		return "unknown"
	}
}

// NotLeaderError tells that another control process leads; the address is empty while none is known.
type NotLeaderError struct {
	address string
}

// NewNotLeaderError returns the error with the IP:port of the leader's gRPC listener.
func NewNotLeaderError(addr string) *NotLeaderError { return &NotLeaderError{address: addr} }

// Address returns the IP:port of the leader's gRPC listener, empty while not known.
func (nle *NotLeaderError) Address() string { return nle.address }

// Error names the leader.
func (nle *NotLeaderError) Error() string {
	if nle.address == "" {
		return "no control leader is known"
	}
	return "the control leader is at " + nle.address
}
