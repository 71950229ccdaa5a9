package actor

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

const (
	// eventInvalid counts a request that http.Server has refused by itself, since it is none of HTTP/1.1.
	eventInvalid = "head_invalid"
	// refusalTimeout limits the write of a refusal.
	refusalTimeout = time.Second
	// refusalLogInterval is the shortest time between two log lines about refusals.
	refusalLogInterval = 10 * time.Second
	// maxLingerBytes limits what is read of a refused caller, so that it can read the answer before the connection ends.
	maxLingerBytes = 256 << 10
)

// countHead counts bytes of a head that were read; it returns a refusal if the head is over a limit.
func (trc *trackedConn) countHead(dat []byte) *ingress.HeadError {
	var hee *ingress.HeadError
	if err := trc.head.Add(dat, trc.cns.limits.head()); errors.As(err, &hee) {
		return hee
	}
	return nil
}

// refuse answers in place of http.Server, which has not parsed the head and drops the connection then.
func (trc *trackedConn) refuse(hee *ingress.HeadError) {
	trc.head.Reset()
	trc.cns.event(hee.Reason())
	trc.cns.refusals.log(hee.Reason(), hee.Error(), trc.RemoteAddr().String())
	trc.cns.recordRefused(trc)
	trc.refused = true
	if trc.pipeline != nil {
		trc.pipeline.lingerAtClose()
	}
	_ = trc.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = trc.Conn.Write(refusal(trc.cns.limits.Refusal(hee)))
}

// recordInvalid records that http.Server answers by itself, since what it has read is no valid request.
func (trc *trackedConn) recordInvalid() {
	trc.handled = true // once for each request
	trc.cns.event(eventInvalid)
	trc.cns.refusals.log(eventInvalid, "no valid request", trc.RemoteAddr().String())
}

// refusal returns the answer of a handler to a request that was not read, after which the connection ends.
func refusal(hdl http.Handler) []byte {
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
	rsp := recordedResponse(hdl, req)
	rsp.Close = true
	return encode(rsp)
}

// refuseAsText returns a handler that answers a request whose head was refused with a line of text.
func refuseAsText(hee *ingress.HeadError) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		if hee.Status() == http.StatusServiceUnavailable {
			wri.Header().Set("Retry-After", "1")
		}
		http.Error(wri, hee.Reason(), hee.Status())
	})
}

// recordRefused records that no request is to be served on a connection.
func (cns *connections) recordRefused(trc *trackedConn) {
	cns.mu.Lock()
	defer cns.mu.Unlock()
	delete(cns.unserved, trc)
}

// closeLingering closes the sending side and, once the caller has had time to read the answer, the connection; it returns false if
// that is not possible.
func (trc *trackedConn) closeLingering() bool {
	half, ok := trc.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return false
	}
	trc.cns.lingering.Add(1)
	go trc.linger()
	return true
}

func (trc *trackedConn) linger() {
	defer trc.cns.lingering.Add(-1)
	_ = trc.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	if trc.refused {
		_, _ = io.CopyN(io.Discard, trc.Conn, maxLingerBytes)
	} else {
		_, _ = io.Copy(io.Discard, trc.Conn)
	}
	_ = trc.Conn.Close()
}

// refusalLog logs refusals at a limited rate.
type refusalLog struct {
	mu    sync.Mutex
	last  time.Time
	since int // refusals that were not logged since then
}

func (rlg *refusalLog) log(rsn, detail, caller string) {
	rlg.mu.Lock()
	defer rlg.mu.Unlock()
	rlg.since++
	if time.Since(rlg.last) < refusalLogInterval {
		return
	}
	logrus.WithFields(logrus.Fields{"reason": rsn, "caller": caller, "refused": rlg.since}).Warn("actor: Requests were refused before they were read: " + detail)
	rlg.last, rlg.since = time.Now(), 0
}
