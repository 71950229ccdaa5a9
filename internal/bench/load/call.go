package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/httpanswer"
)

// Outcomes of a call: the values of the Siskinrill-Outcome header, and two for calls without an answer.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
	outcomeNoAnswer = "no_answer" // no valid answer: connection closed, answer truncated, or header missing
	outcomeNotSent  = "not_sent"  // Options.MaxOutstanding was reached
)

// call is one request and its result as its caller sees it.
type call struct {
	plan        *plan
	intendedAt  time.Time // intended send time, from which latency counts even if sending was delayed
	endedAt     time.Time
	outcome     string
	status      int
	reason      string
	upstream    string
	bodyHash    string
	answerFault string // why the answer itself breaks a promise; empty if it does not
	resends     int
}

func (cal *call) latency() time.Duration { return cal.endedAt.Sub(cal.intendedAt) }

// served reports whether the caller got a complete answer from a backend server, with a status under 500.
func (cal *call) served() bool { return cal.outcome == outcomeComplete && cal.status < 500 }

// answerFields is the part of a stand-in's answer that the caller checks.
type answerFields struct {
	Upstream  string `json:"upstream"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Padding   string `json:"padding"`
}

type sender struct {
	opt       *Options
	client    *http.Client
	pipelines *pipelines
}

func newSender(opt *Options) *sender {
	trn := &http.Transport{
		MaxIdleConnsPerHost: 512,
		MaxConnsPerHost:     0,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	pls := &pipelines{depth: opt.Pipeline, conns: map[string][]*pipelinedConn{}}
	return &sender{opt: opt, client: &http.Client{Transport: httpanswer.Transport(trn)}, pipelines: pls}
}

// send sends one request and records its result in cal.
func (snd *sender) send(ctx context.Context, cal *call, base string) {
	time.Sleep(snd.opt.ClientDelay)
	ctx, cancel := context.WithTimeout(ctx, snd.opt.Timeout+time.Second)
	defer cancel()
	rsp, err := snd.do(ctx, cal, base)
	if err != nil {
		cal.outcome = outcomeNoAnswer
		cal.reason = "transport"
	} else {
		snd.readAnswer(cal, rsp)
	}
	time.Sleep(snd.opt.ClientDelay)
	cal.endedAt = time.Now()
}

func (snd *sender) do(ctx context.Context, cal *call, base string) (*http.Response, error) {
	pln := cal.plan
	bdy := pln.body(snd.opt.UploadBytes)
	url := fmt.Sprintf("%s%s?size=%d", base, pln.path(), snd.opt.AnswerBytes)
	req, err := http.NewRequestWithContext(ctx, pln.class.method, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if len(bdy) > 0 {
		sum := sha256.Sum256(bdy)
		cal.bodyHash = hex.EncodeToString(sum[:])
		// Without GetBody, net/http cannot resend the request by itself.
		req.Body = io.NopCloser(bytes.NewReader(bdy))
		req.ContentLength = int64(len(bdy))
	}
	req.Header.Set("X-Request-Id", pln.id)
	req.Header.Set(siskinrill.HeaderTimeout, snd.opt.Timeout.String())
	if pln.class.kind == kindNonIdempotent {
		req.Header.Set(siskinrill.HeaderIdempotencyKey, pln.id)
	}
	if pln.direct {
		setFenceHeaders(req, pln.key)
	}
	if snd.opt.Pipeline > 0 && pln.class.kind == kindIdempotent && !pln.direct {
		return snd.pipelines.do(req, &cal.resends)
	}
	return snd.client.Do(req)
}

// setFenceHeaders sets the key and fence headers that an agent would set, since a stand-in may refuse requests
// without them.
func setFenceHeaders(req *http.Request, key string) {
	req.Header.Set(siskinrill.HeaderKey, key)
	req.Header.Set(siskinrill.HeaderFencePartition, "direct/0")
	req.Header.Set(siskinrill.HeaderFenceToken, "1")
	req.Header.Set(siskinrill.HeaderFenceExpires, strconv.FormatInt(time.Now().Add(time.Hour).UnixMilli(), 10))
}

func (snd *sender) readAnswer(cal *call, rsp *http.Response) {
	defer rsp.Body.Close()
	cal.status = rsp.StatusCode
	cal.outcome = rsp.Header.Get(siskinrill.HeaderOutcome)
	bdy, err := io.ReadAll(rsp.Body)
	if err != nil {
		cal.outcome = outcomeNoAnswer
		cal.reason = "cut"
		return
	}
	if cal.plan.direct {
		cal.outcome = directOutcome(rsp.StatusCode)
	}
	switch cal.outcome {
	case outcomeComplete:
		snd.checkAnswer(cal, bdy)
	case outcomeNotRun, outcomeUnknown:
		cal.reason = problemReason(bdy)
	default:
		cal.answerFault = "answer without a valid " + siskinrill.HeaderOutcome
		cal.outcome = outcomeNoAnswer
	}
}

func directOutcome(sts int) string {
	if sts == http.StatusOK {
		return outcomeComplete
	}
	return outcomeNotRun
}

// checkAnswer detects the answer to another request, and a truncated answer that is marked complete.
func (snd *sender) checkAnswer(cal *call, bdy []byte) {
	if cal.status != http.StatusOK {
		return
	}
	var ech answerFields
	if err := json.Unmarshal(bdy, &ech); err != nil {
		cal.answerFault = "truncated answer marked complete"
		return
	}
	cal.upstream = ech.Upstream
	switch {
	case ech.RequestID != cal.plan.id:
		cal.answerFault = "answer of request " + ech.RequestID
	case ech.Key != cal.plan.key:
		cal.answerFault = "answer for key " + ech.Key
	case len(ech.Padding) != snd.opt.AnswerBytes:
		cal.answerFault = fmt.Sprintf("answer with %d of %d bytes of padding", len(ech.Padding), snd.opt.AnswerBytes)
	}
}

func problemReason(bdy []byte) string {
	var pro struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(bdy, &pro); err != nil || pro.Reason == "" {
		return "no_reason"
	}
	return pro.Reason
}
