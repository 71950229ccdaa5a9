package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/boottime"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// progressBytes is the least number of bytes within AnswerTimeout that shows a message on its way; control frames of the transport alone stay below it.
const progressBytes = 1 << 10

// clockSlack is how much earlier than by the boot time a timer may fire.
const clockSlack = time.Millisecond

// renewal is a renewal that was sent and not yet answered.
type renewal struct {
	sequence uint64
	sent     boottime.Instant
}

// exchange is the use of one connection; sequences of renewals are its own.
type exchange struct {
	ses     *Session
	con     *connection
	session uint64
	lease   time.Duration
	renew   time.Duration
	silence time.Duration // longest one while a renewal is unanswered

	mu       sync.Mutex
	pending  []renewal // oldest first
	sequence uint64
	heard    boottime.Instant // of the last message
	watchdog *time.Timer
	received uint64 // bytes when the watchdog last looked
	applying bool   // a message is being applied, and the answers behind it are not read
	over     bool   // the watchdog is not to look again
}

// serve uses a connection until it ends.
func (ses *Session) serve(ctx context.Context, con *connection) error {
	exc := ses.begin(con)
	// A dead connection may block Send and Recv, so that only the end of its context frees them.
	exc.mu.Lock()
	exc.received = con.stream.Received()
	exc.watchdog = time.AfterFunc(exc.silence, exc.checkAnswers)
	exc.mu.Unlock()
	defer exc.stopWatchdog()
	ended := make(chan error, 1)
	var rcv sync.WaitGroup
	rcv.Go(func() { ended <- exc.receive() })
	err := exc.send(ctx, ended)
	con.cancel()
	// A late message of this connection must not touch the session of the next one.
	rcv.Wait()
	return err
}

// checkAnswers ends a connection whose leader has not answered a renewal in time. A leader that owes an answer but still sends is kept for a while, and for as long as a larger message arrives or is applied: the answer waits behind it, and an agent that gave up would have the whole message sent again, and might never receive it.
func (exc *exchange) checkAnswers() {
	if exc.waits() || exc.advancing() {
		return
	}
	exc.ses.opt.Counters.Event(eventSilent)
	exc.ses.opt.Logger.Warnf("session: leader %s does not answer renewals", exc.con.address)
	exc.con.cancel()
}

// waits reports whether the leader has time left for its answer, and has the watchdog look again after it.
func (exc *exchange) waits() bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	rest := exc.rest()
	if rest < clockSlack {
		return false
	}
	exc.received = exc.con.stream.Received()
	if len(exc.pending) > 0 && !exc.over {
		exc.watchdog.Reset(rest)
	}
	return true
}

// rest returns the time after which the leader is silent for too long if nothing arrives; the lock is held.
func (exc *exchange) rest() time.Duration {
	if len(exc.pending) == 0 {
		return exc.silence
	}
	now := boottime.Mark()
	waited := now.Since(exc.pending[0].sent)
	quiet := min(waited, now.Since(exc.heard))
	return min(exc.silence-quiet, exc.ses.opt.AnswerLimit-waited)
}

// advancing reports whether enough bytes have arrived since the last look, or one message is still applied, and has the watchdog look again.
func (exc *exchange) advancing() bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	num := exc.con.stream.Received()
	if num < exc.received+progressBytes && !exc.applying {
		return false
	}
	exc.received = num
	if !exc.over {
		exc.watchdog.Reset(exc.silence)
	}
	return true
}

func (exc *exchange) stopWatchdog() {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.over = true
	exc.watchdog.Stop()
}

// begin takes over what the welcome says.
func (ses *Session) begin(con *connection) *exchange {
	wlc := con.welcome
	ttl := ses.opt.Lease
	if told := time.Duration(wlc.GetLeaseMs()) * time.Millisecond; told > 0 {
		ttl = min(ttl, told)
	}
	renew := ses.opt.Renew
	if told := time.Duration(wlc.GetRenewMs()) * time.Millisecond; told > 0 {
		renew = min(renew, told)
	}
	ses.lease.begin(wlc.GetSession())
	ses.lease.hear()
	ses.setDrained(wlc.GetDraining())
	ses.mu.Lock()
	ses.leader = con.address
	ses.mu.Unlock()
	ses.opt.Counters.Event(eventConnected)
	ses.opt.Logger.Infof("session: %d at leader %s", wlc.GetSession(), con.address)
	silence := min(max(ses.opt.AnswerTimeout, 2*con.took), ses.opt.AnswerLimit)
	return &exchange{ses: ses, con: con, session: wlc.GetSession(), lease: ttl, renew: renew, silence: silence, heard: boottime.Mark()}
}

