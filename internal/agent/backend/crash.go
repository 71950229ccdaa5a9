package backend

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/fingerprint"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// crashWindow is how long before the proof of a crash a run may have lost its connection to the server. A server that is
	// not sent further requests proves it only when it announces its next start, some seconds later.
	crashWindow = 10 * time.Second
	// crashReportDelay is the time from the proof of a crash to its report, in which other runs notice it too.
	crashReportDelay = 20 * time.Millisecond
	// maxAnswered limits the requests of each of the two generations that the server is known to have answered.
	maxAnswered = 4096
	// maxLoggedName is the maximum length of a request's method and path in the log.
	maxLoggedName = 128
)

// crashes finds the requests that ran at the backend server when it crashed. A request that this start of the server has
// answered is not blamed: it ran without harm, and a frequent one would be in flight at every crash.
type crashes struct {
	report        func(rep *controlpb.CrashReport) // nil: nothing is recorded
	callerHeaders []string
	seed          maphash.Seed

	mu       sync.Mutex
	server   uint64 // number of the server's present start, drawn at random
	answered [2]map[uint64]struct{}
	lost     []lostRun // of the present start, oldest first
	crashed  bool      // it has ended
	pending  bool      // a report is scheduled
}

// lostRun is a run that got no answer because the connection to the server failed.
type lostRun struct {
	request uint64 // fingerprint
	name    string // method and path for the log
	at      time.Time
}

func newCrashes(opt Options) *crashes {
	crs := &crashes{report: opt.OnCrash, callerHeaders: opt.CallerHeaders, seed: maphash.MakeSeed()}
	crs.restart()
	return crs
}

// restart begins a new start of the server; the caller holds the lock, if the value is in use.
func (crs *crashes) restart() {
	crs.server = rand.Uint64()
	crs.answered = [2]map[uint64]struct{}{{}, {}}
	crs.lost, crs.crashed, crs.pending = nil, false, false
}

// serverAccepted begins a new start of the server if the last one has ended.
func (crs *crashes) serverAccepted() {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if crs.crashed {
		crs.flush()
		crs.restart()
	}
}

// recordAnswer records that the server has answered a request.
func (crs *crashes) recordAnswer(att *siskinrill.Attempt) {
	if crs.report == nil {
		return
	}
	key := crs.localKey(att)
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if len(crs.answered[0]) >= maxAnswered {
		crs.answered = [2]map[uint64]struct{}{{}, crs.answered[0]}
	}
	crs.answered[0][key] = struct{}{}
}

// localKey returns a hash of a request that is only valid in this process.
func (crs *crashes) localKey(att *siskinrill.Attempt) uint64 {
	return fingerprint.LocalOfAttempt(att.Open(), crs.callerHeaders, crs.seed)
}

// recordLost records a run that was sent to the server and lost its connection.
func (crs *crashes) recordLost(att *siskinrill.Attempt) {
	if crs.report == nil {
		return
	}
	key := crs.localKey(att)
	crs.mu.Lock()
	defer crs.mu.Unlock()
	for _, set := range crs.answered {
		if _, found := set[key]; found {
			return
		}
	}
	opn := att.Open()
	run := lostRun{request: fingerprint.OfAttempt(opn, crs.callerHeaders), name: opn.GetMethod() + " " + opn.GetTarget(), at: time.Now()}
	run.name = run.name[:min(len(run.name), maxLoggedName)]
	crs.lost = append(crs.lost, run)
	crs.lost = crs.lost[max(0, len(crs.lost)-siskinrill.MaxCrashSuspects):]
	if crs.crashed {
		crs.schedule()
	}
}

// recordCrash records that the server has ended without having said so before.
func (crs *crashes) recordCrash() {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	crs.crashed = true
	crs.schedule()
}

// schedule reports what is known in a moment; the lock is held.
func (crs *crashes) schedule() {
	if crs.pending || crs.report == nil {
		return
	}
	crs.pending = true
	num := crs.server
	time.AfterFunc(crashReportDelay, func() {
		crs.mu.Lock()
		defer crs.mu.Unlock()
		if crs.server == num {
			crs.flush()
		}
	})
}

// flush reports the runs that were lost; the lock is held.
func (crs *crashes) flush() {
	crs.pending = false
	rep := &controlpb.CrashReport{Server: crs.server}
	var names []string
	for _, run := range crs.lost {
		if time.Since(run.at) < crashWindow && !slices.Contains(rep.GetRequests(), run.request) {
			rep.Requests = append(rep.Requests, run.request)
			names = append(names, fmt.Sprintf("%016x %s", run.request, run.name))
		}
	}
	crs.lost = nil
	if len(rep.GetRequests()) == 0 || crs.report == nil {
		return
	}
	logrus.WithField("requests", names).Warn("backend: the server crashed while requests ran")
	crs.report(rep)
}
