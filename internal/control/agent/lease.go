package agent

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// lease is the leader's state of one session.
type lease struct {
	session     uint64
	name        string
	upstream    string
	since       time.Time // when this leader first saw the session
	renewedAt   time.Time // receipt of the last accepted renewal
	expiring    bool      // expiry is proposed; never renewed again, even if the proposal fails
	stream      *stream
	proposer    *stream // newest stream that may propose commands
	version     uint64
	config      uint64 // configuration number in force at the agent
	reported    bool   // version and config were received in this term
	leaving     bool   // agent is about to stop
	drainSent   bool   // last drain state sent to the agent
	announced   uint64 // since_index of the upstream
	announcedAt time.Time
}

func (lea *lease) expire(rsn string) {
	if lea.stream != nil {
		lea.stream.expire(rsn)
	}
}

// renewal is a received renewal that is answered once leadership is confirmed.
type renewal struct {
	stream   *stream
	session  uint64
	sequence uint64
}

// renew records a renewal. It extends the time until expiry immediately, which is always safe, but answers the
// agent only after leadership is confirmed.
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

// confirmLoop answers renewals; one leadership confirmation covers all that were queued before it.
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
		if err := trm.sessions.log.ConfirmLeadership(trm.ctx); err != nil {
			logrus.Debugf("sessions: %d renewals not answered, leadership not confirmed: %v", len(batch), err)
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

// expire proposes the expiry of sessions that were last renewed more than Options.ExpireAfter ago.
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
	logrus.Infof("sessions: expiring %d sessions, lease not renewed in time", len(overdue))
	if _, err := trm.sessions.log.Propose(trm.ctx, registry.ExpireSessions(overdue...)); err != nil {
		logrus.Warnf("sessions: expiry of sessions not committed: %v", err)
	}
	trm.mut.Lock()
	trm.expiring = false
	trm.mut.Unlock()
	trm.requestTick()
}
