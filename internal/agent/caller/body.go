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
const heldBody = 64 << 10

// A caller that is refused in the middle of a body may send this much more before its connection is closed.
const lingerBytes = 256 << 10

// body is the body of a caller's request: a first part that is held, and the rest that can be read once.
type body struct {
	first  []byte
	whole  bool // first is all of it
	length int64
	rest   *rest
	turn   *turn // of the newest attempt
}

// rest is what follows the held part; one attempt may read it.
type rest struct {
	mu     sync.Mutex // held while reading, so that lingering waits for the attempt
	rdr    io.Reader
	over   bool // the handler is about to return
	ended  atomic.Bool
	failed atomic.Pointer[error]
}

// States of a turn.
const (
	turnIdle int32 = iota
	turnBegun
	turnRevoked
)

// turn is the reader of one attempt. An attempt that has failed may still hold it, so that it is revoked before the next one gets a turn.
type turn struct {
	rest  *rest
	state atomic.Int32
}

// Read reads from the caller's connection unless the turn was revoked before its first call.
func (trn *turn) Read(buf []byte) (int, error) {
	if !trn.state.CompareAndSwap(turnIdle, turnBegun) && trn.state.Load() == turnRevoked {
		return 0, errors.New("the attempt is over")
	}
	return trn.rest.read(buf)
}

func (rst *rest) read(buf []byte) (int, error) {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	if rst.over {
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

// finish reads on until the end of the body, a limit or an error, and lets no attempt read after that.
func (rst *rest) finish() error {
	rst.mu.Lock()
	defer rst.mu.Unlock()
	rst.over = true
	_, err := io.CopyN(io.Discard, rst.rdr, lingerBytes)
	return err
}

// revoke ends a turn and reports whether nothing was read in it.
func (trn *turn) revoke() bool {
	return trn.state.CompareAndSwap(turnIdle, turnRevoked) || trn.state.Load() == turnRevoked
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

// repeatable revokes the turn of the last attempt and reports whether a further one can send the whole body.
func (bdy *body) repeatable() bool {
	return bdy.rest == nil || bdy.turn == nil || bdy.turn.revoke()
}

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

// reader returns the rest as the reader of a new attempt, nil if there is none.
func (bdy *body) reader() io.Reader {
	if bdy.rest == nil {
		return nil
	}
	bdy.turn = &turn{rest: bdy.rest}
	return bdy.turn
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
	return bdy.rest.finish() != io.EOF
}
