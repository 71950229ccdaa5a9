package actor

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// serverBuffer is the size of the buffer into which http.Server reads a connection. A read into a whole buffer proves that
	// no byte of an earlier read is left in it.
	serverBuffer = 4096
	// maxUnread limits the bytes of a connection that are read before their turn; more are left to the kernel.
	maxUnread = 16 << 10
	// maxAheadTotal limits the requests of a process that run ahead. Each takes about 30 KB besides its response, and an agent
	// has 184 MB.
	maxAheadTotal = 256
	// maxHeld and maxHeldTotal limit the response bytes of a connection and of a process that wait for their turn.
	maxHeld      = 256 << 10
	maxHeldTotal = 8 << 20
)

// parseAhead parses the head of a request that may run ahead; it returns nil if the request must wait for its turn, which
// includes every request that http.Server would refuse by itself and then close the connection.
func parseAhead(hea []byte) *http.Request {
	src := bytes.NewReader(hea)
	buf := bufio.NewReaderSize(src, len(hea))
	req, err := http.ReadRequest(buf)
	if err != nil || src.Len()+buf.Buffered() > 0 || !keepsOpen(req) {
		return nil
	}
	if req.URL.Host != "" || req.Host == "" || !httpguts.ValidHostHeader(req.Host) {
		return nil
	}
	for name, vals := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) || !valid(vals) {
			return nil
		}
	}
	return req
}

func valid(vals []string) bool {
	for _, val := range vals {
		if !httpguts.ValidHeaderFieldValue(val) {
			return false
		}
	}
	return true
}

// keepsOpen reports whether a request is a GET or HEAD without a body that does not ask for the end of the connection or for
// another protocol, so that requests may run beside it.
func keepsOpen(req *http.Request) bool {
	return (req.Method == http.MethodGet || req.Method == http.MethodHead) && req.ProtoMajor == 1 && req.ProtoMinor >= 1 &&
		req.ContentLength == 0 && len(req.TransferEncoding) == 0 && !mayClose(req) &&
		req.Header.Get("Upgrade") == "" && req.Header.Get("Expect") == ""
}

// mayClose reports whether http.Server may close the connection because of the request. For the response it also accepts
// "close" between spaces ("keep-alive close"), which Request.Close does not report.
func mayClose(req *http.Request) bool {
	return req.Close || strings.Contains(strings.ToLower(req.Header.Get("Connection")), "close")
}
