package agent

import (
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// pack returns an equivalent difference in which each partition appears once, in its newest state, and plain
// rows are arrays. With one message per row, decoding took a third of the CPU time of all agents at 810 agents.
func pack(dif *controlpb.Difference) *controlpb.Difference {
	pkr := packer{rows: map[string]map[uint32]*controlpb.Shard{}}
	for _, chg := range dif.GetChanges() {
		pkr.add(chg)
	}
	out := &controlpb.Difference{From: dif.GetFrom(), To: dif.GetTo(), Changes: pkr.others}
	for svc, rows := range pkr.rows {
		moving, plain := splitRows(svc, rows)
		out.Changes = append(out.Changes, moving...)
		if len(plain.GetPartitions()) > 0 {
			out.Rows = append(out.Rows, plain)
		}
	}
	return out
}

// packer collects the newest row of each partition by service, and all other changes in order.
type packer struct {
	rows   map[string]map[uint32]*controlpb.Shard
	others []*controlpb.Change
}

func (pkr *packer) add(chg *controlpb.Change) {
	shd := chg.GetSetShard()
	if shd == nil || shd.GetKey() != "" {
		// Rows of a removed service must not apply to a service of the same name that is added later.
		for _, svc := range chg.GetConfiguration().GetRemoveServices() {
			delete(pkr.rows, svc)
		}
		pkr.others = append(pkr.others, chg)
		return
	}
	if pkr.rows[shd.GetService()] == nil {
		pkr.rows[shd.GetService()] = map[uint32]*controlpb.Shard{}
	}
	pkr.rows[shd.GetService()][shd.GetPartition()] = shd
}

// splitRows separates rows that are being released or carry a handover from plain rows, both in the
// order of partitions.
func splitRows(svc string, rows map[uint32]*controlpb.Shard) ([]*controlpb.Change, *controlpb.RowBatch) {
	nums := make([]uint32, 0, len(rows))
	for num := range rows {
		nums = append(nums, num)
	}
	slices.Sort(nums)
	var moving []*controlpb.Change
	plain := &controlpb.RowBatch{Service: svc}
	for _, num := range nums {
		shd := rows[num]
		if shd.GetPhase() == controlpb.Phase_PHASE_RELEASING || shd.GetHandover() != "" {
			moving = append(moving, &controlpb.Change{Kind: &controlpb.Change_SetShard{SetShard: shd}})
			continue
		}
		plain.Partitions = append(plain.Partitions, num)
		plain.Owners = append(plain.Owners, shd.GetOwner())
		plain.Tokens = append(plain.Tokens, shd.GetToken())
	}
	return moving, plain
}
