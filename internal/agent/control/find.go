package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// connection is a stream to the leader after its welcome.
type connection struct {
	address     string
	stream      stream
	welcome     *controlpb.Welcome
	connectTime time.Duration // from the start of the attempt to the welcome
	cancel      context.CancelFunc
	release     func()
}

func (con *connection) close() {
	con.cancel()
	con.release()
}

// connectResult is the outcome of one connection attempt: a connection, the leader's address or an error.
type connectResult struct {
	address string
	con     *connection
	hint    string
	expired bool
	err     error
}

// search tries the addresses of control in parallel until one of them welcomes the agent.
type search struct {
	ses         *Session
	ctx         context.Context // cancelled when the search ends
	results     chan connectResult
	due         chan string
	running     map[string]bool
	retryDelays map[string]time.Duration
	lastHint    string // last leader address from a redirect that was tried
}

// find returns a connection to the leader, or the context's error.
func (ses *Session) find(ctx context.Context) (*connection, error) {
	sctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sea := &search{
		ses: ses, ctx: sctx,
		results: make(chan connectResult), due: make(chan string),
		running: map[string]bool{}, retryDelays: map[string]time.Duration{},
	}
	sea.scheduleFirst()
	for {
		select {
		case adr := <-sea.due:
			sea.startAttempt(ctx, adr)
		case res := <-sea.results:
			if con := sea.handleResult(ctx, res); con != nil {
				return con, nil
			}
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "find the leader")
		}
	}
}

// scheduleFirst schedules the first attempts: the last leader immediately, the others Options.Stagger apart.
func (sea *search) scheduleFirst() {
	delay := time.Duration(0)
	for _, adr := range sea.ses.candidates() {
		sea.schedule(adr, delay)
		delay += sea.ses.opt.Stagger
	}
}

// candidates returns the addresses to try, the last leader first and the others in random order.
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

func (sea *search) schedule(adr string, delay time.Duration) {
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

// startAttempt connects to an address unless an attempt is running; the connection outlives the search.
func (sea *search) startAttempt(ctx context.Context, adr string) {
	if sea.running[adr] {
		return
	}
	sea.running[adr] = true
	go func() {
		res := sea.ses.connect(ctx, sea.ctx, adr)
		select {
		case sea.results <- res:
		case <-sea.ctx.Done():
			if res.con != nil {
				res.con.close()
			}
		}
	}()
}

func (sea *search) handleResult(ctx context.Context, res connectResult) *connection {
	sea.running[res.address] = false
	if res.con != nil {
		return res.con
	}
	if res.expired {
		sea.ses.endSession(res.err)
		sea.startAttempt(ctx, res.address)
		return nil
	}
	// A new leader address is tried immediately. An address that has already been tried waits for its own
	// retry.
	if res.hint != "" && res.hint != res.address && res.hint != sea.lastHint {
		sea.lastHint = res.hint
		sea.startAttempt(ctx, res.hint)
	}
	sea.scheduleRetry(res.address)
	return nil
}

const (
	// Six times Options.Retry, 300 ms by default: while the lease is valid, a new leader must be found within
	// its last 950 ms.
	maxRetryFactor = 6
	// Twenty times Options.Retry, 1 s by default: without a lease, hundreds of agents may search for a long
	// time, each with a new connection per attempt.
	maxRetryFactorNoLease = 20
)

// scheduleRetry schedules the next attempt at an address after a random delay, whose upper bound doubles up to
// a limit.
func (sea *search) scheduleRetry(adr string) {
	first := sea.ses.opt.Retry
	limit := maxRetryFactorNoLease * first
	if _, valid := sea.ses.Expires(); valid {
		limit = maxRetryFactor * first
	}
	delay := min(max(first, 2*sea.retryDelays[adr]), limit)
	sea.retryDelays[adr] = delay
	sea.schedule(adr, delay/2+rand.N(delay/2+1))
}

// connect opens a stream to an address and waits for its first answer. The attempt ends with searchCtx, the
// connection with ctx.
func (ses *Session) connect(ctx, searchCtx context.Context, adr string) connectResult {
	sctx, cancel := context.WithCancel(ctx)
	con := &connection{address: adr, cancel: cancel, release: func() {}}
	tmr := time.AfterFunc(ses.opt.WelcomeTimeout, cancel)
	stop := context.AfterFunc(searchCtx, cancel)
	res := ses.handshake(sctx, con)
	inTime := tmr.Stop()
	if !stop() || !inTime {
		res.con, res.err = nil, errors.New("control process did not answer within the welcome timeout")
	}
	if res.con == nil {
		con.close()
	}
	return res
}

func (ses *Session) handshake(ctx context.Context, con *connection) connectResult {
	res := connectResult{address: con.address}
	began := time.Now()
	str, release, err := ses.dial(ctx, con.address)
	if err != nil {
		res.err = err
		return res
	}
	con.stream, con.release = str, release
	if res.err = str.Send(ses.hello()); res.err != nil {
		return res
	}
	msg, err := str.Recv()
	if err != nil {
		res.err = err
		return res
	}
	switch knd := msg.GetKind().(type) {
	case *controlpb.ControlMessage_Welcome:
		con.welcome, con.connectTime = knd.Welcome, time.Since(began)
		res.con = con
	case *controlpb.ControlMessage_Redirect:
		res.hint = knd.Redirect.GetLeaderAddress()
		res.err = errors.Errorf("not the leader: %s", knd.Redirect.GetReason())
	case *controlpb.ControlMessage_Expired:
		res.expired = ses.lease.number() != 0
		res.err = errors.New(knd.Expired.GetReason())
	default:
		res.err = errors.Errorf("unexpected first message %T", knd)
	}
	return res
}

func (ses *Session) hello() *controlpb.AgentMessage {
	nod := proto.CloneOf(ses.opt.Node)
	ses.mu.Lock()
	nod.Upstream = ses.upstream
	ses.mu.Unlock()
	nod.Session = ses.lease.number()
	hlo := &controlpb.Hello{Node: nod, Session: nod.Session, Version: ses.table.baseVersion()}
	return &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Hello{Hello: hlo}}
}

// endSession drops the session, so that the next hello registers a new one.
func (ses *Session) endSession(err error) {
	ses.opt.Counters.Event(eventExpired)
	ses.opt.Logger.Warnf("session: %d expired: %v", ses.lease.number(), err)
	ses.lease.end()
}
