package caller

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// A body up to this length is held, so that an attempt can be repeated.
const heldBody = 64 << 10

// body is the body of a caller's request: a first part that is held, and the rest that can be read once.
type body struct {
	first  []byte
	whole  bool // first is all of it
	length int64
	rest   *rest
}

// rest reads what follows the held part and knows whether that began.
type rest struct {
	mu     sync.Mutex
	rdr    io.Reader
	begun  atomic.Bool
	failed atomic.Pointer[error]
}

// Read reads from the caller's connection.
func (rst *rest) Read(buf []byte) (int, error) {
	rst.begun.Store(true)
	rst.mu.Lock()
	defer rst.mu.Unlock()
	num, err := rst.rdr.Read(buf)
	if err != nil && err != io.EOF {
		rst.failed.Store(&err)
	}
	return num, err
}

// readBody holds the first part of a body; an error may be a *http.MaxBytesError.
func readBody(wri http.ResponseWriter, req *http.Request, limit int64) (*body, error) {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return &body{whole: true}, nil
	}
	if req.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	rdr := http.MaxBytesReader(wri, req.Body, limit)
	first, whole, err := readFirst(rdr, req.ContentLength)
	if err != nil {
		return nil, err
	}
	bdy := &body{first: first, whole: whole, length: req.ContentLength}
	if whole {
		bdy.length = int64(len(first))
		return bdy, nil
	}
	bdy.rest = &rest{rdr: rdr}
	return bdy, nil
}

// readFirst reads up to heldBody bytes and reports whether the body ended there.
func readFirst(rdr io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= heldBody {
		buf := make([]byte, length)
		if _, err := io.ReadFull(rdr, buf); err != nil {
			return nil, false, errors.Wrap(err, "read body")
		}
		return buf, true, nil
	}
	buf := make([]byte, heldBody)
	num, err := fill(rdr, buf)
	if err == io.EOF {
		return buf[:num], true, nil
	}
	// errors.Wrap turns nil into an error.
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

// repeatable reports whether a further attempt can send the whole body.
func (bdy *body) repeatable() bool { return bdy.whole || !bdy.rest.begun.Load() }

// failure returns why the caller's body could not be read, nil if it could.
func (bdy *body) failure() error {
	if bdy.rest == nil {
		return nil
	}
	if err := bdy.rest.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// reader returns the rest as the reader of an attempt, nil if there is none.
func (bdy *body) reader() io.Reader {
	if bdy.rest == nil {
		return nil
	}
	return bdy.rest
}
