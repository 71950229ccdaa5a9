package registry

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// setZoneDrain stores or removes the order to drain a zone. An order that changes nothing is not sent to agents. The zone
// need not have agents: its agents may register later, and the order must hold for them too.
func (reg *Registry) setZoneDrain(idx uint64, cmd *controlpb.SetZoneDrain) {
	pos, drained := slices.BinarySearch(reg.state.GetDrainedZones(), cmd.GetZone())
	if drained == cmd.GetDrain() || cmd.GetZone() == "" {
		return
	}
	if cmd.GetDrain() {
		reg.state.DrainedZones = slices.Insert(reg.state.DrainedZones, pos, cmd.GetZone())
	} else {
		reg.state.DrainedZones = slices.Delete(reg.state.DrainedZones, pos, pos+1)
	}
	reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_SetZoneDrain{SetZoneDrain: proto.CloneOf(cmd)}})
}

// mayReceive reports whether rows of a service may be assigned to a session. An assignment that was proposed before the
// drain of its target's zone was committed is skipped. A row whose release has already begun still goes to its target,
// since its handover text would be lost otherwise, and is moved on from there.
func (reg *Registry) mayReceive(ses uint64, svc string) bool {
	_, drained := slices.BinarySearch(reg.state.GetDrainedZones(), reg.node(ses).GetZone())
	return !drained && reg.canOwn(ses, svc)
}