// send sends renewals, reports and wishes until the receiver ends.
func (exc *exchange) send(ctx context.Context, ended <-chan error) error {
	rnw := time.NewTicker(exc.renew)
	defer rnw.Stop()
	rpt := time.NewTicker(exc.ses.opt.Report)
	defer rpt.Stop()
	sent := &sentState{exc: exc, refs: map[refKey]bool{}}
	reported := time.Now()
	err := exc.sendRenewal()
	if err == nil {
		err = sent.wishes()
	}
	for err == nil {
		select {
		case <-rnw.C:
			err = exc.sendRenewal()
		case now := <-rpt.C:
			err = exc.sendLoad(now.Sub(reported))
			reported = now
		case <-exc.ses.wake:
			err = sent.wishes()
		case err = <-ended:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	return err
}

func (exc *exchange) sendRenewal() error {
	ver, num := exc.ses.table.versions()
	exc.mu.Lock()
	exc.sequence++
	rnw := &controlpb.Renew{Sequence: exc.sequence, Version: ver, ConfigurationNumber: num}
	exc.pending = append(exc.pending, renewal{sequence: exc.sequence, sent: boottime.Mark()})
	if len(exc.pending) == 1 {
		exc.watchdog.Reset(exc.rest())
	}
	exc.mu.Unlock()
	return exc.con.stream.Send(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Renew{Renew: rnw}})
}

// answered extends the lease by the newest renewal that the leader granted.
func (exc *exchange) answered(seq uint64) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	done := 0
	for done < len(exc.pending) && exc.pending[done].sequence <= seq {
		done++
	}
	if done == 0 {
		return
	}
	exc.ses.lease.grant(exc.session, exc.pending[done-1].sent, exc.lease)
	exc.pending = append(exc.pending[:0], exc.pending[done:]...)
	if len(exc.pending) == 0 {
		exc.watchdog.Stop()
		return
	}
	exc.watchdog.Reset(max(exc.rest(), exc.silence/4))
}

func (exc *exchange) sendLoad(interval time.Duration) error {
	exc.ses.mu.Lock()
	src := exc.ses.source
	exc.ses.mu.Unlock()
	if src == nil {
		return nil
	}
	rpt := src.Load(interval)
	if rpt == nil {
		return nil
	}
	if rpt.IntervalMs == 0 {
		rpt.IntervalMs = uint32(interval.Milliseconds())
	}
	return exc.con.stream.Send(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Load{Load: rpt}})
}

func (exc *exchange) hear() {
	now := boottime.Mark()
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.heard = now
	// Bytes of complete messages show no large one on its way.
	exc.received = exc.con.stream.Received()
}

func (exc *exchange) receive() error {
	for {
		msg, err := exc.con.stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		exc.hear()
		exc.setApplying(true)
		err = exc.take(msg)
		exc.setApplying(false)
		if err != nil {
			return err
		}
	}
}

func (exc *exchange) setApplying(applying bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.applying = applying
}

// take handles one message of the leader; an error ends the connection.
func (exc *exchange) take(msg *controlpb.ControlMessage) error {
	ses := exc.ses
	switch knd := msg.GetKind().(type) {
	case *controlpb.ControlMessage_Redirect:
		ses.redirected(knd.Redirect)
		return siskinrill.NewNotLeaderError(knd.Redirect.GetLeaderAddress())
	case *controlpb.ControlMessage_Expired:
		err := errors.New(knd.Expired.GetReason())
		ses.expire(err)
		return errors.Wrap(err, "expired")
	case *controlpb.ControlMessage_RenewAnswer:
		exc.answered(knd.RenewAnswer.GetSequence())
	case *controlpb.ControlMessage_Snapshot:
		if err := ses.table.replace(knd.Snapshot); err != nil {
			return errors.Wrap(err, "snapshot")
		}
		ses.opt.Counters.Event(eventSnapshot)
		ses.dropReleased()
		ses.confirm()
	case *controlpb.ControlMessage_Difference:
		if err := ses.table.apply(knd.Difference); err != nil {
			ses.opt.Counters.Event(eventGap)
			ses.table.forget()
			return errors.Wrap(err, "apply")
		}
		ses.dropReleased()
		ses.confirm()
	case *controlpb.ControlMessage_Drain:
		ses.setDrained(knd.Drain)
	}
	ses.lease.hear()
	return nil
}

func (ses *Session) redirected(rdr *controlpb.Redirect) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if rdr.GetLeaderAddress() != "" {
		ses.leader = rdr.GetLeaderAddress()
	}
}
