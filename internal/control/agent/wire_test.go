package agent

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// pipe is a stream in memory: messages arrive in order and late; renewals and their answers may be lost or come twice.
type pipe struct {
	grpc.ServerStream

	cluster *cluster
	ctx     context.Context
	cancel  context.CancelFunc
	up      chan parcel
	down    chan parcel
	slow    time.Duration
	granted int // position among all sends of the cluster at which the agent was last told of a grant
}

type parcel struct {
	at   time.Time
	up   *controlpb.AgentMessage
	down *controlpb.ControlMessage
}

// dial connects to a process and serves the stream there.
func (clu *cluster) dial(ctx context.Context, num int, slow time.Duration) *pipe {
	pip := &pipe{cluster: clu, up: make(chan parcel, 64), down: make(chan parcel, 64), slow: slow}
	pip.ctx, pip.cancel = context.WithCancel(ctx)
	go func() {
		defer pip.cancel()
		_ = clu.procs[num].sessions.Connect(pip)
		time.Sleep(slow)
	}()
	return pip
}

func (pip *pipe) Context() context.Context { return pip.ctx }

// copies returns how often a message arrives.
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

func (pip *pipe) pass(to chan parcel, prc parcel, copies int) error {
	prc.at = time.Now().Add(pip.cluster.between(0, pip.slow))
	for range copies {
		select {
		case to <- prc:
		case <-pip.ctx.Done():
			return io.EOF
		}
	}
	return nil
}

func (pip *pipe) take(from chan parcel) (parcel, error) {
	select {
	case prc := <-from:
		time.Sleep(time.Until(prc.at))
		return prc, nil
	case <-pip.ctx.Done():
	}
	select { // what was sent before the end still arrives
	case prc := <-from:
		return prc, nil
	default:
		return parcel{}, io.EOF
	}
}

// Send and Recv are the ends of the control process.
func (pip *pipe) Send(msg *controlpb.ControlMessage) error {
	pip.cluster.mut.Lock()
	pip.cluster.sends++
	for _, chg := range msg.GetDifference().GetChanges() {
		if chg.GetSetShard().GetPhase() == controlpb.Phase_PHASE_OWNED {
			pip.granted = pip.cluster.sends
		}
	}
	if len(msg.GetDifference().GetRows()) > 0 {
		pip.granted = pip.cluster.sends
	}
	pip.cluster.mut.Unlock()
	ans := msg.GetRenewAnswer() != nil
	return pip.pass(pip.down, parcel{down: msg}, pip.copies(ans, ans))
}

func (pip *pipe) Recv() (*controlpb.AgentMessage, error) {
	prc, err := pip.take(pip.up)
	return prc.up, err
}

// tell and hear are the ends of the agent.
func (pip *pipe) tell(msg *controlpb.AgentMessage) error {
	return pip.pass(pip.up, parcel{up: msg}, pip.copies(msg.GetRenew() != nil, msg.GetHello() == nil))
}

func (pip *pipe) hear() (*controlpb.ControlMessage, error) {
	prc, err := pip.take(pip.down)
	return prc.down, err
}
