package control

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// fakeControl is a control group; its leader may change, die or stop answering.
type fakeControl struct {
	mu       sync.Mutex
	leader   string
	dead     map[string]bool // connections are refused
	silent   map[string]bool // nothing is answered
	expired  map[uint64]bool
	sessions uint64
	delay    time.Duration // of answers to renewals
	hellos   []*controlpb.Hello
	messages []*controlpb.AgentMessage // other than hellos and renewals
	streams  map[*fakeStream]bool
	snapshot *controlpb.TableSnapshot
}

// fakeStream is the agent's side of a connection to one of the processes.
type fakeStream struct {
	ctl     *fakeControl
	address string
	ctx     context.Context
	out     chan *controlpb.ControlMessage
	broken  chan struct{}
	session uint64
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		leader: "c1", dead: map[string]bool{}, silent: map[string]bool{}, expired: map[uint64]bool{}, streams: map[*fakeStream]bool{},
		sessions: 100, snapshot: &controlpb.TableSnapshot{Version: 50},
	}
}

func (ctl *fakeControl) dial(ctx context.Context, addr string) (stream, func(), error) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.dead[addr] {
		return nil, nil, errors.New("refused")
	}
	str := &fakeStream{ctl: ctl, address: addr, ctx: ctx, out: make(chan *controlpb.ControlMessage, 1000), broken: make(chan struct{})}
	ctl.streams[str] = true
	return str, func() {}, nil
}

// fail refuses new connections to an address and breaks those it has.
func (ctl *fakeControl) fail(addr string) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.dead[addr] = true
	for str := range ctl.streams {
		if str.address == addr {
			close(str.broken)
			delete(ctl.streams, str)
		}
	}
}

func (ctl *fakeControl) set(fnc func()) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	fnc()
}

// push sends a message on each connection to the leader that has a session.
func (ctl *fakeControl) push(msg *controlpb.ControlMessage) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	for str := range ctl.streams {
		if str.address == ctl.leader && str.session != 0 && str.ctx.Err() == nil {
			str.out <- msg
		}
	}
}

func (str *fakeStream) Recv() (*controlpb.ControlMessage, error) {
	select {
	case msg := <-str.out:
		return msg, nil
	case <-str.broken:
		return nil, io.EOF
	case <-str.ctx.Done():
		return nil, str.ctx.Err()
	}
}

func (str *fakeStream) Send(msg *controlpb.AgentMessage) error {
	ctl := str.ctl
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.silent[str.address] {
		return nil
	}
	if str.address != ctl.leader {
		str.out <- &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Redirect{Redirect: &controlpb.Redirect{LeaderAddress: ctl.leader}}}
		return nil
	}
	switch knd := msg.GetKind().(type) {
	case *controlpb.AgentMessage_Hello:
		str.hello(knd.Hello)
	case *controlpb.AgentMessage_Renew:
		ans := &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_RenewAnswer{RenewAnswer: &controlpb.RenewAnswer{Sequence: knd.Renew.GetSequence()}}}
		time.AfterFunc(ctl.delay, func() { str.out <- ans })
	default:
		ctl.messages = append(ctl.messages, msg)
	}
	return nil
}

// hello welcomes the agent; the lock is held.
func (str *fakeStream) hello(hlo *controlpb.Hello) {
	ctl := str.ctl
	ctl.hellos = append(ctl.hellos, hlo)
	str.session = hlo.GetSession()
	if ctl.expired[str.session] {
		str.out <- &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Expired{Expired: &controlpb.Expired{Reason: "test"}}}
		return
	}
	if str.session == 0 {
		ctl.sessions++
		str.session = ctl.sessions
	}
	str.out <- &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Welcome{Welcome: &controlpb.Welcome{Session: str.session, LeaseMs: 1400, RenewMs: 250}}}
	if hlo.GetVersion() == 0 {
		str.out <- &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Snapshot{Snapshot: ctl.snapshot}}
	}
}

// within runs a test with a connected session in a bubble.
func within(t *testing.T, fnc func(ctl *fakeControl, ses *Session)) {
	synctest.Test(t, func(t *testing.T) {
		ctl := newFakeControl()
		log := logrus.New()
		log.SetOutput(io.Discard)
		ses := New(Options{Control: []string{"c1", "c2", "c3"}, Node: &controlpb.Node{Name: "a"}, Logger: log})
		ses.dial = ctl.dial
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- ses.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 101, ses.Session())
		fnc(ctl, ses)
		cancel()
		must.ErrorIs(t, <-ended, context.Canceled)
	})
}

// TestLeaseEnds guards against a lease that outlives 1,400 ms after its newest granted renewal was sent.
func TestLeaseEnds(t *testing.T) {
	within(t, func(ctl *fakeControl, ses *Session) {
		ctl.set(func() { ctl.delay = 300 * time.Millisecond })
		time.Sleep(time.Second)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			exp, valid := ses.Expires()
			must.True(t, valid)
			must.GreaterEq(t, 800*time.Millisecond, time.Until(exp))
			// The lease counts from the sending of a renewal, at least 300 ms ago.
			must.LessEq(t, 1100*time.Millisecond, time.Until(exp))
		}
		ctl.set(func() { ctl.silent = map[string]bool{"c1": true, "c2": true, "c3": true} })
		// Answers that are under way still arrive.
		time.Sleep(ctl.delay)
		exp, _ := ses.Expires()
		must.LessEq(t, 1400*time.Millisecond, time.Until(exp))
		time.Sleep(time.Until(exp) - time.Millisecond)
		_, valid := ses.Expires()
		must.True(t, valid)
		time.Sleep(time.Millisecond)
		_, valid = ses.Expires()
		must.False(t, valid)
		must.True(t, ses.Fresh())
		time.Sleep(10 * time.Second)
		must.False(t, ses.Fresh())
	})
}

// TestFailover guards against a lease that ends, or a new registration, because of a change of leader.
func TestFailover(t *testing.T) {
	cases := map[string]func(*fakeControl){
		"dead":   func(ctl *fakeControl) { ctl.fail("c1") },
		"silent": func(ctl *fakeControl) { ctl.set(func() { ctl.silent["c1"] = true }) },
	}
	for name, brk := range cases {
		t.Run(name, func(t *testing.T) {
			within(t, func(ctl *fakeControl, ses *Session) {
				ctl.set(func() { ctl.leader = "" })
				brk(ctl)
				time.Sleep(550 * time.Millisecond)
				ctl.set(func() { ctl.leader = "c3" })
				time.Sleep(400 * time.Millisecond)
				exp, valid := ses.Expires()
				must.True(t, valid)
				must.GreaterEq(t, 1100*time.Millisecond, time.Until(exp))
				must.Eq(t, 101, ses.Session())
				must.Eq(t, 101, ctl.hellos[len(ctl.hellos)-1].GetSession())
				must.Eq(t, 50, ctl.hellos[len(ctl.hellos)-1].GetVersion())
			})
		})
	}
}
