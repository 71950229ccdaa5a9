package registry

import (
	"slices"
	"strings"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	orphan    = controlpb.Phase_PHASE_ORPHAN
	owned     = controlpb.Phase_PHASE_OWNED
	releasing = controlpb.Phase_PHASE_RELEASING
)

func (reg *Registry) table(svc string) *controlpb.ServiceTable {
	pos, ok := reg.findTable(svc)
	if !ok {
		return nil
	}
	return reg.state.GetTables()[pos]
}

func (reg *Registry) findTable(svc string) (int, bool) {
	return slices.BinarySearchFunc(reg.state.GetTables(), svc, func(tab *controlpb.ServiceTable, svc string) int {
		return strings.Compare(tab.GetService(), svc)
	})
}

func findMoving(tab *controlpb.ServiceTable, prt uint32) (int, bool) {
	return slices.BinarySearchFunc(tab.GetMoving(), prt, func(row *controlpb.Shard, prt uint32) int {
		return int(row.GetPartition()) - int(prt)
	})
}

func findOverride(tab *controlpb.ServiceTable, key string) (int, bool) {
	return slices.BinarySearchFunc(tab.GetOverrides(), key, func(row *controlpb.Shard, key string) int {
		return strings.Compare(row.GetKey(), key)
	})
}

// partition returns a copy of the row of a partition, nil if it is out of range.
func partition(tab *controlpb.ServiceTable, prt uint32) *controlpb.Shard {
	if int(prt) >= len(tab.GetOwners()) {
		return nil
	}
	row := &controlpb.Shard{Service: tab.GetService(), Partition: prt, Owner: tab.GetOwners()[prt], Token: tab.GetTokens()[prt]}
	if pos, ok := findMoving(tab, prt); ok {
		row.Phase, row.Target = releasing, tab.GetMoving()[pos].GetTarget()
		return row
	}
	if row.GetOwner() != 0 {
		row.Phase, row.Handover = owned, tab.GetHandovers()[prt]
	}
	return row
}

// override returns a copy of the row of an override, nil if the key has none.
func override(tab *controlpb.ServiceTable, key string) *controlpb.Shard {
	pos, ok := findOverride(tab, key)
	if !ok {
		return nil
	}
	row := tab.GetOverrides()[pos]
	return &controlpb.Shard{
		Service: row.GetService(), Partition: row.GetPartition(), Key: row.GetKey(), Owner: row.GetOwner(),
		Token: row.GetToken(), Phase: row.GetPhase(), Target: row.GetTarget(), Retiring: row.GetRetiring(),
	}
}

// putRow stores a row, which must not be modified afterwards, and records the change.
func (reg *Registry) putRow(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard) {
	if row.GetKey() != "" {
		pos, ok := findOverride(tab, row.GetKey())
		if ok {
			tab.Overrides[pos] = row
		} else {
			tab.Overrides = slices.Insert(tab.Overrides, pos, row)
		}
	} else {
		putPartition(tab, row)
	}
	reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_SetShard{SetShard: row}})
}

func putPartition(tab *controlpb.ServiceTable, row *controlpb.Shard) {
	prt := row.GetPartition()
	tab.Owners[prt], tab.Tokens[prt] = row.GetOwner(), row.GetToken()
	putHandover(tab, row)
	pos, ok := findMoving(tab, prt)
	switch {
	case row.GetPhase() == releasing && ok:
		tab.Moving[pos] = row
	case row.GetPhase() == releasing:
		tab.Moving = slices.Insert(tab.Moving, pos, row)
	case ok:
		tab.Moving = slices.Delete(tab.Moving, pos, pos+1)
	}
}

func putHandover(tab *controlpb.ServiceTable, row *controlpb.Shard) {
	if row.GetHandover() == "" || row.GetPhase() != owned {
		delete(tab.GetHandovers(), row.GetPartition())
		return
	}
	if tab.GetHandovers() == nil {
		tab.Handovers = map[uint32]string{}
	}
	tab.Handovers[row.GetPartition()] = row.GetHandover()
}

