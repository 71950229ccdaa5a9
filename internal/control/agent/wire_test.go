package agent

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// pipe is an in-memory stream: messages arrive in order after a delay; renewals and their answers may be lost
// or duplicated.
type pipe struct {
	grpc.ServerStream

	cluster   *cluster
	ctx       context.Context
	cancel    context.CancelFunc
	up        chan packet
	down      chan packet
	maxDelay  time.Duration
	lastGrant int // position among all sends of the cluster of the last message with a grant
}

type packet struct {
	at   time.Time
	up   *controlpb.AgentMessage
	down *controlpb.ControlMessage
}

// dial connects to a process and runs its side of the stream.
func (clu *cluster) dial(ctx context.Context, num int, slow time.Duration) *pipe {
	pip := &pipe{cluster: clu, up: make(chan packet, 64), down: make(chan packet, 64), maxDelay: slow}
	pip.ctx, pip.cancel = context.WithCancel(ctx)
	go func() {
		defer pip.cancel()
		_ = clu.procs[num].sessions.Connect(pip)
		time.Sleep(slow)
	}()
	return pip
}

func (pip *pipe) Context() context.Context { return pip.ctx }

// copies returns how many times a message is delivered.
func (pip *pipe) copies(lossy, repeated bool) int {
	switch {
	case pip.cluster.lossless:
	case lossy && pip.cluster.chance(0.1):
		return 0
	case repeated && pip.cluster.chance(0.1):
		return 2
	}
	return 1
}

func (pip *pipe) deliver(to chan packet, pkt packet, copies int) error {
	pkt.at = time.Now().Add(pip.cluster.randomDuration(0, pip.maxDelay))
	for range copies {
		select {
		case to <- pkt:
		case <-pip.ctx.Done():
			return io.EOF
		}
	}
	return nil
}

func (pip *pipe) receive(from chan packet) (packet, error) {
	select {
	case pkt := <-from:
		time.Sleep(time.Until(pkt.at))
		return pkt, nil
	case <-pip.ctx.Done():
	}
	select { // what was sent before the end is still delivered
	case pkt := <-from:
		return pkt, nil
	default:
		return packet{}, io.EOF
	}
}

// Send and Recv are the control process's side of the stream.
func (pip *pipe) Send(msg *controlpb.ControlMessage) error {
	pip.cluster.mut.Lock()
	pip.cluster.sends++
	for _, chg := range msg.GetDifference().GetChanges() {
		if chg.GetSetShard().GetPhase() == controlpb.Phase_PHASE_OWNED {
			pip.lastGrant = pip.cluster.sends
		}
	}
	if len(msg.GetDifference().GetRows()) > 0 {
		pip.lastGrant = pip.cluster.sends
	}
	pip.cluster.mut.Unlock()
	ans := msg.GetRenewAnswer() != nil
	return pip.deliver(pip.down, packet{down: msg}, pip.copies(ans, ans))
}

func (pip *pipe) Recv() (*controlpb.AgentMessage, error) {
	pkt, err := pip.receive(pip.up)
	return pkt.up, err
}

// agentSend and agentRecv are the agent's side of the stream.
func (pip *pipe) agentSend(msg *controlpb.AgentMessage) error {
	return pip.deliver(pip.up, packet{up: msg}, pip.copies(msg.GetRenew() != nil, msg.GetHello() == nil))
}

func (pip *pipe) agentRecv() (*controlpb.ControlMessage, error) {
	pkt, err := pip.receive(pip.down)
	return pkt.down, err
}
