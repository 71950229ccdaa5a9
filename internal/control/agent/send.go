package agent

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

func (stm *stream) signal() {
	select {
	case stm.wake <- struct{}{}:
	default:
	}
}

// grant marks renewals up to a sequence as granted, so that the writer answers them.
func (stm *stream) grant(seq uint64) {
	stm.mut.Lock()
	stm.granted = max(stm.granted, seq)
	stm.mut.Unlock()
	stm.signal()
}

func (stm *stream) setDrain(drn bool) {
	stm.mut.Lock()
	stm.drain = &drn
	stm.mut.Unlock()
	stm.signal()
}

func (stm *stream) setMembers(mbs *controlpb.Members) {
	stm.mut.Lock()
	stm.members = mbs
	stm.mut.Unlock()
	stm.signal()
}

func (stm *stream) expire(rsn string) { stm.finish(expired(rsn)) }

// finish queues a last message, after which the stream ends.
func (stm *stream) finish(msg *controlpb.ControlMessage) {
	stm.mut.Lock()
	if stm.last == nil {
		stm.last = msg
	}
	stm.mut.Unlock()
	stm.signal()
}

// write sends pending messages until the last message, an error or the end of the reader.
func (stm *stream) write() {
	defer close(stm.written)
	defer stm.releaseShare()
	stm.signal()
	for {
		select {
		case <-stm.wake:
		case <-stm.done:
			return
		}
		if !stm.flush() {
			return
		}
	}
}

// flush sends the pending answers, drain state, tables and members; false when the stream has to end.
func (stm *stream) flush() bool {
	stm.mut.Lock()
	last, seq, drn, mbs := stm.last, stm.granted, stm.drain, stm.members
	stm.drain, stm.members = nil, nil
	stm.mut.Unlock()
	if last != nil {
		_ = stm.send(&message{plain: last})
		return false
	}
	if seq > stm.answered && !stm.sendGrant(seq) {
		return false
	}
	if drn != nil {
		msg := &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Drain{Drain: *drn}}
		if stm.send(&message{plain: msg}) != nil {
			return false
		}
	}
	return stm.sendTables() && (mbs == nil || stm.sendMembers(mbs))
}

func (stm *stream) sendGrant(seq uint64) bool {
	stm.answered = seq
	ans := &controlpb.RenewAnswer{Sequence: seq, Version: stm.term.hub.newest()}
	return stm.send(&message{plain: &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_RenewAnswer{RenewAnswer: ans}}}) == nil
}

// sendTables sends a difference or snapshot as soon as its size is admitted. After a snapshot it wakes the
// writer again, because changes since the snapshot may have to follow as a difference.
func (stm *stream) sendTables() bool {
	msg := stm.term.hub.messageSince(stm.version)
	if !stm.admit(msg) {
		return true
	}
	if msg != nil && !stm.sendVersion(msg) {
		return false
	}
	if msg.isSnapshot() {
		stm.signal()
		return true
	}
	select {
	case stm.tablesSent <- struct{}{}:
	default:
	}
	return true
}

func (stm *stream) sendVersion(msg *message) bool {
	if stm.send(msg) != nil {
		return false
	}
	stm.mut.Lock()
	stm.version = msg.version
	stm.mut.Unlock()
	if stm.share == nil {
		return true
	}
	defer stm.releaseShare()
	return stm.awaitSent()
}

// sendMembers sends a difference without other changes. An agent without tables gets the members with its
// snapshot.
func (stm *stream) sendMembers(mbs *controlpb.Members) bool {
	if stm.version == 0 {
		return true
	}
	dif := &controlpb.Difference{
		From: stm.version, To: stm.version,
		Changes: []*controlpb.Change{{Kind: &controlpb.Change_Members{Members: mbs}}},
	}
	return stm.send(&message{plain: &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: dif}}}) == nil
}

func (stm *stream) send(msg *message) error {
	stm.setSending(time.Now())
	defer stm.setSending(time.Time{})
	return msg.sendTo(stm.server)
}

func (stm *stream) setSending(tim time.Time) {
	stm.mut.Lock()
	defer stm.mut.Unlock()
	stm.sendingSince = tim
}

// blocked reports whether the current send has taken longer than a limit.
func (stm *stream) blocked(now time.Time, limit time.Duration) bool {
	stm.mut.Lock()
	defer stm.mut.Unlock()
	return !stm.sendingSince.IsZero() && now.Sub(stm.sendingSince) > limit
}
