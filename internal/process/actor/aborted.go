package actor

import (
	"bytes"
	"io"
	"net"
	"net/http"
)

// recorder keeps a response in memory.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header returns the headers of the response.
func (rec *recorder) Header() http.Header { return rec.header }

// WriteHeader keeps the status.
func (rec *recorder) WriteHeader(sts int) { rec.status = sts }

// Write keeps a part of the body.
func (rec *recorder) Write(buf []byte) (int, error) { return rec.body.Write(buf) }

// record returns the whole response of a handler in the format of HTTP/1.1.
func record(hdl http.Handler, req *http.Request) []byte { return encode(recordedResponse(hdl, req)) }

// recordedResponse returns the whole response of a handler.
func recordedResponse(hdl http.Handler, req *http.Request) *http.Response {
	rec := &recorder{status: http.StatusOK, header: http.Header{}}
	hdl.ServeHTTP(rec, req)
	return &http.Response{
		StatusCode: rec.status, ProtoMajor: 1, ProtoMinor: 1, Header: rec.header, Request: req,
		Body: io.NopCloser(&rec.body), ContentLength: int64(rec.body.Len()),
	}
}

// encode returns a response in the format of HTTP/1.1.
func encode(rsp *http.Response) []byte {
	var out bytes.Buffer
	_ = rsp.Write(&out)
	return out.Bytes()
}

// replaceAborted replaces the response of a handler that aborts, if none of its bytes were written and requests behind it
// were started: a cut connection would cost these their answers.
func (cns *connections) replaceAborted(cnn net.Conn, req *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	switch cnn := cnn.(type) {
	case *trackedConn:
		cnn.pipeline.replaceOwn(cns.pipelining.Aborted, req)
	case *virtualConn:
		cnn.replace(cns.pipelining.Aborted, req)
	}
	panic(cause)
}

// replace replaces a response of which no byte is written; otherwise nothing is started behind it any more.
func (vcn *virtualConn) replace(hdl http.Handler, req *http.Request) {
	pip := vcn.pip
	pip.mu.Lock()
	defer pip.mu.Unlock()
	if hdl == nil || vcn.written || vcn.finished || pip.broken || pip.queue[len(pip.queue)-1] == vcn {
		pip.closing = true
		return
	}
	rsp := record(hdl, req)
	pip.release(len(vcn.response) - len(rsp))
	vcn.response = rsp
	vcn.finished, vcn.complete = true, true
	pip.cns.event(eventReplaced)
	pip.advance()
}

// replaceOwn replaces the response to the connection's own request. http.Server closes the connection then, which is delayed
// until the requests that run ahead are answered.
func (pip *pipeline) replaceOwn(hdl http.Handler, req *http.Request) {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.closing = true
	if hdl == nil || len(pip.queue) == 0 || pip.written || pip.closed || pip.readErr != nil {
		return
	}
	pip.detached = true
	rsp := record(hdl, req)
	pip.release(-len(rsp))
	pip.cns.event(eventReplaced)
	pip.flush(&virtualConn{response: rsp})
	pip.phase = phaseIdle
	pip.advance()
}

// mayWrite reports whether http.Server may write to the connection, and records that it does.
func (pip *pipeline) mayWrite() bool {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	pip.written = !pip.detached
	return pip.written
}

// closeWhenAnswered closes the connection once the requests that run ahead are answered.
func (pip *pipeline) closeWhenAnswered() {
	defer pip.cns.lingering.Add(-1) // A stop waits for the close, which may linger in turn.
	pip.mu.Lock()
	for pip.outstanding() {
		pip.awaitAnswers()
	}
	pip.mu.Unlock()
	_ = pip.trc.Close()
}
