package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	outcome  peerpb.Outcome
	reason   siskinrill.Reason
	response *peerpb.Response // complete answer, nil if it is too long to store
}

// runResult is the result of running an attempt.
type runResult struct {
	ans *siskinrill.Answer
	err error
}

// run sends an attempt to the backend server.
func (own *Owner) run(ctx context.Context, tck *ticket, grt siskinrill.Grant) (*siskinrill.Answer, error) {
	ans, err := own.bck.Do(ctx, tck.attempt(), grt)
	own.observe(tck, err)
	if err != nil {
		ref := refusalOf(err)
		own.end(tck, attemptEnd{outcome: ref.Outcome(), reason: ref.Reason()})
		return nil, own.addRefusalToLoad(ref)
	}
	hea := ans.Head()
	if hea.GetBodyEnd() || ans.Body() == nil {
		own.end(tck, attemptEnd{outcome: peerpb.Outcome_OUTCOME_COMPLETE, response: hea})
		return ans, nil
	}
	return siskinrill.NewAnswer(hea, newAnswerBody(own, tck, ans)), nil
}

// refusalOf returns the refusal in an error of the backend; any other error leaves it unknown whether the attempt
// ran.
func refusalOf(err error) *siskinrill.Refusal {
	var ref *siskinrill.Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return siskinrill.Unknown(siskinrill.ReasonInternal, err)
}

// runOnce runs an attempt that must not run twice. The run continues when the caller disconnects, so that its answer
// can be requested later.
func (own *Owner) runOnce(ctx context.Context, tck *ticket, grt siskinrill.Grant) (*siskinrill.Answer, error) {
	long, cancel := context.WithDeadline(context.WithoutCancel(ctx), tck.deadline)
	// The end of the run must not end ctx, whose end means here that the caller has disconnected.
	defer tck.cancel()
	tck.cancel = cancel
	out := make(chan runResult)
	gone := make(chan struct{})
	go func() {
		ans, err := own.run(long, tck, grt)
		select {
		case out <- runResult{ans: ans, err: err}:
		case <-gone:
			if ans != nil {
				_ = ans.Close()
			}
		}
	}()
	res, done := tck.await(ctx, out)
	if done {
		return res.ans, res.err
	}
	close(gone)
	own.cnt.Event("caller_gone_while_running")
	return nil, own.recordRefusal(siskinrill.Unknown(siskinrill.ReasonCallerGone, ctx.Err()))
}

// await returns the result, or false once the caller has disconnected and the run no longer needs it; a run that
// still reads the caller's body ends by itself.
func (tck *ticket) await(ctx context.Context, out <-chan runResult) (runResult, bool) {
	select {
	case res := <-out:
		return res, true
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return <-out, true
	}
	if tck.bdy == nil {
		return runResult{}, false
	}
	select {
	case res := <-out:
		return res, true
	case <-tck.bdy.done:
	}
	if !tck.bdy.ended() {
		return <-out, true
	}
	return runResult{}, false
}

// observe reports a run to the concurrency limit. Requests with a streamed body are excluded, because their time
// depends on the caller.
func (own *Owner) observe(tck *ticket, err error) {
	lat := time.Since(tck.started)
	own.mu.Lock()
	defer own.mu.Unlock()
	if err != nil && refusalOf(err).Reason() == siskinrill.ReasonBackendShed {
		own.lim.shed()
		return
	}
	if tck.attempt().Body() == nil && (err == nil || !refusalOf(err).NotRun()) {
		own.lim.observe(lat, len(own.holders))
	}
	if err == nil {
		own.rts.observe(tck.att.Open().GetRoute(), lat)
		own.longest.Observe(tck.att.Open().GetRoute(), lat)
	}
}

// end releases the resources of an attempt and records how it ended.
func (own *Owner) end(tck *ticket, how attemptEnd) {
	lmt := own.bck.StartLimit()
	own.mu.Lock()
	own.starts.set(lmt)
	delete(own.holders, tck)
	if tck.isRunning() {
		own.lds.countRun(tck, how)
	}
	own.bodies.finish(tck)
	own.endClaim(tck, how)
	own.endRecord(tck, how.outcome, how.response)
	own.assignSlots()
	moving := len(own.moves) > 0
	own.mu.Unlock()
	if tck.cancel != nil {
		tck.cancel()
	}
	if moving {
		own.wakeRun()
	}
}
