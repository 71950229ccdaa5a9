package member

import "fmt"

// UnknownOutcomeError reports that a proposal may or may not be committed, because this process lost leadership or
// stopped, or the caller's context ended, before the outcome was known.
type UnknownOutcomeError struct {
	index uint64
	term  uint64
	cause error
}

// Index returns the log index assigned to the proposal.
func (uoe *UnknownOutcomeError) Index() uint64 { return uoe.index }

// Term returns the term in which the entry was proposed.
func (uoe *UnknownOutcomeError) Term() uint64 { return uoe.term }

// Unwrap returns why the outcome is unknown.
func (uoe *UnknownOutcomeError) Unwrap() error { return uoe.cause }

// Error states the entry and the cause.
func (uoe *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of entry %d of term %d is not known: %v", uoe.index, uoe.term, uoe.cause)
}

// OverloadError reports that too many proposals wait for a majority; the proposal was not appended.
type OverloadError struct {
	waiting int
}

// Waiting returns the number of proposals that wait for a majority.
func (ove *OverloadError) Waiting() int { return ove.waiting }

// Error states the number of waiting proposals.
func (ove *OverloadError) Error() string {
	return fmt.Sprintf("%d proposals wait for a majority", ove.waiting)
}

// StoppedError reports that this process no longer runs its part of the log.
type StoppedError struct {
	cause error
}

// Unwrap returns the failure that stopped it, or nil after a planned stop.
func (spe *StoppedError) Unwrap() error { return spe.cause }

// Error states the failure, if any.
func (spe *StoppedError) Error() string {
	if spe.cause == nil {
		return "the control process has stopped"
	}
	return fmt.Sprintf("the control process has stopped: %v", spe.cause)
}

// ChangeError reports why a membership change was refused.
type ChangeError struct {
	name   string
	reason string
}

// Name returns the name of the member to be changed.
func (che *ChangeError) Name() string { return che.name }

// Error states the member and the reason.
func (che *ChangeError) Error() string {
	return fmt.Sprintf("change of member %q refused: %s", che.name, che.reason)
}
