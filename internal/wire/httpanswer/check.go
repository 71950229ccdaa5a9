package httpanswer

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Statuses of final answers.
const (
	minStatus = 200
	maxStatus = 599
)

// InvalidError means that what arrived is no answer of HTTP/1.1, so that neither its head nor its body can be relied on.
type InvalidError struct {
	fault string
}

// Error returns the fault.
func (ine *InvalidError) Error() string { return "no valid answer of HTTP/1.1: " + ine.fault }

func invalid(format string, args ...any) error {
	return &InvalidError{fault: fmt.Sprintf(format, args...)}
}

// Check returns an *InvalidError for an answer whose head is not valid.
func Check(res *http.Response) error {
	if res.ProtoMajor != 1 {
		return invalid("version %s", res.Proto)
	}
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		return invalid("status %03d", res.StatusCode)
	}
	if !res.ProtoAtLeast(1, 1) && IsUnframed(res) {
		// net/http takes chunks in such an answer for its body.
		return invalid("version %s without a content length", res.Proto)
	}
	return checkFields(res.Header)
}

// IsUnframed reports whether the end of an answer is marked only by the end of its connection.
func IsUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}

func checkFields(hdr http.Header) error {
	for name, vals := range hdr {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid("the name of field %q", name)
		}
		for _, val := range vals {
			if !httpguts.ValidHeaderFieldValue(val) {
				return invalid("the value of field %s", name)
			}
		}
	}
	return nil
}

// transport checks the answers of another one.
type transport struct {
	next   http.RoundTripper
	framed bool // an unframed answer is not valid
}

// Transport returns a transport that closes answers which are not valid and returns an *InvalidError for them.
func Transport(next http.RoundTripper) http.RoundTripper { return &transport{next: next} }

// FramedTransport does the same, and refuses an answer that ends with its connection, which may be cut.
func FramedTransport(next http.RoundTripper) http.RoundTripper {
	return &transport{next: next, framed: true}
}

// RoundTrip sends a request and checks its answer.
func (trn *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := trn.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	err = Check(res)
	if err == nil && trn.framed && IsUnframed(res) {
		err = invalid("neither a content length nor chunked encoding")
	}
	if err != nil {
		_ = res.Body.Close()
		trn.CloseIdleConnections() // further answers on them may be out of step with their requests
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (trn *transport) CloseIdleConnections() {
	if pool, ok := trn.next.(interface{ CloseIdleConnections() }); ok {
		pool.CloseIdleConnections()
	}
}