// removeOverride returns a key to its partition. The partition's owner gets a newer token, so that tokens
// also increase per key.
func (reg *Registry) removeOverride(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard) {
	pos, ok := findOverride(tab, row.GetKey())
	if !ok {
		return
	}
	tab.Overrides = slices.Delete(tab.Overrides, pos, pos+1)
	ref := &controlpb.ShardRef{Service: tab.GetService(), Partition: row.GetPartition(), Key: row.GetKey(), Token: row.GetToken()}
	reg.ring.add(idx, &controlpb.Change{Kind: &controlpb.Change_RemoveOverride{RemoveOverride: ref}})
	if prt := partition(tab, row.GetPartition()); prt != nil && prt.GetPhase() == owned {
		prt.Token = idx
		reg.putRow(idx, tab, prt)
	}
}

// endOwnership ends the ownership of a row. The row goes to its target together with the handover value of the
// owner's backend server, becomes an orphan, or, for a retiring override, returns to its partition.
func (reg *Registry) endOwnership(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard, handover string) {
	if row.GetRetiring() {
		reg.removeOverride(idx, tab, row)
		return
	}
	tgt := row.GetTarget()
	row.Owner, row.Phase, row.Target, row.Handover = 0, orphan, 0, ""
	if tgt != 0 && reg.canOwn(tgt, tab.GetService()) {
		row.Owner, row.Phase, row.Token, row.Handover = tgt, owned, idx, handover
	}
	reg.putRow(idx, tab, row)
}

// revokeRows ends the ownership of all rows of sessions that no longer serve, and clears these sessions as
// targets.
func (reg *Registry) revokeRows(idx uint64, gone map[uint64]bool) {
	for _, tab := range reg.state.GetTables() {
		for _, row := range append([]*controlpb.Shard(nil), tab.GetMoving()...) {
			reg.clearTarget(idx, tab, partition(tab, row.GetPartition()), gone)
		}
		for prt, own := range tab.GetOwners() {
			if own != 0 && gone[own] {
				reg.endOwnership(idx, tab, partition(tab, uint32(prt)), "")
			}
		}
		for _, row := range append([]*controlpb.Shard(nil), tab.GetOverrides()...) {
			reg.clearTarget(idx, tab, override(tab, row.GetKey()), gone)
			if row.GetOwner() != 0 && gone[row.GetOwner()] {
				reg.endOwnership(idx, tab, override(tab, row.GetKey()), "")
			}
		}
	}
}

func (reg *Registry) clearTarget(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard, gone map[uint64]bool) {
	if row.GetTarget() != 0 && gone[row.GetTarget()] {
		row.Target = 0
		reg.putRow(idx, tab, row)
	}
}

// released completes the transfer of rows that their owner has released, and returns the number of skipped
// ones, such as those with another token.
func (reg *Registry) released(idx uint64, cmd *controlpb.Released) int {
	skipped := 0
	for _, ref := range cmd.GetShards() {
		tab, row := reg.findRow(ref)
		if row == nil || row.GetOwner() != cmd.GetSession() || row.GetToken() != ref.GetToken() || row.GetPhase() != releasing {
			skipped++
			continue
		}
		reg.endOwnership(idx, tab, row, ref.GetHandover())
	}
	return skipped
}

// findRow returns the table and a copy of the row of a reference; the row is nil if there is none.
func (reg *Registry) findRow(ref *controlpb.ShardRef) (*controlpb.ServiceTable, *controlpb.Shard) {
	tab := reg.table(ref.GetService())
	if tab == nil {
		return nil, nil
	}
	if ref.GetKey() != "" {
		return tab, override(tab, ref.GetKey())
	}
	return tab, partition(tab, ref.GetPartition())
}

func (reg *Registry) assign(idx uint64, cmd *controlpb.Assign) int {
	skipped := 0
	for _, asg := range cmd.GetAssignments() {
		if !reg.assignOne(idx, asg) {
			skipped++
		}
	}
	return skipped
}

