package caller

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// stage is how far a request of a caller has got.
type stage int32

const (
	stageLocate  stage = iota // its key has no owner that takes it now
	stageAttempt              // an attempt is on its way to the owner, waits there or runs
	stageSettle               // an answer was lost, the owner is asked what became of the attempt
	stageAnswer               // the answer is being written
)

// String returns the name of the stage in the log.
func (stg stage) String() string {
	return [...]string{"locate", "attempt", "settle", "answer"}[stg]
}

// maxLogged bounds the lines about requests that still run at a stop.
const maxLogged = 50

// inFlight are the requests between their acceptance and the end of their answers.
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

// all returns the requests, the oldest first.
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

// progress is where a request is, for the log.
type progress struct {
	stage atomic.Int32
	owner atomic.Uint64 // session of the newest attempt's owner, 0 before the first one
	tries atomic.Int32
}

func (prg *progress) setStage(stg stage) { prg.stage.Store(int32(stg)) }

func (prg *progress) currentStage() stage { return stage(prg.stage.Load()) }

// LogInHand logs the requests that have no answer yet, the oldest first and a bounded number of them.
func (han *Handler) LogInHand(msg string) {
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
