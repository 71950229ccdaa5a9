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
	renewedAt   time.Time // receipt of the last renewal that was accepted
	expiring    bool      // its expiry is proposed; it is never renewed again, whatever becomes of the proposal
	stream      *stream
	proposer    *stream // the newest stream that may propose commands
	version     uint64
	config      uint64 // configuration number in force at the agent
	reported    bool   // version and config are known
	leaving     bool   // the agent is about to stop
	drainSent   bool   // the agent knows that an operator drains its upstream
	announced   uint64 // since_index of its upstream
	announcedAt time.Time
}

func (lea *lease) expire(rsn string) {
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
	lea.version, lea.config, lea.reported = msg.GetVersion(), msg.GetConfigurationNumber(), true
	if trm.overdue(lea, now) {
		return
	}
	lea.renewedAt = now
	trm.waiting = append(trm.waiting, renewal{stream: stm, session: stm.session, sequence: msg.GetSequence()})
	select {
	case trm.renewalQueued <- struct{}{}:
	default:
	}
}

// confirmLoop answers renewals; all that wait when a confirmation begins share it.
func (trm *term) confirmLoop() {
	for {
		select {
		case <-trm.renewalQueued:
		case <-trm.ctx.Done():
			return
		}
		time.Sleep(trm.sessions.options.ConfirmDelay)
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
	var overdue []uint64
	for num, lea := range trm.leases {
		if lea.expiring || now.Sub(lea.renewedAt) > trm.sessions.options.ExpireAfter {
			lea.expiring = true
			overdue = append(overdue, num)
		}
	}
	if len(overdue) > 0 {
		trm.expiring = trm.spawnLocked(func() { trm.proposeExpiry(overdue) })
	}
}

func (trm *term) proposeExpiry(overdue []uint64) {
	logrus.Infof("sessions: %d sessions expire", len(overdue))
	if _, err := trm.sessions.log.Propose(trm.ctx, registry.ExpireSessions(overdue...)); err != nil {
		logrus.Warnf("sessions: expiry is not committed: %v", err)
	}
	trm.mut.Lock()
	trm.expiring = false
	trm.mut.Unlock()
	trm.requestTick()
}
