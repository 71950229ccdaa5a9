package siskinrill

import (
	"fmt"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Refusal is the error of an attempt that ended without a complete answer; it states the reason and whether the request
// may have run.
type Refusal struct {
	reason     Reason
	outcome    peerpb.Outcome
	retryAfter time.Duration
	version    uint64
	load       *peerpb.OwnerLoad
	cause      error
}

// NewRefusal returns a refusal whose outcome is not_run or unknown; the cause may be nil.
func NewRefusal(rsn Reason, out peerpb.Outcome, cause error) *Refusal {
	return &Refusal{reason: rsn, outcome: out, cause: cause}
}

// NotRun returns a refusal of a request that is guaranteed not to have run.
func NotRun(rsn Reason) *Refusal {
	return NewRefusal(rsn, peerpb.Outcome_OUTCOME_NOT_RUN, nil)
}

// Unknown returns a refusal of a request that may have run.
func Unknown(rsn Reason, cause error) *Refusal {
	return NewRefusal(rsn, peerpb.Outcome_OUTCOME_UNKNOWN, cause)
}

// WithRetryAfter returns a copy with the time that the caller should wait before a retry.
func (ref *Refusal) WithRetryAfter(dur time.Duration) *Refusal {
	cpy := *ref
	cpy.retryAfter = dur
	return &cpy
}

// WithVersion returns a copy with the last log index that the refusing agent has applied.
func (ref *Refusal) WithVersion(ver uint64) *Refusal {
	cpy := *ref
	cpy.version = ver
	return &cpy
}

// WithLoad returns a copy with the current load of the refusing agent.
func (ref *Refusal) WithLoad(lod *peerpb.OwnerLoad) *Refusal {
	cpy := *ref
	cpy.load = lod
	return &cpy
}

// Load returns the load of the refusing agent, nil if it was not reported.
func (ref *Refusal) Load() *peerpb.OwnerLoad { return ref.load }

// Reason returns the reason, which is also the name of the refusal's counter.
func (ref *Refusal) Reason() Reason { return ref.reason }

// Outcome returns not_run if the request is guaranteed not to have run, and unknown if it may have run.
func (ref *Refusal) Outcome() peerpb.Outcome { return ref.outcome }

// NotRun reports whether the request is guaranteed not to have run.
func (ref *Refusal) NotRun() bool { return ref.outcome == peerpb.Outcome_OUTCOME_NOT_RUN }

// RetryAfter returns the time that the caller should wait before a retry, zero if none is advised.
func (ref *Refusal) RetryAfter() time.Duration { return ref.retryAfter }

// Version returns the last log index that the refusing agent has applied, zero if not known.
func (ref *Refusal) Version() uint64 { return ref.version }

// Unwrap returns the cause, which may be nil.
func (ref *Refusal) Unwrap() error { return ref.cause }

// Error returns the reason, the outcome and, if there is one, the cause.
func (ref *Refusal) Error() string {
	if ref.cause != nil {
		return fmt.Sprintf("%s (%s): %v", ref.reason, OutcomeText(ref.outcome), ref.cause)
	}
	return fmt.Sprintf("%s (%s)", ref.reason, OutcomeText(ref.outcome))
}

// OutcomeText returns an outcome as it is written in the Siskinrill-Outcome header.
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

// NotLeaderError is returned by a control process that is not the leader; its address is empty while no leader is known.
type NotLeaderError struct {
	address string
}

// NewNotLeaderError returns the error for a leader whose gRPC listener is at an IP:port, empty if not known.
func NewNotLeaderError(addr string) *NotLeaderError { return &NotLeaderError{address: addr} }

// Address returns the IP:port of the leader's gRPC listener, empty if not known.
func (nle *NotLeaderError) Address() string { return nle.address }

// Error returns the address of the leader, or states that none is known.
func (nle *NotLeaderError) Error() string {
	if nle.address == "" {
		return "no control leader is known"
	}
	return "the control leader is at " + nle.address
}
