package agent

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// proposeRetryInterval is the delay before a proposal that failed is repeated in the same term.
const proposeRetryInterval = 50 * time.Millisecond

// handle processes one message of the agent. Commands are proposed by another goroutine, so that renewals never
// wait for a commit.
func (stm *stream) handle(msg *controlpb.AgentMessage) {
	switch knd := msg.GetKind().(type) {
	case *controlpb.AgentMessage_Renew:
		stm.term.renew(stm, knd.Renew)
	case *controlpb.AgentMessage_Load:
		stm.term.loads.report(stm.session, knd.Load, time.Now())
	case *controlpb.AgentMessage_Released:
		cmd := registry.Released(stm.session, knd.Released.GetShards()...)
		stm.enqueue(func() *controlpb.Command { return cmd })
	case *controlpb.AgentMessage_SetUpstream:
		stm.enqueueUpstream(knd.SetUpstream)
	case *controlpb.AgentMessage_CrashReport:
		cmd := registry.RecordCrash(knd.CrashReport)
		stm.enqueue(func() *controlpb.Command { return cmd })
	case *controlpb.AgentMessage_Drain:
		stm.setLeaving(knd.Drain)
	}
}

func (stm *stream) enqueueUpstream(ups *controlpb.Upstream) {
	cpy := proto.Clone(ups).(*controlpb.Upstream)
	if cpy.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_SERVING && stm.term.leaving(stm.session) {
		cpy.State = controlpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	cmd := registry.SetUpstream(stm.session, cpy)
	stm.enqueue(func() *controlpb.Command { return cmd })
}

// setLeaving records whether the agent is about to stop, and proposes the matching state of its upstream.
func (stm *stream) setLeaving(drn bool) {
	stm.term.mut.Lock()
	if lea := stm.term.leases[stm.session]; lea != nil {
		lea.leaving = drn
	}
	stm.term.mut.Unlock()
	stm.enqueue(func() *controlpb.Command { return stm.drainCommand(drn) })
}

// drainCommand returns the change of the upstream's state between serving and draining, nil if there is nothing
// to change.
func (stm *stream) drainCommand(drn bool) *controlpb.Command {
	ups := stm.term.sessions.upstreamOf(stm.session)
	was, now := controlpb.UpstreamState_UPSTREAM_STATE_DRAINING, controlpb.UpstreamState_UPSTREAM_STATE_SERVING
	if drn {
		was, now = now, was
	}
	if ups.GetState() != was {
		return nil
	}
	ups.State = now
	return registry.SetUpstream(stm.session, ups)
}

func (trm *term) leaving(num uint64) bool {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	lea := trm.leases[num]
	return lea != nil && lea.leaving
}

// upstreamOf returns a copy of a session's upstream, nil for none.
func (ses *Sessions) upstreamOf(num uint64) *controlpb.Upstream {
	var ups *controlpb.Upstream
	ses.registry.View(func(stt *controlpb.RegistryState) {
		if nod := findNode(stt, num); nod.GetUpstream() != nil {
			ups = proto.Clone(nod.GetUpstream()).(*controlpb.Upstream)
		}
	})
	return ups
}

// enqueue queues a command for proposal. An agent that sends more commands than can be proposed is
// disconnected, and reports its state again when it reconnects.
func (stm *stream) enqueue(cmd func() *controlpb.Command) {
	select {
	case stm.commands <- cmd:
	default:
		stm.close()
	}
}

// proposeLoop proposes the agent's commands in the order of their arrival.
func (stm *stream) proposeLoop() {
	defer close(stm.proposerDone)
	for {
		select {
		case next := <-stm.commands:
			if cmd := next(); cmd != nil {
				stm.propose(cmd)
			}
		case <-stm.done:
			return
		case <-stm.term.ctx.Done():
			return
		}
	}
}

// propose retries a command until it is committed, the stream ends or the term ends. Commands of agents may be
// applied twice.
func (stm *stream) propose(cmd *controlpb.Command) {
	for {
		_, err := stm.term.sessions.log.Propose(stm.term.ctx, cmd)
		if err == nil {
			stm.term.requestTick()
			return
		}
		var nle *siskinrill.NotLeaderError
		if errors.As(err, &nle) || !stm.awaitRetry() {
			return
		}
		logrus.Debugf("sessions: proposal for session %d failed, retrying: %v", stm.session, err)
	}
}

func (stm *stream) awaitRetry() bool {
	tmr := time.NewTimer(proposeRetryInterval)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-stm.done:
		return false
	case <-stm.term.ctx.Done():
		return false
	}
}
