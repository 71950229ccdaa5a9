package control

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxCrashReports limits the reports that are kept, to be sent again on new connections; the newest are kept.
const maxCrashReports = 32

// requestSet is a set of requests by fingerprint.
type requestSet map[uint64]struct{}

// quarantine holds the requests that must not be run: those that control has put in quarantine, and those that have crashed
// the backend server of this agent often enough, which holds without control too. Reads take no lock, since every request
// reads it.
type quarantine struct {
	mu       sync.Mutex
	reports  []crashReport // oldest first
	ordered  requestSet    // by control
	requests atomic.Pointer[requestSet]
}

// crashReport is a report with the time at which it was made.
type crashReport struct {
	msg *controlpb.CrashReport
	at  time.Time
}

// replace takes over the requests of a snapshot.
func (qua *quarantine) replace(reqs []uint64) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.ordered = make(requestSet, len(reqs))
	for _, req := range reqs {
		qua.ordered[req] = struct{}{}
	}
	qua.update()
}

// apply starts or ends the quarantine of one request. At the end its crashes are no longer reported.
func (qua *quarantine) apply(set *controlpb.SetQuarantine) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	if set.GetQuarantined() {
		if qua.ordered == nil {
			qua.ordered = requestSet{}
		}
		qua.ordered[set.GetRequest()] = struct{}{}
	} else {
		delete(qua.ordered, set.GetRequest())
		for _, rep := range qua.reports {
			rep.msg.Requests = slices.DeleteFunc(slices.Clone(rep.msg.GetRequests()), func(req uint64) bool { return req == set.GetRequest() })
		}
	}
	qua.update()
}

// report adds a report, or its requests to an earlier one of the same server.
func (qua *quarantine) report(msg *controlpb.CrashReport) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	pos := slices.IndexFunc(qua.reports, func(rep crashReport) bool { return rep.msg.GetServer() == msg.GetServer() })
	if pos >= 0 {
		all := slices.Concat(qua.reports[pos].msg.GetRequests(), msg.GetRequests())
		msg = &controlpb.CrashReport{Server: msg.GetServer(), Requests: all}
		qua.reports = slices.Delete(qua.reports, pos, pos+1)
	}
	qua.reports = append(qua.reports, crashReport{msg: msg, at: time.Now()})
	qua.reports = qua.reports[max(0, len(qua.reports)-maxCrashReports):]
	qua.update()
	time.AfterFunc(siskinrill.SuspicionTime, qua.expire)
}

// expire ends what the oldest reports have brought about.
func (qua *quarantine) expire() {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.update()
}

// recent returns copies of the reports that still count, oldest first.
func (qua *quarantine) recent() []*controlpb.CrashReport {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.update()
	msgs := make([]*controlpb.CrashReport, 0, len(qua.reports))
	for _, rep := range qua.reports {
		msgs = append(msgs, &controlpb.CrashReport{Server: rep.msg.GetServer(), Requests: rep.msg.GetRequests()})
	}
	return msgs
}

// update drops old reports and publishes the requests that must not be run; the lock is held.
func (qua *quarantine) update() {
	qua.reports = slices.DeleteFunc(qua.reports, func(rep crashReport) bool { return time.Since(rep.at) >= siskinrill.SuspicionTime })
	all := maps.Clone(qua.ordered)
	if all == nil {
		all = requestSet{}
	}
	servers := map[uint64]map[uint64]bool{}
	for _, rep := range qua.reports {
		for _, req := range rep.msg.GetRequests() {
			if servers[req] == nil {
				servers[req] = map[uint64]bool{}
			}
			servers[req][rep.msg.GetServer()] = true
			if len(servers[req]) >= siskinrill.QuarantineCrashes {
				all[req] = struct{}{}
			}
		}
	}
	qua.requests.Store(&all)
}

func (qua *quarantine) current() requestSet {
	if all := qua.requests.Load(); all != nil {
		return *all
	}
	return nil
}

// ReportCrash reports to control which requests ran at the backend server when it crashed; the report is repeated on new
// connections.
func (ses *Session) ReportCrash(rep *controlpb.CrashReport) {
	ses.table.quarantine.report(rep)
	ses.notify()
}

// AnyQuarantined reports whether any request is in quarantine.
func (ses *Session) AnyQuarantined() bool { return len(ses.table.quarantine.current()) > 0 }

// Quarantined reports whether the request with a fingerprint must not be run.
func (ses *Session) Quarantined(fingerprint uint64) bool {
	_, found := ses.table.quarantine.current()[fingerprint]
	return found
}

// logQuarantines logs the quarantines that begin or end with a table update.
func (ses *Session) logQuarantines(dif *controlpb.Difference) {
	for _, chg := range dif.GetChanges() {
		if set := chg.GetSetQuarantine(); set != nil {
			ses.opt.Counters.Event("quarantine_changed")
			ses.opt.Logger.Infof("session: request %016x is in quarantine: %t", set.GetRequest(), set.GetQuarantined())
		}
	}
}
