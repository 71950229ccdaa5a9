package agent

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxCommands limits the queued commands of one agent.
const maxCommands = 256

// lastMessageTimeout limits how long the end of a stream waits for its last message to be sent.
const lastMessageTimeout = 500 * time.Millisecond

type server = grpc.BidiStreamingServer[controlpb.AgentMessage, controlpb.ControlMessage]

// stream is the connection of one agent. Pending messages are kept as the newest state rather than as a queue,
// so that a slow agent needs bounded memory and later gets one larger difference or a snapshot.
type stream struct {
	term         *term
	server       server
	session      uint64
	wake         chan struct{}
	tablesSent   chan struct{}                  // signalled when the agent has been sent the newest tables
	done         chan struct{}                  // closed when the reader has ended
	written      chan struct{}                  // closed when the writer has ended
	closing      chan struct{}                  // closed to end the stream
	opened       chan struct{}                  // closed once the session is open
	commands     chan func() *controlpb.Command // each is built after those before it are committed
	proposerDone chan struct{}                  // closed when the proposer has ended
	share        *share                         // share of the bulk limit, nil for none; used by the writer only

	mut          sync.Mutex
	granted      uint64 // sequence of the newest granted renewal
	answered     uint64
	drain        *bool
	members      *controlpb.Members
	last         *controlpb.ControlMessage // message after which the stream ends
	version      uint64                    // version of the agent after the last message sent
	sendingSince time.Time                 // zero while no send is in progress
	closed       bool
}

func newStream(trm *term, srv server) *stream {
	return &stream{
		term: trm, server: srv, wake: make(chan struct{}, 1), tablesSent: make(chan struct{}, 1), done: make(chan struct{}),
		written: make(chan struct{}), closing: make(chan struct{}), opened: make(chan struct{}), commands: make(chan func() *controlpb.Command, maxCommands), proposerDone: make(chan struct{}),
	}
}

// serve runs the stream until it ends. Returning closes it in gRPC, which also unblocks a pending Recv or Send.
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

// read processes the agent's messages until the stream ends.
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

// open registers a new session or resumes one, and sends the welcome.
func (stm *stream) open(hel *controlpb.Hello) bool {
	num := hel.GetSession()
	if hel.GetNode() == nil {
		_ = stm.server.Send(expired("hello_without_node"))
		return false
	}
	if hel.GetVersion() > stm.term.sessions.registry.Index() {
		// Only a later leader can have sent that version, so this process no longer leads, and its tables would
		// move the agent back to an older version.
		msg := &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Redirect{Redirect: &controlpb.Redirect{Reason: "behind"}}}
		_ = stm.server.Send(msg)
		return false
	}
	if num != 0 && hel.GetVersion() == 0 {
		// An agent that missed a change requests a snapshot and rejects one older than its tables.
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

// startProposer starts to propose commands after the session's previous stream has proposed its last one.
// Otherwise a failure reported on the previous stream could be committed after a newer report, and take rows
// from an agent that serves them again.
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

// register registers a new session and returns its number, 0 if it could not be committed in this term.
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

// attach makes a stream the current one of its session. It returns whether an operator drains the session's
// upstream, and the stream whose proposals have to end first.
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
