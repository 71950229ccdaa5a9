package agent

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxTickDelay is the delay of a tick that shows this process was starved. Such a tick expires no session,
// because renewals may have arrived unread. The tick after it does, however delayed, or a slow machine would
// never expire a session.
const maxTickDelay = 300 * time.Millisecond

// tickLoop runs the policy on each tick, and immediately after an expiry or a command of an agent.
func (trm *term) tickLoop() {
	tck := time.NewTicker(trm.sessions.options.Tick)
	defer tck.Stop()
	tbl := &siskinrill.Tables{}
	lastTick, skipped := time.Now(), false
	for {
		select {
		case <-tck.C:
			now := time.Now()
			delayed := now.Sub(lastTick) >= trm.sessions.options.Tick+maxTickDelay
			skipped = delayed && !skipped
			if !skipped {
				trm.expire()
			}
			lastTick = now
			trm.closeBlocked(now)
			trm.notifyMembers()
			trm.lowerSuspicions(now)
		case <-trm.tickRequested:
		case <-trm.ctx.Done():
			return
		}
		trm.plan(tbl)
	}
}

// plan runs the policy and proposes its assignments; only one plan or proposal runs at a time.
func (trm *term) plan(tbl *siskinrill.Tables) {
	if !trm.beginPlan() {
		return
	}
	trm.fill(tbl, time.Now())
	asg := trm.sessions.policy.Plan(time.Since(trm.sessions.started), tbl)
	if len(asg) == 0 {
		trm.endPlan()
		return
	}
	trm.spawn(func() {
		defer trm.endPlan()
		trm.propose(asg)
	})
}

func (trm *term) beginPlan() bool {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	if trm.planning {
		return false
	}
	trm.planning = true
	return true
}

func (trm *term) endPlan() {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	trm.planning = false
}

func (trm *term) propose(asg []*controlpb.Assignment) {
	res, err := trm.sessions.log.Propose(trm.ctx, registry.Assign(asg...))
	if err != nil {
		logrus.Debugf("sessions: assignments not committed: %v", err)
		return
	}
	logAssignments(asg, res)
	if trm.sessions.hooks.skipReleases {
		trm.releaseForOwners()
	}
}

// logAssignments logs the number of changed rows by service and kind of change.
func logAssignments(asg []*controlpb.Assignment, res *siskinrill.Result) {
	counts := map[string]map[string]int{}
	for _, itm := range asg {
		svc := itm.GetShard().GetService()
		if counts[svc] == nil {
			counts[svc] = map[string]int{}
		}
		counts[svc][strings.ToLower(strings.TrimPrefix(itm.GetKind().String(), "ASSIGNMENT_KIND_"))]++
	}
	for svc, cnt := range counts {
		logrus.WithFields(logrus.Fields{"service": svc, "rows": cnt, "index": res.Index(), "skipped": res.Skipped()}).Info("sessions: assignments committed")
	}
}

// releaseForOwners releases rows in place of their owners; only a test hook enables it.
func (trm *term) releaseForOwners() {
	var cmds []*controlpb.Command
	trm.sessions.registry.View(func(stt *controlpb.RegistryState) {
		for _, tab := range stt.GetTables() {
			for _, shd := range append(append([]*controlpb.Shard(nil), tab.GetMoving()...), tab.GetOverrides()...) {
				if shd.GetPhase() != controlpb.Phase_PHASE_RELEASING {
					continue
				}
				ref := &controlpb.ShardRef{Service: shd.GetService(), Partition: shd.GetPartition(), Key: shd.GetKey(), Token: shd.GetToken()}
				cmds = append(cmds, registry.Released(shd.GetOwner(), ref))
			}
		}
	})
	for _, cmd := range cmds {
		_, _ = trm.sessions.log.Propose(trm.ctx, cmd)
	}
}

// closeBlocked closes streams whose agent does not receive, so that it reconnects.
func (trm *term) closeBlocked(now time.Time) {
	for _, stm := range trm.streams() {
		if stm.blocked(now, trm.sessions.options.SendTimeout) {
			stm.close()
		}
	}
}

// notifyMembers notifies agents when the members of the control group or their addresses change.
func (trm *term) notifyMembers() {
	cur := members(trm.sessions.log.Members())
	trm.mut.Lock()
	old := trm.members
	trm.members = cur
	trm.mut.Unlock()
	if old == nil || proto.Equal(old, cur) {
		return
	}
	trm.hub.dropSnapshot()
	for _, stm := range trm.streams() {
		stm.setMembers(cur)
	}
}
