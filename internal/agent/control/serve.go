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

// minProgressBytes is the minimum number of bytes within AnswerTimeout that shows a message in transit; the
// transport's control frames alone stay below it.
const minProgressBytes = 1 << 10

// clockSlack is how much earlier than by the boot-time clock a timer may fire.
const clockSlack = time.Millisecond

// renewal is a renewal that has been sent but not answered.
type renewal struct {
	sequence uint64
	sent     boottime.Instant
}

// exchange is the use of one connection to the leader; its renewals have their own sequence numbers.
type exchange struct {
	ses        *Session
	con        *connection
	session    uint64
	lease      time.Duration
	renew      time.Duration
	maxSilence time.Duration // how long the leader may send nothing while a renewal is unanswered

	mu            sync.Mutex
	pending       []renewal // oldest first
	sequence      uint64
	lastReceived  boottime.Instant // when the last message was received
	watchdog      *time.Timer
	receivedBytes uint64 // byte count at the watchdog's last check
	applying      bool   // a message is being applied, so answers behind it are not read
	stopped       bool   // the watchdog must not be reset any more
}

// serve sends and receives on a connection until it ends.
func (ses *Session) serve(ctx context.Context, con *connection) error {
	exc := ses.newExchange(con)
	// A dead connection may block Send and Recv, so that only the end of its context unblocks them.
	exc.mu.Lock()
	exc.receivedBytes = con.stream.Received()
	exc.watchdog = time.AfterFunc(exc.maxSilence, exc.checkLeader)
	exc.mu.Unlock()
	defer exc.stopWatchdog()
	ended := make(chan error, 1)
	var rcv sync.WaitGroup
	rcv.Go(func() { ended <- exc.receive() })
	err := exc.send(ctx, ended)
	con.cancel()
	// A delayed message of this connection must not change the session of the next one.
	rcv.Wait()
	return err
}

// checkLeader closes a connection whose leader has not answered a renewal in time. A leader that owes an answer
// but still sends is kept up to AnswerLimit, and for as long as a large message arrives or is applied: the
// answer waits behind that message, and a new connection would have it sent again in full, possibly without
// end.
func (exc *exchange) checkLeader() {
	if exc.withinDeadline() || exc.progressing() {
		return
	}
	exc.ses.opt.Counters.Event(eventSilent)
	exc.ses.opt.Logger.Warnf("session: closing connection, leader %s did not answer a renewal in time", exc.con.address)
	exc.con.cancel()
}

// withinDeadline reports whether the leader has time left to answer, and schedules the next check.
func (exc *exchange) withinDeadline() bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	remaining := exc.remaining()
	if remaining < clockSlack {
		return false
	}
	exc.receivedBytes = exc.con.stream.Received()
	if len(exc.pending) > 0 && !exc.stopped {
		exc.watchdog.Reset(remaining)
	}
	return true
}

// remaining returns the time left until the leader counts as unresponsive if nothing arrives; the lock is held.
func (exc *exchange) remaining() time.Duration {
	if len(exc.pending) == 0 {
		return exc.maxSilence
	}
	now := boottime.Mark()
	waited := now.Since(exc.pending[0].sent)
	silence := min(waited, now.Since(exc.lastReceived))
	return min(exc.maxSilence-silence, exc.ses.opt.AnswerLimit-waited)
}

// progressing reports whether at least minProgressBytes have arrived since the last check, or a message is
// being applied, and schedules the next check.
func (exc *exchange) progressing() bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	num := exc.con.stream.Received()
	if num < exc.receivedBytes+minProgressBytes && !exc.applying {
		return false
	}
	exc.receivedBytes = num
	if !exc.stopped {
		exc.watchdog.Reset(exc.maxSilence)
	}
	return true
}

func (exc *exchange) stopWatchdog() {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.stopped = true
	exc.watchdog.Stop()
}

// newExchange starts the use of a connection with the session and the intervals of its welcome.
func (ses *Session) newExchange(con *connection) *exchange {
	wlc := con.welcome
	ttl := ses.opt.Lease
	if limit := time.Duration(wlc.GetLeaseMs()) * time.Millisecond; limit > 0 {
		ttl = min(ttl, limit)
	}
	renew := ses.opt.Renew
	if limit := time.Duration(wlc.GetRenewMs()) * time.Millisecond; limit > 0 {
		renew = min(renew, limit)
	}
	ses.lease.begin(wlc.GetSession())
	ses.lease.recordContact()
	ses.setDrainedByOperator(wlc.GetDraining())
	ses.mu.Lock()
	ses.leader = con.address
	ses.mu.Unlock()
	ses.opt.Counters.Event(eventConnected)
	ses.opt.Logger.Infof("session: %d connected to leader %s", wlc.GetSession(), con.address)
	maxSilence := min(max(ses.opt.AnswerTimeout, 2*con.connectTime), ses.opt.AnswerLimit)
	return &exchange{ses: ses, con: con, session: wlc.GetSession(), lease: ttl, renew: renew, maxSilence: maxSilence, lastReceived: boottime.Mark()}
}

