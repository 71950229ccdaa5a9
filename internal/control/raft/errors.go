package raft

import "fmt"

// NotLeaderError is returned for a request that only the leader can handle; the id is 0 while no leader is
// known.
type NotLeaderError struct {
	leader uint64
}

// Leader returns the member id of the leader, 0 while not known.
func (nle *NotLeaderError) Leader() uint64 { return nle.leader }

// Error includes the id of the leader.
func (nle *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader; member %d leads", nle.leader)
}

// TransferringError is returned for a proposal while the leader transfers its leadership.
type TransferringError struct {
	target uint64
}

// Target returns the member id of the next leader.
func (tre *TransferringError) Target() uint64 { return tre.target }

// Error includes the id of the next leader.
func (tre *TransferringError) Error() string {
	return fmt.Sprintf("leadership is being transferred to member %d", tre.target)
}

// MembersError states why a membership change was refused.
type MembersError struct {
	reason string
	retry  bool
}

// Reason returns the cause in plain text.
func (mbe *MembersError) Reason() string { return mbe.reason }

// Retry reports whether the same change may be accepted later.
func (mbe *MembersError) Retry() bool { return mbe.retry }

// Error returns the reason with a prefix.
func (mbe *MembersError) Error() string { return "membership change refused: " + mbe.reason }
