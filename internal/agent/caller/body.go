package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// A body up to this length is held, so that an attempt can be repeated.
const maxBufferedBody = 64 << 10

// A caller that is refused in the middle of a body may send this much more before its connection is closed.
const maxLingerBytes = 256 << 10

// body is the body of a caller's request: a first part that is held, and the rest that can be read once.
type body struct {
	prefix        []byte
	complete      bool // first is all of it
	length        int64
	rest          *rest
	attemptReader *attemptReader // of the newest attempt
}

// rest is what follows the held part; one attempt may read it.
type rest struct {
	mu     sync.Mutex // held while reading, so that lingering waits for the attempt
	rdr    io.Reader
	closed bool // the handler is about to return
	ended  atomic.Bool
	failed atomic.Pointer[error]
}

// States of a turn.
const (
	readerUnused int32 = iota
	readerStarted
	readerRevoked
)

// attemptReader is the reader of one attempt. An attempt that has failed may still hold it, so that it is revoked before the next one gets a turn.
type attemptReader struct {
	rest  *rest
	state atomic.Int32
}

// Read reads from the caller's connection unless the turn was revoked before its first call.
func (rdr *attemptReader) Read(buf []byte) (int, error) {
	if !rdr.state.CompareAndSwap(readerUnused, readerStarted) && rdr.state.Load() == readerRevoked {
		return 0, errors.New("the attempt is over")
	}
	return rdr.rest.read(buf)
}

func (rst *rest) read(buf []byte) (int, error) {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	if rst.closed {
		return 0, errors.New("the request is over")
	}
	num, err := rst.rdr.Read(buf)
	if err == io.EOF {
		rst.ended.Store(true)
	} else if err != nil {
		rst.failed.Store(&err)
	}
	return num, err
}

// discard reads on until the end of the body, a limit or an error, and lets no attempt read after that.
func (rst *rest) discard() error {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	rst.closed = true
	_, err := io.CopyN(io.Discard, rst.rdr, maxLingerBytes)
	return err
}

// revoke ends a turn and reports whether nothing was read in it.
func (rdr *attemptReader) revoke() bool {
	return rdr.state.CompareAndSwap(readerUnused, readerRevoked) || rdr.state.Load() == readerRevoked
}

// readBody holds the first part of a body; an error may be a *http.MaxBytesError.
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

// readPrefix reads up to heldBody bytes and reports whether the body ended there.
func readPrefix(rdr io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= maxBufferedBody {
		buf := make([]byte, length)
		if _, err := io.ReadFull(rdr, buf); err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
		return buf, true, nil
	}
	buf := make([]byte, maxBufferedBody)
	num, err := fill(rdr, buf)
	if err == io.EOF {
		return buf[:num], true, nil
	}
	if err != nil {
		return nil, false, errors.Wrap(err, "read body")
	}
	return buf, false, nil
}

// fill reads until buf is full or the reader fails; unlike io.ReadFull it keeps io.EOF apart from the io.ErrUnexpectedEOF of a cut body.
func fill(rdr io.Reader, buf []byte) (int, error) {
	num := 0
	for num < len(buf) {
		got, err := rdr.Read(buf[num:])
		num += got
		if err != nil {
			return num, err
		}
	}
	return num, nil
}

// prepareResend revokes the turn of the last attempt and reports whether a further one can send the whole body.
func (bdy *body) prepareResend() bool {
	return bdy.rest == nil || bdy.attemptReader == nil || bdy.attemptReader.revoke()
}

// readError returns why the caller's body could not be read, nil if it could.
func (bdy *body) readError() error {
	if bdy.rest == nil {
		return nil
	}
	if err := bdy.rest.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// newAttemptReader returns the rest as the reader of a new attempt, nil if there is none.
func (bdy *body) newAttemptReader() io.Reader {
	if bdy.rest == nil {
		return nil
	}
	bdy.attemptReader = &attemptReader{rest: bdy.rest}
	return bdy.attemptReader
}

// unread reports whether bytes of the body may still be on the caller's connection.
func (bdy *body) unread() bool { return bdy.rest != nil && !bdy.rest.ended.Load() }

// linger reads what the caller still sends for a while, so that it is not reset before it has the answer, and reports whether the connection has to be closed. It also outlasts an attempt that waits for the body: net/http would remove the read deadline while one does, and wait for ever.
func (bdy *body) linger(wri http.ResponseWriter, grace time.Duration) bool {
	if !bdy.unread() {
		return false
	}
	ctl := http.NewResponseController(wri)
	_ = ctl.Flush()
	_ = ctl.SetReadDeadline(time.Now().Add(grace))
	return bdy.rest.discard() != io.EOF
}
