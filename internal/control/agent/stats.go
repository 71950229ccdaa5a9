package agent

import (
	"slices"
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// SessionStats is the state of a session that the leader keeps in memory, beside its entry in the registry.
type SessionStats struct {
	Session  uint64
	Version  uint64  // newest log index that the agent has applied
	Config   uint64  // configuration number in force at the agent
	Requests float64 // per second
	Busy     float64 // mean number of slots in use
	InFlight uint32
	Queued   uint32
	Limit    uint32
	Refusals map[string]uint64 // by reason, in the last report
}

// Stats returns the statistics by session, nil while this process does not lead.
func (ses *Sessions) Stats() map[uint64]SessionStats {
	trm := ses.current()
	if trm == nil {
		return nil
	}
	trm.mut.Lock()
	defer trm.mut.Unlock()
	trm.loads.mut.Lock()
	defer trm.loads.mut.Unlock()
	out := make(map[uint64]SessionStats, len(trm.leases))
	for num, lea := range trm.leases {
		out[num] = trm.stats(lea)
	}
	return out
}

func (trm *term) stats(lea *lease) SessionStats {
	sts := SessionStats{Session: lea.session, Version: lea.version, Config: lea.config}
	rep := trm.loads.reports[lea.session]
	if rep == nil || time.Since(rep.at) > noReportAge {
		return sts
	}
	sts.Requests, sts.Busy = rep.requests, rep.busy
	sts.InFlight, sts.Queued, sts.Limit = rep.last.GetInFlight(), rep.last.GetQueued(), rep.last.GetLimit()
	sts.Refusals = rep.last.GetRefusals()
	return sts
}

// Lagging returns the sorted names of the agents that may hold a lease but have not reported a configuration
// number as in force, and false while this process does not lead.
func (ses *Sessions) Lagging(num uint64) ([]string, bool) {
	trm := ses.current()
	if trm == nil {
		return nil, false
	}
	trm.sync(time.Now())
	trm.mut.Lock()
	defer trm.mut.Unlock()
	var out []string
	for _, lea := range trm.leases {
		if !lea.reported || lea.config < num {
			out = append(out, lea.name)
		}
	}
	slices.Sort(out)
	return out, true
}

var _ controlpb.SessionServiceServer = (*Sessions)(nil)
