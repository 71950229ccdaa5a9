package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	_ "github.com/siskinrill/siskinrill/internal/wire/gzip" // registers the compressor that agents request by name
)

// helloTimeout limits the wait for a stream's first message.
const helloTimeout = 5 * time.Second

// Sessions serves the sessions of agents while this process leads, and redirects agents to the leader
// otherwise.
type Sessions struct {
	controlpb.UnimplementedSessionServiceServer

	options  Options
	log      siskinrill.ReplicatedLog
	registry siskinrill.Registry
	policy   siskinrill.Policy
	started  time.Time
	hooks    hooks

	mut  sync.Mutex
	term *term // nil while this process does not lead
}

// New returns sessions that are served once Run is called; Plan of the policy is called by one goroutine at a
// time.
func New(opt Options, log siskinrill.ReplicatedLog, reg siskinrill.Registry, pol siskinrill.Policy) *Sessions {
	return &Sessions{options: opt.withDefaults(), log: log, registry: reg, policy: pol, started: time.Now()}
}

// Register adds the session service to a gRPC server.
func (ses *Sessions) Register(reg grpc.ServiceRegistrar) {
	controlpb.RegisterSessionServiceServer(reg, ses)
}

// Run serves one term of leadership after another until the context ends, whose error it returns.
func (ses *Sessions) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		ldr, changed := ses.log.Leadership()
		if !ldr.Leading() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		ses.serveTerm(ctx, ldr)
	}
	return ctx.Err()
}

// serveTerm serves one term and returns after all of its goroutines and proposals have ended, so that no
// proposal of this term can follow one of a later term.
func (ses *Sessions) serveTerm(ctx context.Context, ldr siskinrill.Leadership) {
	logrus.Infof("sessions: serving term %d", ldr.Term())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trm := newTerm(ctx, ses, ldr)
	ses.setTerm(trm)
	trm.start()
	ses.awaitLeadershipLoss(ctx, ldr.Term())
	ses.setTerm(nil)
	cancel()
	trm.stop()
	logrus.Infof("sessions: term %d ended", ldr.Term())
}

func (ses *Sessions) setTerm(trm *term) {
	ses.mut.Lock()
	defer ses.mut.Unlock()
	ses.term = trm
}

func (ses *Sessions) current() *term {
	ses.mut.Lock()
	defer ses.mut.Unlock()
	return ses.term
}

// awaitLeadershipLoss blocks until this process no longer leads the term.
func (ses *Sessions) awaitLeadershipLoss(ctx context.Context, trm uint64) {
	for {
		ldr, changed := ses.log.Leadership()
		if !ldr.Leading() || ldr.Term() != trm {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (ses *Sessions) redirect(rsn string) *controlpb.ControlMessage {
	ldr, _ := ses.log.Leadership()
	return &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Redirect{
		Redirect: &controlpb.Redirect{LeaderAddress: ldr.Address(), Reason: rsn},
	}}
}

// Connect serves the stream of one agent until either side ends it, the session expires or leadership is lost.
func (ses *Sessions) Connect(srv grpc.BidiStreamingServer[controlpb.AgentMessage, controlpb.ControlMessage]) error {
	trm := ses.current()
	if trm == nil {
		return srv.Send(ses.redirect("not_leader"))
	}
	return newStream(trm, srv).serve()
}
