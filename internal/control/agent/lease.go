package agent

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// lease is the leader's view of one session.
type lease struct {
	session     uint64
	name        string
	upstream    string
	since       time.Time // when this leader first knew it
	last        time.Time // receipt of the last renewal that was accepted
	expiring    bool      // its expiry is proposed; it is never renewed again, whatever becomes of the proposal
	stream      *stream
	worker      *stream // the newest stream that may propose commands
	version     uint64
	config      uint64 // configuration number in force at the agent
	heard       bool   // version and config are known
	leaving     bool   // the agent is about to stop
	drainTold   bool   // the agent knows that an operator drains its upstream
	announced   uint64 // since_index of its upstream
	announcedAt time.Time
}

func (lea *lease) end(rsn string) {
	if lea.stream != nil {
		lea.stream.expire(rsn)
	}
}

// renewal waits for the confirmation of the leadership.
type renewal struct {
	stream   *stream
	session  uint64
	sequence uint64
}

// renew notes a renewal at its receipt. The wait until expiry is prolonged at once, which is always safe, but the agent is answered only after the leadership is confirmed.
func (trm *term) renew(stm *stream, msg *controlpb.Renew) {
	now := time.Now()
	trm.mut.Lock()
	defer trm.mut.Unlock()
	lea := trm.leases[stm.session]
	if lea == nil || lea.expiring {
		stm.expire("expired")
		return
	}
	lea.version, lea.config, lea.heard = msg.GetVersion(), msg.GetConfigurationNumber(), true
	if trm.overdue(lea, now) {
		return
	}
	lea.last = now
	trm.waiting = append(trm.waiting, renewal{stream: stm, session: stm.session, sequence: msg.GetSequence()})
	select {
	case trm.queued <- struct{}{}:
	default:
	}
}

// confirmLoop answers renewals; all that wait when a confirmation begins share it.
func (trm *term) confirmLoop() {
	for {
		select {
		case <-trm.queued:
		case <-trm.ctx.Done():
			return
		}
		time.Sleep(trm.sessions.options.ConfirmGather)
		trm.answer(trm.takeWaiting())
	}
}

func (trm *term) takeWaiting() []renewal {
	trm.mut.Lock()
	defer trm.mut.Unlock()
	out := trm.waiting
	trm.waiting = nil
	return out
}

func (trm *term) answer(batch []renewal) {
	if !trm.sessions.hooks.skipConfirm {
		if err := trm.sessions.log.Confirm(trm.ctx); err != nil {
			logrus.Debugf("sessions: %d renewals are not answered: %v", len(batch), err)
			return
		}
	}
	trm.mut.Lock()
	defer trm.mut.Unlock()
	for _, ren := range batch {
		lea := trm.leases[ren.session]
		if lea != nil && !lea.expiring {
			ren.stream.grant(ren.sequence)
		}
	}
}

// expire proposes the expiry of the sessions that have not been renewed for too long.
func (trm *term) expire() {
	now := time.Now()
	trm.mut.Lock()
	defer trm.mut.Unlock()
	if trm.expiring {
		return
	}
	var over []uint64
	for num, lea := range trm.leases {
		if lea.expiring || now.Sub(lea.last) > trm.sessions.options.Wait {
			lea.expiring = true
			over = append(over, num)
		}
	}
	if len(over) > 0 {
		trm.expiring = trm.spawnLocked(func() { trm.proposeExpiry(over) })
	}
}

func (trm *term) proposeExpiry(over []uint64) {
	logrus.Infof("sessions: %d sessions expire", len(over))
	if _, err := trm.sessions.log.Propose(trm.ctx, registry.ExpireSessions(over...)); err != nil {
		logrus.Warnf("sessions: expiry is not committed: %v", err)
	}
	trm.mut.Lock()
	trm.expiring = false
	trm.mut.Unlock()
	trm.kick()
}
