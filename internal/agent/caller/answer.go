package caller

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/egress"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// problem is the problem details object (RFC 9457) in the body of a refusal.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
}

const (
	problemPrefix = "urn:siskinrill:problem:"
	// defaultRetryAfter is advised where it is not known when a retry can succeed.
	defaultRetryAfter = time.Second
	copyBufferSize    = 16 << 10
)

var statuses = map[siskinrill.Reason]int{
	siskinrill.ReasonNoRoute:              http.StatusNotFound,
	siskinrill.ReasonMethodNotAllowed:     http.StatusMethodNotAllowed,
	siskinrill.ReasonBadRequest:           http.StatusBadRequest,
	siskinrill.ReasonBadKey:               http.StatusBadRequest,
	siskinrill.ReasonCallerGone:           http.StatusBadRequest,
	siskinrill.ReasonBodyTooLarge:         http.StatusRequestEntityTooLarge,
	siskinrill.ReasonHeadTooLarge:         http.StatusRequestHeaderFieldsTooLarge,
	siskinrill.ReasonIdempotencyKeyReused: http.StatusUnprocessableEntity,
	siskinrill.ReasonOutstandingLimit:     http.StatusTooManyRequests,
	siskinrill.ReasonDeadline:             http.StatusGatewayTimeout,
	siskinrill.ReasonDeadlineInQueue:      http.StatusGatewayTimeout,
	siskinrill.ReasonBackendTimeout:       http.StatusGatewayTimeout,
	siskinrill.ReasonConnectionLost:       http.StatusBadGateway,
	siskinrill.ReasonBackendLost:          http.StatusBadGateway,
	siskinrill.ReasonBackendBadAnswer:     http.StatusBadGateway,
	siskinrill.ReasonInternal:             http.StatusInternalServerError,
}

// statusOf returns the HTTP status of a refusal, 503 if a later request may succeed. Callers retry on 503 and
// 429, so a request that may have run gets 502 instead, and one that did not run never gets 502 or 504.
func statusOf(ref *siskinrill.Refusal) int {
	sts, ok := statuses[ref.Reason()]
	if !ok || ref.NotRun() && sts >= http.StatusInternalServerError {
		sts = http.StatusServiceUnavailable
	}
	if !ref.NotRun() && (sts == http.StatusServiceUnavailable || sts == http.StatusTooManyRequests) {
		return http.StatusBadGateway
	}
	return sts
}

// retryAfter returns the advised delay before a retry, zero if a retry cannot succeed or may run the request twice.
func retryAfter(ref *siskinrill.Refusal) time.Duration {
	if !ref.NotRun() {
		return 0
	}
	sts := statusOf(ref)
	if sts != http.StatusServiceUnavailable && sts != http.StatusTooManyRequests {
		return 0
	}
	return cmp.Or(ref.RetryAfter(), defaultRetryAfter)
}

func (han *Handler) refuse(wri http.ResponseWriter, req *http.Request, ref *siskinrill.Refusal) {
	rsn := ref.Reason()
	han.counters.Refused(rsn)
	if cause := ref.Unwrap(); cause != nil && han.opt.Logger.IsLevelEnabled(logrus.DebugLevel) {
		han.opt.Logger.Debugf("caller: %s %s refused: %v", req.Method, req.URL.Path, ref)
	}
	sts := statusOf(ref)
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/problem+json")
	hdr.Set(siskinrill.HeaderOutcome, siskinrill.OutcomeText(ref.Outcome()))
	if dur := retryAfter(ref); dur > 0 {
		hdr.Set(siskinrill.HeaderRetryAfter, dur.String())
		hdr.Set("Retry-After", strconv.FormatInt(int64((dur+time.Second-1)/time.Second), 10))
	}
	if rsn == siskinrill.ReasonMethodNotAllowed {
		hdr["Allow"] = han.allowedMethods(req)
	}
	bdy, _ := json.Marshal(problem{
		Type: problemPrefix + string(rsn), Title: http.StatusText(sts), Status: sts, Detail: detail(ref), Reason: string(rsn),
	})
	hdr.Set("Content-Length", strconv.Itoa(len(bdy)))
	wri.WriteHeader(sts)
	_, _ = wri.Write(bdy)
}

// detail describes a refusal to the caller; causes go only to the log because they contain internal addresses.
func detail(ref *siskinrill.Refusal) string {
	switch {
	case ref.Reason() == siskinrill.ReasonBadRequest && ref.Unwrap() != nil:
		return ref.Unwrap().Error()
	case ref.NotRun():
		return "The request was not run."
	default:
		return "The request may have run."
	}
}

