package siskinrill

import (
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// ServerStart identifies one start of a backend server. The agent beside the server, and with it the session, may change.
type ServerStart struct {
	ID          string
	Incarnation uint64 // increases with each start on one host, also if the id changes; 0: not stated
}

// startMessage is a message of control that names a start, such as a registered backend server.
type startMessage interface {
	GetId() string
	GetIncarnation() uint64
}

// StartOf returns the start that a message of control names, the zero value for a nil message.
func StartOf(msg startMessage) ServerStart {
	return ServerStart{ID: msg.GetId(), Incarnation: msg.GetIncarnation()}
}

// StartOfAdvice returns the start that the advice of a backend server is of.
func StartOfAdvice(adv *peerpb.Advice) ServerStart {
	return ServerStart{ID: adv.GetUpstream(), Incarnation: adv.GetIncarnation()}
}

// IsStated reports whether the server states its incarnation. Otherwise two starts of it cannot be told apart.
func (sst ServerStart) IsStated() bool { return sst.Incarnation != 0 }

// Differs reports whether two starts on one host are known to be different ones.
func (sst ServerStart) Differs(from ServerStart) bool {
	return sst.IsStated() && from.IsStated() && sst != from
}

// Precedes reports whether a start on a host is known to be an earlier one than another on it.
func (sst ServerStart) Precedes(other ServerStart) bool {
	return sst.IsStated() && sst.Incarnation < other.Incarnation
}

// UpTo reports whether a start is a given one of the same server or an earlier one of it.
func (sst ServerStart) UpTo(last ServerStart) bool {
	return sst.ID == last.ID && sst.IsStated() && sst.Incarnation <= last.Incarnation
}

// HoldsRows reports whether control leaves rows with a backend server in its state.
func HoldsRows(ups *controlpb.Upstream) bool {
	return ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING ||
		ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
}

// KeepsRows reports whether control leaves rows with an agent whose report of its backend server changes: the server may hold rows in
// both reports and has not started anew.
func KeepsRows(old, ups *controlpb.Upstream) bool {
	return HoldsRows(old) && HoldsRows(ups) && StartOf(old) == StartOf(ups) && old.GetService() == ups.GetService()
}
