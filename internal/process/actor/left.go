package actor

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
)

// eventLeft counts a request that was read after its caller had closed the connection.
const eventLeft = "caller_left_unread"

// cancelIfLeft returns the request with a context that is cancelled if its caller has left by now, or by the end of its body.
// http.Server notices that only beside the handler, so that a request that was read late would be started for nobody.
func (cns *connections) cancelIfLeft(req *http.Request) *http.Request {
	cnn, ok := req.Context().Value(connectionKey{}).(leavable)
	if !ok {
		return req
	}
	left := cnn.hasLeft()
	if !left && req.ContentLength == 0 {
		return req
	}
	ctx, cancel := context.WithCancel(req.Context())
	req = req.WithContext(ctx)
	leave := func() {
		cns.event(eventLeft)
		cancel()
	}
	if left {
		leave()
		return req
	}
	req.Body = &watchedBody{ReadCloser: req.Body, conn: cnn, leave: leave}
	return req
}

// leavable is a connection that knows whether its caller has closed it.
type leavable interface {
	hasLeft() bool
}

// watchedBody calls leave if the caller has left when the body is complete.
type watchedBody struct {
	io.ReadCloser
	conn  leavable
	leave func()
}

// Read reads from the body.
func (wbd *watchedBody) Read(buf []byte) (int, error) {
	num, err := wbd.ReadCloser.Read(buf)
	if err == io.EOF && wbd.leave != nil {
		if wbd.conn.hasLeft() {
			wbd.leave()
		}
		wbd.leave = nil
	}
	return num, err
}

func (trc *trackedConn) hasLeft() bool {
	if trc.pipeline != nil {
		return trc.pipeline.hasLeft()
	}
	return peekEnd(trc.Conn)
}

func (vcn *virtualConn) hasLeft() bool { return vcn.pip.hasLeft() }

// hasLeft reports whether the caller has closed the connection; none of its requests is started from then on.
func (pip *pipeline) hasLeft() bool {
	pip.mu.Lock()
	defer pip.mu.Unlock()
	return pip.checkLeft()
}

// checkLeft does the same while the lock is held.
func (pip *pipeline) checkLeft() bool {
	if pip.readErr == nil && peekEnd(pip.conn) {
		pip.readErr = io.EOF
		pip.cond.Broadcast()
	}
	return pip.readErr != nil
}

// peekEnd reports whether a connection has no unread bytes and was closed or reset by its peer.
func peekEnd(cnn net.Conn) bool {
	sys, ok := cnn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	_ = raw.Control(func(fd uintptr) {
		var buf [1]byte
		num, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = num == 0 && err == nil || err == syscall.ECONNRESET
	})
	return ended
}
