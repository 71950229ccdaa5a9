package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// connection is a stream to the leader, which has welcomed this agent.
type connection struct {
	address string
	stream  stream
	welcome *controlpb.Welcome
	took    time.Duration // from the attempt to the welcome
	cancel  context.CancelFunc
	release func()
}

func (con *connection) close() {
	con.cancel()
	con.release()
}

// attempt is the end of a try of one address: a connection, a hint to the leader or an error.
type attempt struct {
	address string
	con     *connection
	hint    string
	expired bool
	err     error
}

// search tries the addresses in parallel until one of them welcomes the agent.
type search struct {
	ses     *Session
	ctx     context.Context // ends with the search
	results chan attempt
	due     chan string
	running map[string]bool
	pauses  map[string]time.Duration
	hint    string // last one followed
}

// find returns a connection to the leader; an error is the context's.
func (ses *Session) find(ctx context.Context) (*connection, error) {
	sctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sea := &search{
		ses: ses, ctx: sctx,
		results: make(chan attempt), due: make(chan string),
		running: map[string]bool{}, pauses: map[string]time.Duration{},
	}
	sea.begin()
	for {
		select {
		case adr := <-sea.due:
			sea.start(ctx, adr)
		case att := <-sea.results:
			if con := sea.finish(ctx, att); con != nil {
				return con, nil
			}
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "find the leader")
		}
	}
}

// begin plans the first attempts: the last leader at once, the others one after the other.
func (sea *search) begin() {
	delay := time.Duration(0)
	for _, adr := range sea.ses.candidates() {
		sea.later(adr, delay)
		delay += sea.ses.opt.Stagger
	}
}

// candidates returns the addresses to try, the last leader first and the rest in random order.
func (ses *Session) candidates() []string {
	ses.mu.Lock()
	ldr := ses.leader
	ses.mu.Unlock()
	all := append(append([]string{}, ses.opt.Control...), ses.table.addresses()...)
	rand.Shuffle(len(all), func(one, two int) { all[one], all[two] = all[two], all[one] })
	adrs := make([]string, 0, len(all)+1)
	seen := map[string]bool{"": true}
	for _, adr := range append([]string{ldr}, all...) {
		if !seen[adr] {
			seen[adr] = true
			adrs = append(adrs, adr)
		}
	}
	return adrs
}

func (sea *search) later(adr string, delay time.Duration) {
	go func() {
		tmr := time.NewTimer(delay)
		defer tmr.Stop()
		select {
		case <-tmr.C:
		case <-sea.ctx.Done():
			return
		}
		select {
		case sea.due <- adr:
		case <-sea.ctx.Done():
		}
	}()
}

// start tries an address unless it is being tried; the connection outlives the search.
func (sea *search) start(ctx context.Context, adr string) {
	if sea.running[adr] {
		return
	}
	sea.running[adr] = true
	go func() {
		att := sea.ses.try(ctx, sea.ctx, adr)
		select {
		case sea.results <- att:
		case <-sea.ctx.Done():
			if att.con != nil {
				att.con.close()
			}
		}
	}()
}

func (sea *search) finish(ctx context.Context, att attempt) *connection {
	sea.running[att.address] = false
	if att.con != nil {
		return att.con
	}
	if att.expired {
		sea.ses.expire(att.err)
		sea.start(ctx, att.address)
		return nil
	}
	// A hint is followed at once when it is new; one that was tried in vain is left to its own pause.
	if att.hint != "" && att.hint != att.address && att.hint != sea.hint {
		sea.hint = att.hint
		sea.start(ctx, att.hint)
	}
	sea.again(att.address)
	return nil
}

const (
	// While the lease runs a new leader must be found within its last 950 ms.
	pauseFactor = 6
	// Without a lease hundreds of agents may search for a long time, each with a new connection for each attempt.
	pauseFactorNoLease = 20
)

// again plans the next attempt at an address; the pause doubles up to a limit.
func (sea *search) again(adr string) {
	first := sea.ses.opt.Retry
	limit := pauseFactorNoLease * first
	if _, valid := sea.ses.Expires(); valid {
		limit = pauseFactor * first
	}
	pause := min(max(first, 2*sea.pauses[adr]), limit)
	sea.pauses[adr] = pause
	sea.later(adr, pause/2+rand.N(pause/2+1))
}

// try says hello to an address and waits for its first answer; quit ends the try, ctx the connection.
func (ses *Session) try(ctx, quit context.Context, adr string) attempt {
	sctx, cancel := context.WithCancel(ctx)
	con := &connection{address: adr, cancel: cancel, release: func() {}}
	tmr := time.AfterFunc(ses.opt.WelcomeTimeout, cancel)
	stop := context.AfterFunc(quit, cancel)
	att := ses.greet(sctx, con)
	timely := tmr.Stop()
	if !stop() || !timely {
		att.con, att.err = nil, errors.New("no answer in time")
	}
	if att.con == nil {
		con.close()
	}
	return att
}

func (ses *Session) greet(ctx context.Context, con *connection) attempt {
	att := attempt{address: con.address}
	began := time.Now()
	str, release, err := ses.dial(ctx, con.address)
	if err != nil {
		att.err = err
		return att
	}
	con.stream, con.release = str, release
	if att.err = str.Send(ses.hello()); att.err != nil {
		return att
	}
	msg, err := str.Recv()
	if err != nil {
		att.err = err
		return att
	}
	switch knd := msg.GetKind().(type) {
	case *controlpb.ControlMessage_Welcome:
		con.welcome, con.took = knd.Welcome, time.Since(began)
		att.con = con
	case *controlpb.ControlMessage_Redirect:
		att.hint = knd.Redirect.GetLeaderAddress()
		att.err = errors.Errorf("not the leader: %s", knd.Redirect.GetReason())
	case *controlpb.ControlMessage_Expired:
		att.expired = ses.lease.number() != 0
		att.err = errors.New(knd.Expired.GetReason())
	default:
		att.err = errors.Errorf("unexpected first message %T", knd)
	}
	return att
}

func (ses *Session) hello() *controlpb.AgentMessage {
	nod := proto.CloneOf(ses.opt.Node)
	ses.mu.Lock()
	nod.Upstream = ses.upstream
	ses.mu.Unlock()
	nod.Session = ses.lease.number()
	hlo := &controlpb.Hello{Node: nod, Session: nod.Session, Version: ses.table.basis()}
	return &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Hello{Hello: hlo}}
}

// expire gives the session up, so that the next hello registers a new one.
func (ses *Session) expire(err error) {
	ses.opt.Counters.Event(eventExpired)
	ses.opt.Logger.Warnf("session: %d expired: %v", ses.lease.number(), err)
	ses.lease.end()
}
