package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// stop holds the last two steps of a handler's stop; each is done once its step has begun.
type stop struct {
	withdrawn context.Context // no attempt begins, those that wait at their owners are withdrawn
	withdraw  context.CancelFunc
	aborted   context.Context // no attempt is waited for
	abort     context.CancelFunc
}

func newStop() stop {
	stp := stop{}
	stp.withdrawn, stp.withdraw = context.WithCancel(context.Background())
	stp.aborted, stp.abort = context.WithCancel(context.Background())
	return stp
}

// Close refuses all further requests with proof that they do not run; those in hand go on.
func (han *Handler) Close() { han.closed.Store(true) }

// WithdrawQueued refuses the requests in hand that have no owner, and withdraws the attempts that have not started.
func (han *Handler) WithdrawQueued() {
	han.Close()
	han.stop.withdraw()
}

// Abort ends the wait for all attempts, so that each request in hand gets its answer at once; that of one which may run tells so.
func (han *Handler) Abort() {
	han.WithdrawQueued()
	han.stop.abort()
}

// stopping reports whether no further attempt may begin.
func (han *Handler) stopping() bool { return han.stop.withdrawn.Err() != nil }

// attemptContext returns a context that ends at a time and when the handler aborts its requests.
func (han *Handler) attemptContext(ctx context.Context, end time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, end)
	unbind := context.AfterFunc(han.stop.aborted, cancel)
	return ctx, func() {
		unbind()
		cancel()
	}
}

// withdrawUntil withdraws an attempt that has not started; it asks again until the owner answers or the attempt is over.
func (cal *call) withdrawUntil(attemptCtx context.Context, tgt target, aid *peerpb.AttemptId) {
	for pause := cal.han.opt.Poll; ; pause = min(2*pause, 16*cal.han.opt.Poll) {
		ctx, cancel := context.WithTimeout(attemptCtx, maxWithdrawWait)
		_, err := cal.withdraw(ctx, tgt, aid, 0)
		cancel()
		if err == nil || !sleep(attemptCtx, pause) {
			return
		}
	}
}

// aborted returns the refusal of an attempt that ended because the handler aborts its requests, and any other unchanged.
func (cal *call) aborted(ref *siskinrill.Refusal) *siskinrill.Refusal {
	if ref.Reason() != siskinrill.ReasonCallerGone || cal.req.Context().Err() != nil || cal.han.stop.aborted.Err() == nil {
		return ref
	}
	return siskinrill.NewRefusal(siskinrill.ReasonDraining, ref.Outcome(), ref)
}
