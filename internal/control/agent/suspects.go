package agent

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// suspectsInterval is the time between two checks for suspects to forget.
const suspectsInterval = time.Second

// suspectAges measures how long each suspect has had no further crash. The time of a suspect begins anew with a new leader,
// because the log holds no times and the clocks of control hosts may differ.
type suspectAges struct {
	byRequest map[uint64]suspectAge
	checked   time.Time
}

// suspectAge is since when the last crash of a suspect has been known.
type suspectAge struct {
	index uint64 // of the last crash
	since time.Time
}

// expired returns the suspects whose last crash is at least SuspicionTime old, and the newest index among them.
func (age *suspectAges) expired(now time.Time, sus []*controlpb.Suspect) (reqs []uint64, idx uint64) {
	current := make(map[uint64]suspectAge, len(sus))
	for _, itm := range sus {
		seen, found := age.byRequest[itm.GetRequest()]
		if !found || seen.index != itm.GetIndex() {
			seen = suspectAge{index: itm.GetIndex(), since: now}
		}
		current[itm.GetRequest()] = seen
		if now.Sub(seen.since) >= siskinrill.SuspicionTime {
			reqs, idx = append(reqs, itm.GetRequest()), max(idx, itm.GetIndex())
		}
	}
	age.byRequest = current
	return reqs, idx
}

// lowerSuspicions ends the quarantine of requests without further crashes, and forgets the other suspects.
func (trm *term) lowerSuspicions(now time.Time) {
	if now.Sub(trm.suspects.checked) < suspectsInterval {
		return
	}
	trm.suspects.checked = now
	var reqs []uint64
	var idx uint64
	trm.sessions.registry.View(func(stt *controlpb.RegistryState) {
		reqs, idx = trm.suspects.expired(now, stt.GetSuspects())
	})
	if len(reqs) == 0 {
		return
	}
	trm.spawn(func() {
		if _, err := trm.sessions.log.Propose(trm.ctx, registry.LowerSuspicion(idx, reqs...)); err != nil {
			logrus.Debugf("sessions: suspicions not lowered: %v", err)
		}
	})
}
