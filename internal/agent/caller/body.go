package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/wire/chunk"
)

// Bodies up to this length are buffered completely, so that an attempt can be repeated.
const maxBufferedBody = 64 << 10

// After a refusal in the middle of a body, at most this much more is read before the connection is closed.
const maxLingerBytes = 256 << 10

// body is the body of a caller's request: a buffered prefix, and a rest that can be read once.
type body struct {
	prefix        []byte
	complete      bool // prefix is the entire body
	length        int64
	rest          *rest
	attemptReader *attemptReader // of the latest attempt
}

// rest is the unbuffered remainder of a body; only one attempt may read it.
type rest struct {
	mu     sync.Mutex // held during reads, so that discard waits for the attempt
	rdr    io.Reader
	closed bool // the handler is about to return
	ended  atomic.Bool
	failed atomic.Pointer[error]
}

// States of an attemptReader.
const (
	readerUnused int32 = iota
	readerStarted
	readerRevoked
)

// attemptReader gives one attempt access to the rest of the body. It is revoked before the next attempt gets
// one, because a failed attempt may still hold it.
type attemptReader struct {
	rest  *rest
	state atomic.Int32
}

// Read reads from the caller's connection, and fails if the reader was revoked before its first call.
func (rdr *attemptReader) Read(buf []byte) (int, error) {
	if !rdr.state.CompareAndSwap(readerUnused, readerStarted) && rdr.state.Load() == readerRevoked {
		return 0, errors.New("request body reader was revoked before the attempt used it")
	}
	return rdr.rest.read(buf)
}

func (rst *rest) read(buf []byte) (int, error) {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	if rst.closed {
		return 0, errors.New("request body is closed: the request has ended")
	}
	num, err := rst.rdr.Read(buf)
	if err == io.EOF {
		rst.ended.Store(true)
	} else if err != nil {
		rst.failed.Store(&err)
	}
	return num, err
}

// discard reads up to the end of the body, the limit or an error; attempts cannot read afterwards.
func (rst *rest) discard() error {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	rst.closed = true
	_, err := io.CopyN(io.Discard, rst.rdr, maxLingerBytes)
	return err
}

// revoke disables an unused reader and reports whether nothing was read through it.
func (rdr *attemptReader) revoke() bool {
	return rdr.state.CompareAndSwap(readerUnused, readerRevoked) || rdr.state.Load() == readerRevoked
}

// readBody buffers the first part of a body; the error may be a *http.MaxBytesError.
func readBody(wri http.ResponseWriter, req *http.Request, limit int64) (*body, error) {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return &body{complete: true}, nil
	}
	if req.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	rdr := http.MaxBytesReader(wri, req.Body, limit)
	prefix, complete, err := readPrefix(rdr, req.ContentLength)
	if err != nil {
		return nil, err
	}
	bdy := &body{prefix: prefix, complete: complete, length: req.ContentLength}
	if complete {
		bdy.length = int64(len(prefix))
		return bdy, nil
	}
	bdy.rest = &rest{rdr: rdr}
	return bdy, nil
}

// readPrefix reads up to maxBufferedBody bytes and reports whether the body ended there.
func readPrefix(rdr io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= maxBufferedBody {
		buf := make([]byte, length)
		if _, err := io.ReadFull(rdr, buf); err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
		return buf, true, nil
	}
	buf := make([]byte, maxBufferedBody)
	num, err := chunk.Fill(rdr, buf)
	if err == io.EOF {
		return buf[:num], true, nil
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "read body")
	}
	return buf, false, nil
}

// prepareResend revokes the reader of the last attempt and reports whether another attempt can send the complete body.
func (bdy *body) prepareResend() bool {
	return bdy.rest == nil || bdy.attemptReader == nil || bdy.attemptReader.revoke()
}

// readError returns why the caller's body could not be read, nil if there was no error.
func (bdy *body) readError() error {
	if bdy.rest == nil {
		return nil
	}
	if err := bdy.rest.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// newAttemptReader returns a reader of the rest for a new attempt, nil if the body is fully buffered.
func (bdy *body) newAttemptReader() io.Reader {
	if bdy.rest == nil {
		return nil
	}
	bdy.attemptReader = &attemptReader{rest: bdy.rest}
	return bdy.attemptReader
}

// unread reports whether the caller's connection may still contain bytes of the body.
func (bdy *body) unread() bool { return bdy.rest != nil && !bdy.rest.ended.Load() }

// linger flushes the answer and reads the rest of the body for up to grace, so that the caller receives the
// answer before a reset; it reports whether the connection must be closed. It also waits for an attempt that is
// still reading: otherwise net/http would remove the read deadline and wait forever.
func (bdy *body) linger(wri http.ResponseWriter, grace time.Duration) bool {
	if !bdy.unread() {
		return false
	}
	ctl := http.NewResponseController(wri)
	_ = ctl.Flush()
	_ = ctl.SetReadDeadline(time.Now().Add(grace))
	return bdy.rest.discard() != io.EOF
}
