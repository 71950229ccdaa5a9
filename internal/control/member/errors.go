package member

import "fmt"

// UnknownOutcomeError tells that a proposal may or may not be committed, because this process lost leadership, stopped, or the caller's context ended before that was known.
type UnknownOutcomeError struct {
	index uint64
	term  uint64
	cause error
}

// Index returns the log index that the proposal was given.
func (uoe *UnknownOutcomeError) Index() uint64 { return uoe.index }

// Term returns the term in which it was proposed.
func (uoe *UnknownOutcomeError) Term() uint64 { return uoe.term }

// Unwrap returns why the outcome is not known.
func (uoe *UnknownOutcomeError) Unwrap() error { return uoe.cause }

// Error names the entry and the cause.
func (uoe *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of entry %d of term %d is not known: %v", uoe.index, uoe.term, uoe.cause)
}

// OverloadError tells that too many proposals wait for a majority; the proposal was not appended.
type OverloadError struct {
	waiting int
}

// Waiting returns the number of proposals that wait.
func (ove *OverloadError) Waiting() int { return ove.waiting }

// Error names the number of proposals that wait.
func (ove *OverloadError) Error() string {
	return fmt.Sprintf("%d proposals wait for a majority", ove.waiting)
}

// StoppedError tells that this process has ended its part of the log.
type StoppedError struct {
	cause error
}

// Unwrap returns the failure that ended it, nil after a planned stop.
func (spe *StoppedError) Unwrap() error { return spe.cause }

// Error names the failure.
func (spe *StoppedError) Error() string {
	if spe.cause == nil {
		return "the control process has stopped"
	}
	return fmt.Sprintf("the control process has stopped: %v", spe.cause)
}

// ChangeError tells why a change of the membership cannot be made.
type ChangeError struct {
	name   string
	reason string
}

// Name returns the name of the member that was to change.
func (che *ChangeError) Name() string { return che.name }

// Error names the member and the reason.
func (che *ChangeError) Error() string {
	return fmt.Sprintf("change of member %q refused: %s", che.name, che.reason)
}
