package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// Bodies up to this length are buffered completely, so that an attempt can be repeated.
const maxBufferedBody = 64 << 10

// errNoBodyMemory means that the bodies of other requests have taken the memory that is left for them.
var errNoBodyMemory = errors.New("no memory is left for the body")

// firstBuffer is the size in bytes of the buffer for a body of which nothing has arrived.
const firstBuffer = 4 << 10

// After a refusal in the middle of a body, at most this much more is read before the connection is closed.
const maxLingerBytes = 256 << 10

// body is the body of a caller's request: a buffered prefix, and a rest that can be read once.
type body struct {
	prefix        []byte
	complete      bool // prefix is the entire body
	length        int64
	held          int64 // memory for the prefix, in bytes
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
	bdy := &body{length: req.ContentLength}
	if err := bdy.readPrefix(rdr); err != nil {
		bdy.release()
		return nil, err
	}
	if bdy.complete {
		bdy.length = int64(len(bdy.prefix))
		return bdy, nil
	}
	bdy.rest = &rest{rdr: rdr}
	return bdy, nil
}

// readPrefix reads up to maxBufferedBody bytes.
func (bdy *body) readPrefix(rdr io.Reader) error {
	known := bdy.length >= 0 && bdy.length <= maxBufferedBody
	limit := maxBufferedBody
	if known {
		limit = int(bdy.length)
	}
	err := bdy.fillPrefix(rdr, limit)
	if known && err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	bdy.complete = known || err == io.EOF
	if err != nil && err != io.EOF {
		return errors.Wrap(err, "read body")
	}
	return nil
}

// fillPrefix reads up to limit bytes. The buffer grows with what has arrived, since callers may announce more than they send. The error is
// io.EOF if there are fewer bytes, and errNoBodyMemory if no memory is left.
func (bdy *body) fillPrefix(rdr io.Reader, limit int) error {
	bdy.prefix = make([]byte, 0, min(limit, firstBuffer))
	for len(bdy.prefix) < limit {
		if len(bdy.prefix) == cap(bdy.prefix) && !bdy.grow(limit) {
			return errNoBodyMemory
		}
		num, err := rdr.Read(bdy.prefix[len(bdy.prefix):cap(bdy.prefix)])
		bdy.prefix = bdy.prefix[:len(bdy.prefix)+num]
		if err != nil && len(bdy.prefix) < limit {
			return err
		}
	}
	return nil
}

// grow makes the buffer larger if there is memory for it.
func (bdy *body) grow(limit int) bool {
	size := min(limit, 4*cap(bdy.prefix))
	more := int64(size) - bdy.held
	if !ingress.CallerBodies().Take(more) {
		return false
	}
	bdy.held += more
	bdy.prefix = append(make([]byte, 0, size), bdy.prefix...)
	return true
}

// release gives back the memory for the prefix.
func (bdy *body) release() {
	ingress.CallerBodies().Return(bdy.held)
	bdy.held = 0
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