// send sends renewals, load reports and requests until the receiver ends.
func (exc *exchange) send(ctx context.Context, ended <-chan error) error {
	rnw := time.NewTicker(exc.renew)
	defer rnw.Stop()
	rpt := time.NewTicker(exc.ses.opt.Report)
	defer rpt.Stop()
	sent := &sentState{exc: exc, refs: map[refKey]bool{}, crashes: map[uint64]int{}}
	reported := time.Now()
	err := exc.sendRenewal()
	if err == nil {
		err = sent.sendRequests()
	}
	for err == nil {
		select {
		case <-rnw.C:
			err = exc.sendRenewal()
		case now := <-rpt.C:
			err = exc.sendLoad(now.Sub(reported))
			reported = now
		case <-exc.ses.wake:
			err = sent.sendRequests()
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
		exc.watchdog.Reset(exc.remaining())
	}
	exc.mu.Unlock()
	return exc.con.stream.Send(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Renew{Renew: rnw}})
}

// renewalsAnswered extends the lease from the newest renewal up to a sequence, and removes all of these from
// the pending ones.
func (exc *exchange) renewalsAnswered(ans *controlpb.RenewAnswer) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	seq, done := ans.GetSequence(), 0
	for done < len(exc.pending) && exc.pending[done].sequence <= seq {
		done++
	}
	if done == 0 {
		return
	}
	exc.ses.lease.grant(exc.session, exc.pending[done-1].sent, exc.lease)
	if ver, _ := exc.ses.table.versions(); ver > 0 && ver >= ans.GetVersion() {
		exc.ses.table.zones.recordCurrent(exc.pending[done-1].sent)
	}
	exc.pending = append(exc.pending[:0], exc.pending[done:]...)
	if len(exc.pending) == 0 {
		exc.watchdog.Stop()
		return
	}
	exc.watchdog.Reset(max(exc.remaining(), exc.maxSilence/4))
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

func (exc *exchange) recordReceipt() {
	now := boottime.Mark()
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.lastReceived = now
	// Bytes of a complete message do not show that another one is in transit.
	exc.receivedBytes = exc.con.stream.Received()
}

func (exc *exchange) receive() error {
	for {
		msg, err := exc.con.stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive from leader")
		}
		exc.recordReceipt()
		exc.setApplying(true)
		err = exc.handle(msg)
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

// handle processes one message of the leader; an error ends the connection.
func (exc *exchange) handle(msg *controlpb.ControlMessage) error {
	ses := exc.ses
	switch knd := msg.GetKind().(type) {
	case *controlpb.ControlMessage_Redirect:
		ses.setLeaderHint(knd.Redirect)
		return siskinrill.NewNotLeaderError(knd.Redirect.GetLeaderAddress())
	case *controlpb.ControlMessage_Expired:
		err := errors.New(knd.Expired.GetReason())
		ses.endSession(err)
		return errors.Wrap(err, "session expired")
	case *controlpb.ControlMessage_RenewAnswer:
		exc.renewalsAnswered(knd.RenewAnswer)
	case *controlpb.ControlMessage_Snapshot:
		if err := ses.table.replace(knd.Snapshot); err != nil {
			return errors.Wrap(err, "apply snapshot")
		}
		ses.opt.Counters.Event(eventSnapshot)
		ses.dropConfirmedReleases()
		ses.clearConfirmed()
	case *controlpb.ControlMessage_Difference:
		ses.logQuarantines(knd.Difference)
		if err := ses.table.apply(knd.Difference); err != nil {
			ses.opt.Counters.Event(eventGap)
			ses.table.requestSnapshot()
			return errors.Wrap(err, "apply difference")
		}
		ses.dropConfirmedReleases()
		ses.clearConfirmed()
	case *controlpb.ControlMessage_Drain:
		ses.setDrainedByOperator(knd.Drain)
	}
	ses.lease.recordContact()
	return nil
}

func (ses *Session) setLeaderHint(rdr *controlpb.Redirect) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if rdr.GetLeaderAddress() != "" {
		ses.leader = rdr.GetLeaderAddress()
	}
}
