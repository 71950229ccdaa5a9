package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// stopRetryAfter is advised to callers of an agent that stops: other agents can take the request at once.
const stopRetryAfter = 100 * time.Millisecond

// stop holds the contexts of the last two steps of a handler's shutdown; each is cancelled when its step begins.
type stop struct {
	withdrawn context.Context // no new attempts; attempts queued at their owners are withdrawn
	withdraw  context.CancelFunc
	aborted   context.Context // stop waiting for attempts
	abort     context.CancelFunc
}

func newStop() stop {
	stp := stop{}
	stp.withdrawn, stp.withdraw = context.WithCancel(context.Background())
	stp.aborted, stp.abort = context.WithCancel(context.Background())
	return stp
}

// Close refuses all further requests with proof that they do not run; requests in flight continue.
func (han *Handler) Close() { han.closed.Store(true) }

// WithdrawQueued refuses requests in flight that have no owner, and withdraws the attempts that have not started.
func (han *Handler) WithdrawQueued() {
	han.Close()
	han.stop.withdraw()
}

// Abort stops waiting for attempts, so that each request in flight is answered immediately, with an unknown
// outcome if it may run.
func (han *Handler) Abort() {
	han.WithdrawQueued()
	han.stop.abort()
}

// stopping reports whether new attempts are no longer allowed.
func (han *Handler) stopping() bool { return han.stop.withdrawn.Err() != nil }

// StopAt states when a planned stop will abort the requests that are not answered. Requests whose answers may take longer are refused
// from now on.
func (han *Handler) StopAt(end time.Time) { han.stopAt.Store(&end) }

// outlastsStop reports whether an attempt that starts now must not start or may not end before the process stops.
func (cal *call) outlastsStop() bool {
	if cal.han.stopping() {
		return true
	}
	end := cal.han.stopAt.Load()
	return end != nil && cal.deadline.After(*end) && time.Now().Add(cal.han.longest.Longest(cal.route.GetName())).After(*end)
}

// attemptContext returns a context that ends at the given time or when the handler aborts its requests.
func (han *Handler) attemptContext(ctx context.Context, end time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, end)
	unbind := context.AfterFunc(han.stop.aborted, cancel)
	return ctx, func() {
		unbind()
		cancel()
	}
}

// withdrawUntil withdraws an attempt that has not started, and repeats the request until the owner answers or
// the attempt ends.
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

// aborted replaces the refusal of an attempt that the handler aborted at shutdown; it returns others unchanged.
func (cal *call) aborted(ref *siskinrill.Refusal) *siskinrill.Refusal {
	if ref.Reason() != siskinrill.ReasonCallerGone || cal.req.Context().Err() != nil || cal.han.stop.aborted.Err() == nil {
		return ref
	}
	return siskinrill.NewRefusal(siskinrill.ReasonDraining, ref.Outcome(), ref)
}
