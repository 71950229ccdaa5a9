package caller

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// stage is the processing stage of a caller's request.
type stage int32

const (
	stageLocate  stage = iota // no owner accepts the key now
	stageAttempt              // an attempt is in transit to the owner, queued there or running
	stageSettle               // an answer was lost and the owner is queried about the attempt
	stageAnswer               // the answer is being written
)

// String returns the name of the stage as logged.
func (stg stage) String() string {
	return [...]string{"locate", "attempt", "settle", "answer"}[stg]
}

// maxLogged bounds the number of log lines about requests that still run at shutdown.
const maxLogged = 50

// inFlight holds the accepted requests whose answers are not complete.
type inFlight struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (inf *inFlight) add(cal *call) {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	inf.calls[cal] = struct{}{}
}

func (inf *inFlight) remove(cal *call) {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	delete(inf.calls, cal)
}

// all returns the requests, oldest first.
func (inf *inFlight) all() []*call {
	inf.mu.Lock()
	defer inf.mu.Unlock()
	out := make([]*call, 0, len(inf.calls))
	for cal := range inf.calls {
		out = append(out, cal)
	}
	slices.SortFunc(out, func(one, two *call) int { return cmp.Compare(one.arrived.UnixNano(), two.arrived.UnixNano()) })
	return out
}

// progress records the current stage and owner of a request for the log.
type progress struct {
	stage atomic.Int32
	owner atomic.Uint64 // session of the latest attempt's owner, 0 before the first attempt
	tries atomic.Int32
}

func (prg *progress) setStage(stg stage) { prg.stage.Store(int32(stg)) }

func (prg *progress) currentStage() stage { return stage(prg.stage.Load()) }

// LogInFlight logs up to maxLogged requests that have no answer yet, oldest first.
func (han *Handler) LogInFlight(msg string) {
	cals := han.inFlight.all()
	for _, cal := range cals[:min(len(cals), maxLogged)] {
		han.opt.Logger.WithFields(logrus.Fields{
			"request": cal.req.Header.Get(han.opt.RequestIDHeader), "route": cal.route.GetName(), "service": cal.service.GetName(),
			"stage": cal.progress.currentStage().String(), "owner": cal.progress.owner.Load(), "tries": cal.progress.tries.Load(),
			"age_ms": time.Since(cal.arrived).Milliseconds(), "left_ms": time.Until(cal.deadline).Milliseconds(),
		}).Warn("caller: " + msg)
	}
	if unlogged := len(cals) - maxLogged; unlogged > 0 {
		han.opt.Logger.WithField("requests", unlogged).Warn("caller: Further requests are not logged.")
	}
}
