package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/httpanswer"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// run is one request to the backend server.
type run struct {
	cli     *Client
	tgt     *target
	att     *siskinrill.Attempt
	bdy     io.ReadCloser
	name    string                 // attempt id as the server gets it
	start   siskinrill.ServerStart // of the server that must run the request
	sent    atomic.Bool            // the complete request was written
	written *written
	failed  atomic.Bool // ended because the server was marked as failed
	reused  atomic.Bool // the connection was used before
	gat     *gate
	ctx     context.Context
	cancel  context.CancelFunc
}

// Do runs an attempt under a grant; an error is a *siskinrill.Refusal, whose outcome is not_run only if no
// byte of the request was written or the server proved that it did not run.
func (cli *Client) Do(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
	ctx, cancel := withTimeout(ctx, att.Open())
	grt = limitStart(grt)
	rnn := &run{cli: cli, att: att, name: attemptName(att.Open()), bdy: newBody(att), gat: newGate(grt.Expires()), written: newWritten(), cancel: cancel}
	rnn.ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: rnn.gotConn, WroteRequest: rnn.wrote})
	rnn.tgt = cli.begin(rnn)
	if rnn.tgt == nil {
		cancel()
		return nil, cli.countRefusal(siskinrill.NotRun(siskinrill.ReasonBackendUnreachable))
	}
	cli.mtr.begin()
	ans, err := rnn.do(grt)
	if err != nil {
		rnn.end()
		return nil, cli.countRefusal(err)
	}
	return ans, nil
}

// limitStart limits the time in which a request may start to maxStartDelay. A server that freezes with a
// pending request must refuse it when it resumes, even within the lease, since its keys may have another
// owner by then.
func limitStart(grt siskinrill.Grant) siskinrill.Grant {
	if end := time.Now().Add(maxStartDelay); end.Before(grt.Expires()) {
		return siskinrill.NewGrant(grt.Shard(), end)
	}
	return grt
}

// countRefusal counts a refusal that originates in this package and returns it.
func (cli *Client) countRefusal(ref *siskinrill.Refusal) *siskinrill.Refusal {
	cli.cnt.Refused(ref.Reason())
	return ref
}

func withTimeout(ctx context.Context, opn *peerpb.Open) (context.Context, context.CancelFunc) {
	dur := time.Duration(opn.GetTimeoutMs()) * time.Millisecond
	if dur == 0 {
		dur = defaultTimeout
	}
	return context.WithTimeout(ctx, dur)
}

// gotConn notes whether the connection was used before, and attaches the gate of this request to it, before anything is written.
func (rnn *run) gotConn(inf httptrace.GotConnInfo) {
	rnn.reused.Store(inf.Reused)
	if con, ok := inf.Conn.(*conn); ok {
		con.attach(rnn.gat)
	}
}

func (rnn *run) wrote(inf httptrace.WroteRequestInfo) {
	if inf.Err == nil {
		rnn.sent.Store(true)
	}
	rnn.written.finish()
}

// end removes the request from those in flight; it is called once.
func (rnn *run) end() {
	rnn.cancel()
	rnn.cli.mtr.end()
	rnn.cli.end(rnn)
}

func (rnn *run) do(grt siskinrill.Grant) (*siskinrill.Answer, *siskinrill.Refusal) {
	req, err := newRequest(rnn, grt)
	if err != nil {
		return nil, siskinrill.NewRefusal(siskinrill.ReasonBadRequest, peerpb.Outcome_OUTCOME_NOT_RUN, err)
	}
	res, err := rnn.transport().RoundTrip(req)
	if err != nil {
		return nil, rnn.classifyFailure(err)
	}
	if ref := rnn.checkAttempt(res); ref != nil {
		return nil, ref
	}
	rnn.cli.mtr.answer(time.Since(rnn.gat.firstWrite()))
	ref := notRun(res)
	rnn.cli.readAdvice(rnn, res.Header, ref == nil)
	if ref != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBufferedAnswer)) // lets the connection be reused
		res.Body.Close()
		return nil, ref
	}
	return rnn.answer(res)
}

// transport returns the connections for this attempt. The server may have refused an earlier attempt of a retried request,
// and write that refusal once more on a connection that is kept.
func (rnn *run) transport() http.RoundTripper {
	if rnn.att.Open().GetRetry() {
		return rnn.tgt.retries
	}
	return rnn.tgt.transport
}

// serverFailed prevents the request from starting. If the server no longer answers, an idempotent request ends immediately, so
// that it can be retried elsewhere; any other that was started is left to the server until its deadline.
func (rnn *run) serverFailed(unanswered bool) {
	started, _ := rnn.gat.close()
	if !started || unanswered && rnn.att.Idempotent() {
		rnn.failed.Store(true)
		rnn.cancel()
	}
}

