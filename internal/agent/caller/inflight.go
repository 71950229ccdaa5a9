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

// inHand are the requests between their acceptance and the end of their answers.
type inHand struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func (inh *inHand) add(cal *call) {
	inh.mu.Lock()
	defer inh.mu.Unlock()
	inh.calls[cal] = struct{}{}
}

func (inh *inHand) remove(cal *call) {
	inh.mu.Lock()
	defer inh.mu.Unlock()
	delete(inh.calls, cal)
}

// all returns the requests, the oldest first.
func (inh *inHand) all() []*call {
	inh.mu.Lock()
	defer inh.mu.Unlock()
	out := make([]*call, 0, len(inh.calls))
	for cal := range inh.calls {
		out = append(out, cal)
	}
	slices.SortFunc(out, func(one, two *call) int { return cmp.Compare(one.arrived.UnixNano(), two.arrived.UnixNano()) })
	return out
}

// position is where a request is, for the log.
type position struct {
	stage atomic.Int32
	owner atomic.Uint64 // session of the newest attempt's owner, 0 before the first one
	tries atomic.Int32
}

func (pos *position) enter(stg stage) { pos.stage.Store(int32(stg)) }

func (pos *position) at() stage { return stage(pos.stage.Load()) }

// LogInHand logs the requests that have no answer yet, the oldest first and a bounded number of them.
func (han *Handler) LogInHand(msg string) {
	cals := han.inHand.all()
	for _, cal := range cals[:min(len(cals), maxLogged)] {
		han.opt.Logger.WithFields(logrus.Fields{
			"request": cal.req.Header.Get(han.opt.RequestIDHeader), "route": cal.route.GetName(), "service": cal.service.GetName(),
			"stage": cal.position.at().String(), "owner": cal.position.owner.Load(), "tries": cal.position.tries.Load(),
			"age_ms": time.Since(cal.arrived).Milliseconds(), "left_ms": time.Until(cal.deadline).Milliseconds(),
		}).Warn("caller: " + msg)
	}
	if rest := len(cals) - maxLogged; rest > 0 {
		han.opt.Logger.WithField("requests", rest).Warn("caller: Further requests are not logged.")
	}
}
