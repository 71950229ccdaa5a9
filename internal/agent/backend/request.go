package backend

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/headerfield"
	"github.com/siskinrill/siskinrill/internal/wire/hopheader"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
	"github.com/siskinrill/siskinrill/internal/wire/reqtarget"
)

// streamBody is a request body that is still being received from the caller.
type streamBody struct {
	io.Reader
	failed atomic.Bool
}

// Read reads from the caller and records a failure, which is not the backend server's.
func (sbd *streamBody) Read(buf []byte) (int, error) {
	num, err := sbd.Reader.Read(buf)
	if err != nil && err != io.EOF {
		sbd.failed.Store(true)
	}
	return num, err
}

// Close does nothing: the attempt's body belongs to the caller of Do.
func (sbd *streamBody) Close() error { return nil }

// newBody returns a body without GetBody, so that net/http does not retry the request by itself once a byte
// of it was written.
func newBody(att *siskinrill.Attempt) io.ReadCloser {
	opn := att.Open()
	switch {
	case !opn.GetBodyEnd() && att.Body() != nil:
		return &streamBody{Reader: io.MultiReader(bytes.NewReader(opn.GetBody()), att.Body())}
	case len(opn.GetBody()) == 0 && canUseNoBody(att):
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(opn.GetBody())) // net/http sends headers and body of this type in one write
	}
}

// canUseNoBody reports whether http.NoBody is safe: net/http retries a request with it depending on the
// method and an Idempotency-Key.
func canUseNoBody(att *siskinrill.Attempt) bool {
	opn := att.Open()
	if att.Idempotent() {
		return true
	}
	switch opn.GetMethod() {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	}
	for _, fld := range opn.GetHeaders() {
		if name := http.CanonicalHeaderKey(fld.GetName()); name == siskinrill.HeaderIdempotencyKey || name == "X-Idempotency-Key" {
			return false
		}
	}
	return opn.GetIdempotencyKey() == ""
}

// newRequest builds the HTTP request with its fencing headers and remaining timeout.
func newRequest(rnn *run, grt siskinrill.Grant) (*http.Request, error) {
	opn := rnn.att.Open()
	req, err := http.NewRequestWithContext(rnn.ctx, opn.GetMethod(), "", rnn.bdy)
	if err != nil {
		return nil, err
	}
	req.URL = reqtarget.URL(rnn.tgt.base, opn.GetTarget())
	req.ContentLength = contentLength(opn)
	copyFields(req.Header, opn.GetHeaders())
	if host := req.Header.Get(siskinrill.HeaderHost); host != "" {
		req.Host = host
		req.Header.Del(siskinrill.HeaderHost)
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "")
	}
	if opn.GetIdempotencyKey() != "" {
		req.Header.Set(siskinrill.HeaderIdempotencyKey, opn.GetIdempotencyKey())
	}
	setFence(req.Header, opn, grt)
	req.Header.Set(siskinrill.HeaderAttempt, rnn.name)
	req.Header.Set(siskinrill.HeaderUpstream, rnn.start.ID)
	if dln, ok := rnn.ctx.Deadline(); ok {
		req.Header.Set(siskinrill.HeaderTimeout, max(time.Until(dln), time.Millisecond).Round(time.Millisecond).String())
	}
	return req, nil
}

func setFence(hdr http.Header, opn *peerpb.Open, grt siskinrill.Grant) {
	hdr.Set(siskinrill.HeaderFenceToken, strconv.FormatUint(grt.Shard().GetToken(), 10))
	hdr.Set(siskinrill.HeaderFencePartition, fencePartition(grt.Shard()))
	hdr.Set(siskinrill.HeaderFenceExpires, strconv.FormatInt(grt.Expires().UnixMilli(), 10))
	hdr.Set(siskinrill.HeaderKey, opn.GetKey())
}

// attemptName returns the attempt id as the backend server gets it.
func attemptName(opn *peerpb.Open) string {
	idt := opn.GetAttempt()
	return strconv.FormatUint(idt.GetEntrySession(), 10) + "-" + strconv.FormatUint(idt.GetCounter(), 10)
}

// contentLength returns the length to declare; 0 means unknown unless there is no body.
func contentLength(opn *peerpb.Open) int64 {
	if opn.GetBodyEnd() {
		return int64(len(opn.GetBody()))
	}
	return max(opn.GetBodyLength(), 0)
}

func copyFields(hdr http.Header, fields []*peerpb.HeaderField) {
	for _, fld := range fields {
		name := http.CanonicalHeaderKey(fld.GetName())
		hdr[name] = append(hdr[name], headerfield.Values(fld)...)
	}
	hopheader.Drop(hdr)
}

// headerFields converts the headers of an answer, without those of the connection.
func headerFields(hdr http.Header) []*peerpb.HeaderField {
	hopheader.Drop(hdr)
	fields := make([]*peerpb.HeaderField, 0, len(hdr))
	for name, vals := range hdr {
		fld := &peerpb.HeaderField{}
		headerfield.Set(fld, name, vals)
		fields = append(fields, fld)
	}
	return fields
}