// callerFailed reports whether reading the body from the caller failed.
func (rnn *run) callerFailed() bool {
	sbd, ok := rnn.bdy.(*streamBody)
	return ok && sbd.failed.Load()
}

// classifyFailure returns the refusal for a failed exchange with the server.
func (rnn *run) classifyFailure(err error) *siskinrill.Refusal {
	started, expired := rnn.gat.close()
	if expired && !started {
		return siskinrill.NewRefusal(siskinrill.ReasonNoLease, peerpb.Outcome_OUTCOME_NOT_RUN, err)
	}
	if !started {
		return rnn.refuseUnwritten(err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		// net/http has lost the connection and sent the request again by itself.
		rnn.cli.fail(rnn.tgt, causeRefused)
	}
	var ine *httpanswer.InvalidError
	switch {
	case errors.As(err, &ine):
		rnn.cli.cnt.Event("backend_invalid_answer")
		rnn.cli.mtr.fail()
		return rnn.lost(siskinrill.ReasonBackendBadAnswer, err)
	case rnn.failed.Load():
		return rnn.lost(siskinrill.ReasonBackendLost, err)
	case rnn.callerFailed() || errors.Is(rnn.ctx.Err(), context.Canceled):
		return siskinrill.Unknown(siskinrill.ReasonCallerGone, err)
	case rnn.ctx.Err() != nil:
		if rnn.sent.Load() {
			rnn.cli.mtr.fail()
		}
		return siskinrill.Unknown(siskinrill.ReasonBackendTimeout, err)
	default:
		rnn.cli.mtr.fail()
		return rnn.lost(siskinrill.ReasonBackendLost, err)
	}
}

// lost returns the refusal for a run whose answer was lost, which may have crashed the server.
func (rnn *run) lost(rsn siskinrill.Reason, err error) *siskinrill.Refusal {
	rnn.cli.crashes.recordLost(rnn.att)
	return siskinrill.Unknown(rsn, err)
}

// refuseUnwritten returns the refusal for a request of which no byte was written; a refused connection also
// marks the server as failed.
func (rnn *run) refuseUnwritten(err error) *siskinrill.Refusal {
	rsn := siskinrill.ReasonBackendUnreachable
	switch {
	case rnn.failed.Load():
	case rnn.callerFailed() || errors.Is(rnn.ctx.Err(), context.Canceled):
		rsn = siskinrill.ReasonCallerGone
	case rnn.ctx.Err() != nil:
		rsn = siskinrill.ReasonBackendTimeout
	case errors.Is(err, syscall.ECONNREFUSED):
		rnn.cli.fail(rnn.tgt, causeRefused)
	case isDial(err):
		rnn.cli.mtr.fail()
	}
	return siskinrill.NewRefusal(rsn, peerpb.Outcome_OUTCOME_NOT_RUN, err)
}

// hasFreeSlots reports whether a load header states free slots and an empty queue.
func hasFreeSlots(load string) bool {
	running, waiting, slots := 0, 0, 0
	num, err := fmt.Sscanf(load, "%d,%d,%d", &running, &waiting, &slots)
	return err == nil && num == 3 && waiting == 0 && running < slots
}

func isDial(err error) bool {
	var ope *net.OpError
	return errors.As(err, &ope) && ope.Op == "dial"
}

// notRun returns the refusal if the answer proves that the backend server did not run the request, otherwise
// nil.
func notRun(res *http.Response) *siskinrill.Refusal {
	if res.Header.Get(siskinrill.HeaderNotRun) != "true" {
		return nil
	}
	rsn := siskinrill.ReasonBackendShed
	switch res.StatusCode {
	case http.StatusConflict, http.StatusPreconditionFailed, http.StatusMisdirectedRequest:
		rsn = siskinrill.ReasonBackendFenced
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if hasFreeSlots(res.Header.Get(siskinrill.HeaderLoad)) {
			rsn = siskinrill.ReasonBackendDeclined
		}
	default:
		return nil
	}
	return siskinrill.NotRun(rsn).WithRetryAfter(retryAfter(res.Header.Get("Retry-After")))
}

// retryAfter returns the wait that a backend server advises in seconds, 0 if it advises none or it is not valid.
func retryAfter(txt string) time.Duration {
	secs, err := strconv.ParseFloat(txt, 64)
	if err != nil || !(secs >= 0 && secs <= maxRetryAfter.Seconds()) {
		return 0
	}
	return time.Duration(secs * float64(time.Second))
}