func (reg *Registry) assignOne(idx uint64, asg *controlpb.Assignment) bool {
	if asg.GetKind() == controlpb.AssignmentKind_ASSIGNMENT_KIND_ISOLATE {
		return reg.isolate(idx, asg)
	}
	tab, row := reg.findRow(asg.GetShard())
	if row == nil || row.GetToken() != asg.GetShard().GetToken() {
		return false
	}
	switch asg.GetKind() {
	case controlpb.AssignmentKind_ASSIGNMENT_KIND_GRANT:
		return reg.grant(idx, tab, row, asg.GetTarget())
	case controlpb.AssignmentKind_ASSIGNMENT_KIND_MOVE:
		return reg.move(idx, tab, row, asg.GetTarget())
	case controlpb.AssignmentKind_ASSIGNMENT_KIND_RETIRE:
		return reg.retire(idx, tab, row)
	case controlpb.AssignmentKind_ASSIGNMENT_KIND_RENEW:
		return reg.renew(idx, tab, row, asg.GetTarget())
	}
	return false
}

func (reg *Registry) grant(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard, tgt uint64) bool {
	if row.GetPhase() != orphan || !reg.mayReceive(tgt, tab.GetService()) {
		return false
	}
	row.Owner, row.Phase, row.Token = tgt, owned, idx
	reg.putRow(idx, tab, row)
	return true
}

func (reg *Registry) move(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard, tgt uint64) bool {
	if row.GetPhase() != owned || row.GetOwner() == tgt || !reg.mayReceive(tgt, tab.GetService()) {
		return false
	}
	row.Phase, row.Target, row.Handover = releasing, tgt, ""
	reg.putRow(idx, tab, row)
	return true
}

// renew gives a row a newer token under the same owner.
func (reg *Registry) renew(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard, own uint64) bool {
	if row.GetPhase() != owned || row.GetOwner() != own || row.GetKey() != "" {
		return false
	}
	row.Token = idx
	reg.putRow(idx, tab, row)
	return true
}

func (reg *Registry) retire(idx uint64, tab *controlpb.ServiceTable, row *controlpb.Shard) bool {
	if row.GetKey() == "" || row.GetPhase() == releasing {
		return false
	}
	if row.GetPhase() == orphan {
		reg.removeOverride(idx, tab, row)
		return true
	}
	row.Phase, row.Retiring, row.Target = releasing, true, tab.GetOwners()[row.GetPartition()]
	reg.putRow(idx, tab, row)
	return true
}

// hasTextKeys reports whether a service distributes text keys by hash; only such services have overrides.
func (reg *Registry) hasTextKeys(svc string) bool {
	return findService(reg.state.GetConfiguration(), svc).GetKeyMode() == controlpb.KeyMode_KEY_MODE_TEXT
}

// isolate creates an override for a key. The partition's owner holds the new row as releasing until it has
// completed the key's requests.
func (reg *Registry) isolate(idx uint64, asg *controlpb.Assignment) bool {
	ref := asg.GetShard()
	tab := reg.table(ref.GetService())
	if tab == nil || !reg.hasTextKeys(ref.GetService()) || len(tab.GetOverrides()) >= MaxOverrides || ref.GetKey() == "" || len(ref.GetKey()) > siskinrill.MaxKeyBytes {
		return false
	}
	prt := partition(tab, siskinrill.HashPartition(ref.GetService(), ref.GetKey(), uint32(len(tab.GetOwners()))))
	if prt.GetPartition() != ref.GetPartition() || prt.GetToken() != ref.GetToken() || prt.GetPhase() != owned {
		return false
	}
	if _, ok := findOverride(tab, ref.GetKey()); ok || !reg.mayReceive(asg.GetTarget(), ref.GetService()) {
		return false
	}
	row := &controlpb.Shard{
		Service: ref.GetService(), Partition: ref.GetPartition(), Key: ref.GetKey(),
		Owner: prt.GetOwner(), Token: idx, Phase: releasing, Target: asg.GetTarget(),
	}
	if asg.GetTarget() == prt.GetOwner() {
		row.Phase, row.Target = owned, 0
	}
	reg.putRow(idx, tab, row)
	return true
}
