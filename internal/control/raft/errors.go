package raft

import "fmt"

// NotLeaderError tells that a request needs the leader; the id is 0 while none is known.
type NotLeaderError struct {
	leader uint64
}

// Leader returns the member id of the leader, 0 while not known.
func (nle *NotLeaderError) Leader() uint64 { return nle.leader }

// Error names the leader.
func (nle *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; member %d leads", nle.leader)
}

// TransferringError tells that the leader takes no proposals while it hands over leadership.
type TransferringError struct {
	target uint64
}

// Target returns the member id of the next leader.
func (tre *TransferringError) Target() uint64 { return tre.target }

// Error names the next leader.
func (tre *TransferringError) Error() string {
	return fmt.Sprintf("leadership is being transferred to member %d", tre.target)
}

// MembersError tells why a membership change was refused; Retry is true when it may be accepted later.
type MembersError struct {
	reason string
	retry  bool
}

// Reason returns the cause in words.
func (mbe *MembersError) Reason() string { return mbe.reason }

// Retry reports whether the same change may be accepted later.
func (mbe *MembersError) Retry() bool { return mbe.retry }

// Error returns the reason.
func (mbe *MembersError) Error() string { return "membership change refused: " + mbe.reason }
