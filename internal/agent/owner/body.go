package owner

import (
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// requestBody wraps the streamed body of a request: it tracks whether the body has ended, and hashes it for the
// fingerprint.
type requestBody struct {
	mu        sync.Mutex
	src       io.Reader
	dig       *xxhash.Digest // nil without an Idempotency-Key
	bytesLeft int64          // remaining bytes, negative if not known
	complete  bool
	done      chan struct{} // closed after the last read
}

func newRequestBody(att *siskinrill.Attempt, dig *xxhash.Digest) *requestBody {
	opn := att.Open()
	rbd := &requestBody{src: att.Body(), dig: dig, bytesLeft: -1, done: make(chan struct{})}
	if opn.GetBodyLength() >= 0 {
		rbd.bytesLeft = max(opn.GetBodyLength()-int64(len(opn.GetBody())), 0)
	}
	if rbd.bytesLeft == 0 {
		rbd.complete = true
		rbd.finish()
	}
	return rbd
}

// Read reads the next part of the body.
func (rbd *requestBody) Read(buf []byte) (int, error) {
	num, err := rbd.src.Read(buf)
	rbd.mu.Lock()
	defer rbd.mu.Unlock()
	if rbd.dig != nil {
		_, _ = rbd.dig.Write(buf[:num])
	}
	if rbd.bytesLeft > 0 {
		rbd.bytesLeft -= int64(num)
	}
	if err == io.EOF || rbd.bytesLeft == 0 {
		rbd.complete = true
	}
	if err != nil || rbd.complete {
		rbd.finish()
	}
	return num, err
}

func (rbd *requestBody) finish() {
	select {
	case <-rbd.done:
	default:
		close(rbd.done)
	}
}

// fingerprint returns the hash, 0 until the complete body has been read.
func (rbd *requestBody) fingerprint() uint64 {
	rbd.mu.Lock()
	defer rbd.mu.Unlock()
	if !rbd.complete {
		return 0
	}
	return nonZero(rbd.dig.Sum64())
}

// nonZero reserves 0 for an unknown fingerprint.
func nonZero(sum uint64) uint64 {
	return max(sum, 1)
}

// attempt returns the attempt that is sent to the backend server.
func (tck *ticket) attempt() *siskinrill.Attempt {
	switch {
	case tck.received != nil:
		return tck.received
	case tck.bdy == nil:
		return tck.att
	}
	return siskinrill.NewAttempt(tck.att.Open(), tck.bdy)
}

// bodyIncomplete reports whether a part of the body has not been received from the caller yet.
func (tck *ticket) bodyIncomplete() bool { return tck.bdy != nil && !tck.bdy.ended() }

// remaining returns the number of bytes not received yet, negative if that is not known.
func (rbd *requestBody) remaining() int64 {
	rbd.mu.Lock()
	defer rbd.mu.Unlock()
	if rbd.complete {
		return 0
	}
	return rbd.bytesLeft
}

// ended reports whether the complete body has been received from the caller.
func (rbd *requestBody) ended() bool {
	rbd.mu.Lock()
	defer rbd.mu.Unlock()
	return rbd.complete
}

// answerBody streams an answer to the caller, stores a short one for replay, and ends the attempt.
type answerBody struct {
	own  *Owner
	tck  *ticket
	head *peerpb.Response
	src  io.ReadCloser

	mu      sync.Mutex // serializes reads
	kept    []byte
	tooLong bool // too long to store, or not to be stored
	once    sync.Once
}

func newAnswerBody(own *Owner, tck *ticket, ans *siskinrill.Answer) *answerBody {
	hea := ans.Head()
	abd := &answerBody{own: own, tck: tck, head: hea, src: ans.Body()}
	abd.tooLong = !tck.atMostOnce || hea.GetBodyLength() > maxKeptAnswer
	abd.keep(hea.GetBody())
	return abd
}

func (abd *answerBody) keep(buf []byte) {
	if abd.tooLong {
		return
	}
	if len(abd.kept)+len(buf) > maxKeptAnswer {
		abd.tooLong = true
		abd.kept = nil
		return
	}
	abd.kept = append(abd.kept, buf...)
}

// Read reads the next part of the answer and ends the attempt at its end or on an error.
func (abd *answerBody) Read(buf []byte) (int, error) {
	abd.mu.Lock()
	defer abd.mu.Unlock()
	num, err := abd.src.Read(buf)
	abd.keep(buf[:num])
	switch {
	case err == io.EOF:
		abd.end(attemptEnd{outcome: peerpb.Outcome_OUTCOME_COMPLETE, response: abd.fullResponse()})
	case err != nil:
		ref := refusalOf(err)
		_ = abd.own.addRefusalToLoad(ref)
		abd.end(attemptEnd{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: ref.Reason()})
	}
	return num, err
}

func (abd *answerBody) end(how attemptEnd) {
	abd.once.Do(func() { abd.own.end(abd.tck, how) })
}

// fullResponse returns the answer with its complete body, nil if it is too long to store.
func (abd *answerBody) fullResponse() *peerpb.Response {
	if abd.tooLong {
		return nil
	}
	return &peerpb.Response{
		Status: abd.head.GetStatus(), Headers: abd.head.GetHeaders(),
		BodyLength: int64(len(abd.kept)), Body: abd.kept, BodyEnd: true,
	}
}

// Close ends the attempt; the rest of an answer to a request that must not run twice is still read in the
// background, until the deadline.
func (abd *answerBody) Close() error {
	if abd.tck.atMostOnce {
		go abd.drain()
		return nil
	}
	err := abd.src.Close()
	abd.end(attemptEnd{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: siskinrill.ReasonCallerGone})
	return err
}

func (abd *answerBody) drain() {
	_, _ = io.Copy(io.Discard, readerOnly{abd})
	abd.end(attemptEnd{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: siskinrill.ReasonCallerGone})
	_ = abd.src.Close()
}

// readerOnly hides Close from io.Copy.
type readerOnly struct{ io.Reader }