// allowedMethods returns the methods that have a route for the path.
func (han *Handler) allowedMethods(req *http.Request) []string {
	var mets []string
	for _, met := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		if rte, _, _ := han.session.Match(req.Host, met, req.URL.EscapedPath()); rte != nil {
			mets = append(mets, met)
		}
	}
	return mets
}

// malformed reports whether an answer cannot be forwarded: its status is not final, or its body is shorter or
// longer than declared.
func malformed(method string, ans *siskinrill.Answer) bool {
	hea := ans.Head()
	if hea.GetStatus() < http.StatusOK || hea.GetStatus() > 599 {
		return true
	}
	got, declared := int64(len(hea.GetBody())), hea.GetBodyLength()
	if declared < 0 || bodyless(method, hea.GetStatus()) {
		return false
	}
	ended := hea.GetBodyEnd() || ans.Body() == nil
	return got > declared || (ended && got < declared)
}

// bodyless reports whether an answer has no body regardless of its declared length.
func bodyless(method string, sts uint32) bool {
	return method == http.MethodHead || sts == http.StatusNoContent || sts == http.StatusNotModified
}

var buffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferSize)
	return &buf
}}

// copyAnswer writes an answer to the caller; it aborts the connection if the answer is truncated, so that the
// caller cannot take it for complete.
func (cal *call) copyAnswer(wri http.ResponseWriter, ans *siskinrill.Answer) {
	han, req := cal.han, cal.req
	hea := ans.Head()
	hdr := wri.Header()
	copyAnswerHeaders(hdr, hea.GetHeaders())
	hdr.Set(siskinrill.HeaderOutcome, siskinrill.OutcomeText(peerpb.Outcome_OUTCOME_COMPLETE))
	length := hea.GetBodyLength()
	if hea.GetBodyEnd() {
		length = int64(len(hea.GetBody()))
	}
	if length >= 0 && !bodyless(req.Method, hea.GetStatus()) {
		hdr.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	wri.WriteHeader(int(hea.GetStatus()))
	out := &pacedWriter{Writer: wri, ctx: req.Context(), pacer: han.opt.Pacer}
	if len(hea.GetBody()) > 0 {
		_, _ = out.Write(hea.GetBody())
	}
	if ans.Body() == nil {
		cal.countDownload("download_complete")
		return
	}
	// A caller that stops reading must not hold the answer past the deadline; net/http applies this limit to
	// the next request too unless it is removed.
	ctl := http.NewResponseController(wri)
	_ = ctl.SetWriteDeadline(cal.deadline.Add(han.opt.Grace))
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	buf, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	if err := copyBody(out, ans.Body(), *buf, length-int64(len(hea.GetBody()))); err != nil {
		han.counters.Event(truncationEvent(err))
		cal.countDownload("download_cut")
		panic(http.ErrAbortHandler)
	}
	cal.countDownload("download_complete")
}

// countDownload counts how the answer to a download ended; other kinds are not counted.
func (cal *call) countDownload(event string) {
	if cal.route.GetKind() == controlpb.RequestKind_REQUEST_KIND_DOWNLOAD {
		cal.han.counters.Event(event)
	}
}

// pacedWriter writes an answer at the rate that the host's link allows.
type pacedWriter struct {
	io.Writer
	ctx   context.Context
	pacer *egress.Pacer
}

// Write writes a part of the answer when its turn has come.
func (pwr *pacedWriter) Write(buf []byte) (int, error) {
	total := 0
	for part := range slices.Chunk(buf, copyBufferSize) {
		if err := pwr.pacer.Wait(pwr.ctx, len(part)); err != nil {
			return total, err
		}
		num, err := pwr.Writer.Write(part)
		total += num
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// callerError is a failure to write an answer to the caller.
type callerError struct {
	cause error
}

// Error returns the cause, prefixed with the failed operation.
func (cer *callerError) Error() string { return "write to the caller: " + cer.cause.Error() }

// Unwrap returns the cause for errors.Is and errors.As.
func (cer *callerError) Unwrap() error { return cer.cause }

func truncationEvent(err error) string {
	cer := &callerError{}
	if errors.As(err, &cer) {
		return string(siskinrill.ReasonCallerGone)
	}
	return "answer_cut"
}

// copyBody copies the complete body; length is negative if unknown. A failed write returns a *callerError.
func copyBody(wri io.Writer, bdy io.Reader, buf []byte, length int64) error {
	total := int64(0)
	for {
		num, err := bdy.Read(buf)
		total += int64(num)
		if num > 0 {
			if _, wer := wri.Write(buf[:num]); wer != nil {
				return &callerError{cause: wer}
			}
		}
		// A truncated answer may wrap io.EOF as its cause; only the unwrapped one marks the end.
		if err == io.EOF && length >= 0 && total != length {
			return errors.Errorf("answer body has %d bytes, expected %d", total, length)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
