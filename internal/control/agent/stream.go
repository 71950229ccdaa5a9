package agent

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxCommands bounds the commands of one agent that wait to be proposed.
const maxCommands = 256

// lastMessageTimeout is the time for the last message of a stream to be sent.
const lastMessageTimeout = 500 * time.Millisecond

type server = grpc.BidiStreamingServer[controlpb.AgentMessage, controlpb.ControlMessage]

// stream is the connection of one agent. What it has to send is kept as state, newest only, so that a slow agent needs bounded memory and gets one larger difference or a snapshot later.
type stream struct {
	term         *term
	server       server
	session      uint64
	wake         chan struct{}
	tablesSent   chan struct{}                  // signalled after each difference sent
	done         chan struct{}                  // closed when the reader ends
	written      chan struct{}                  // closed when the writer ends
	closing      chan struct{}                  // closed to end the stream
	opened       chan struct{}                  // closed once the session is known
	commands     chan func() *controlpb.Command // each is made once those before it are committed
	proposerDone chan struct{}                  // closed when the last command has ended
	share        *share                         // of the room for large messages, nil for none; belongs to the writer

	mut          sync.Mutex
	granted      uint64 // highest renewal to answer
	answered     uint64
	drain        *bool
	members      *controlpb.Members
	last         *controlpb.ControlMessage // last message of the stream
	version      uint64                    // of the last difference sent
	sendingSince time.Time                 // zero while no send is under way
	closed       bool
}

func newStream(trm *term, srv server) *stream {
	return &stream{
		term: trm, server: srv, wake: make(chan struct{}, 1), tablesSent: make(chan struct{}, 1), done: make(chan struct{}),
		written: make(chan struct{}), closing: make(chan struct{}), opened: make(chan struct{}), commands: make(chan func() *controlpb.Command, maxCommands), proposerDone: make(chan struct{}),
	}
}

// serve runs the stream; returning ends it for gRPC, which also unblocks a pending Recv or Send.
func (stm *stream) serve() error {
	first := make(chan *controlpb.Hello, 1)
	go stm.read(first)
	defer stm.detach()
	hel := stm.awaitHello(first)
	if hel == nil || !stm.open(hel) {
		return nil
	}
	go stm.write()
	select {
	case <-stm.term.ctx.Done():
		stm.finish(stm.term.sessions.redirect("leadership_lost"))
		stm.awaitWritten()
	case <-stm.closing:
	case <-stm.written:
	case <-stm.done:
	}
	return nil
}

func (stm *stream) awaitWritten() {
	tmr := time.NewTimer(lastMessageTimeout)
	defer tmr.Stop()
	select {
	case <-stm.written:
	case <-tmr.C:
	}
}

func (stm *stream) awaitHello(first <-chan *controlpb.Hello) *controlpb.Hello {
	tmr := time.NewTimer(helloTimeout)
	defer tmr.Stop()
	select {
	case hel := <-first:
		return hel
	case <-stm.term.ctx.Done():
		_ = stm.server.Send(stm.term.sessions.redirect("leadership_lost"))
	case <-tmr.C:
	case <-stm.done:
	}
	return nil
}

// read handles the agent's messages until the stream ends.
func (stm *stream) read(first chan<- *controlpb.Hello) {
	defer close(stm.done)
	msg, err := stm.server.Recv()
	if err != nil || msg.GetHello() == nil {
		return
	}
	first <- msg.GetHello()
	select {
	case <-stm.opened:
	case <-stm.server.Context().Done():
		return
	}
	for {
		msg, err := stm.server.Recv()
		if err != nil {
			return
		}
		stm.handle(msg)
	}
}

// open registers a new session or resumes one, and welcomes the agent.
func (stm *stream) open(hel *controlpb.Hello) bool {
	num := hel.GetSession()
	if hel.GetNode() == nil {
		_ = stm.server.Send(expired("hello_without_node"))
		return false
	}
	if hel.GetVersion() > stm.term.sessions.registry.Index() {
		// Only a later leader can have told that version, so this process no longer leads, and its tables would set the agent back.
		msg := &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Redirect{Redirect: &controlpb.Redirect{Reason: "behind"}}}
		_ = stm.server.Send(msg)
		return false
	}
	if num != 0 && hel.GetVersion() == 0 {
		// An agent that missed a change asks for a snapshot and refuses one older than its tables.
		stm.term.hub.dropSnapshot()
	}
	if num == 0 {
		num = stm.register(hel.GetNode())
		if num == 0 {
			_ = stm.server.Send(stm.term.sessions.redirect("not_leader"))
			return false
		}
	}
	drn, earlier, ok := stm.term.attach(num, stm)
	if !ok {
		_ = stm.server.Send(expired("expired"))
		return false
	}
	stm.mut.Lock()
	stm.version = hel.GetVersion()
	stm.mut.Unlock()
	if !stm.startProposer(earlier) {
		return false
	}
	close(stm.opened)
	return stm.server.Send(stm.welcome(drn)) == nil
}

// startProposer begins to propose commands once the session's earlier stream has ended its last one. Otherwise a failure that was reported there could be committed after a newer report, and take rows from an agent that serves them again.
func (stm *stream) startProposer(earlier *stream) bool {
	if earlier != nil {
		select {
		case <-earlier.proposerDone:
		case <-stm.term.ctx.Done():
			return false
		}
	}
	return stm.term.spawn(stm.proposeLoop)
}

// register returns the number of a new session, 0 when it could not be committed in this term.
func (stm *stream) register(nod *controlpb.Node) uint64 {
	cmd := registry.RegisterNode(proto.Clone(nod).(*controlpb.Node))
	idx := make(chan uint64, 1)
	ok := stm.term.spawn(func() {
		res, err := stm.term.sessions.log.Propose(stm.term.ctx, cmd)
		if err != nil {
			idx <- 0
			return
		}
		idx <- res.Index()
	})
	if !ok {
		return 0
	}
	num := <-idx
	if num != 0 {
		stm.term.sync(time.Now())
	}
	return num
}

func (stm *stream) welcome(drn bool) *controlpb.ControlMessage {
	opt := stm.term.sessions.options
	return &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Welcome{Welcome: &controlpb.Welcome{
		Session: stm.session, LeaseMs: uint32(opt.Lease.Milliseconds()), RenewMs: uint32(opt.RenewEvery.Milliseconds()), Draining: drn,
	}}}
}

func expired(rsn string) *controlpb.ControlMessage {
	return &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Expired{Expired: &controlpb.Expired{Reason: rsn}}}
}

// attach makes a stream the one of its session. It tells whether an operator drains the session's upstream, and which stream was the one before.
func (trm *term) attach(num uint64, stm *stream) (drain bool, earlier *stream, ok bool) {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	lea := trm.leases[num]
	if lea == nil || lea.expiring {
		return false, nil, false
	}
	if lea.stream != nil {
		lea.stream.close()
	}
	earlier, lea.proposer = lea.proposer, stm
	lea.stream = stm
	lea.drainSent = trm.drains[lea.upstream]
	stm.session = num
	return lea.drainSent, earlier, true
}

func (stm *stream) detach() {
	stm.term.mut.Lock()
	defer stm.term.mut.Unlock()
	if lea := stm.term.leases[stm.session]; lea != nil && lea.stream == stm {
		lea.stream = nil
	}
}

func (stm *stream) close() {
	stm.mut.Lock()
	defer stm.mut.Unlock()
	if !stm.closed {
		stm.closed = true
		close(stm.closing)
	}
}
