package peer

import (
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/wire/chunk"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// Request bodies up to this length are sent in the first message. Longer ones are sent after the owner
	// admits the request, so that a refusal costs the owner's network link little.
	maxInlineRequestBody = 8 << 10
	// Answer bodies up to this length are sent in the first message.
	maxInlineAnswerBody = 64 << 10
	// Longer bodies are sent in chunks, so that other streams on the same connection can send in between.
	chunkSize = 16 << 10
)

var chunks = sync.Pool{New: func() any {
	buf := make([]byte, chunkSize)
	return &buf
}}

// sendChunks reads a body to its end and sends it as data messages; total is the length sent before. send
// encodes the message before it returns, so the buffer can be reused.
func sendChunks(bdy io.Reader, total int64, send func(*peerpb.Data) error) error {
	buf, _ := chunks.Get().(*[]byte)
	defer chunks.Put(buf)
	for {
		num, err := chunk.Fill(bdy, *buf)
		total += int64(num)
		dat := &peerpb.Data{Bytes: (*buf)[:num]}
		// A truncated body may wrap io.EOF as its cause; only the unwrapped one marks the end.
		if err == io.EOF {
			dat.End, dat.Total = true, total
			return send(dat)
		}
		if err != nil {
			return err
		}
		if err := send(dat); err != nil {
			return err
		}
	}
}

// readExactly fills buf and returns an error unless the body ends there.
func readExactly(bdy io.Reader, buf []byte) error {
	if _, err := io.ReadFull(bdy, buf); err != nil {
		return errors.Wrap(err, "body is shorter than its length")
	}
	var one [1]byte
	num, err := io.ReadFull(bdy, one[:])
	if num > 0 {
		return errors.New("body is longer than its length")
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// requestBody reads the part of a request's body that follows the first message, at the owner.
type requestBody struct {
	reply        *reply
	stream       peerpb.PeerService_ForwardServer
	length       int64 // -1 if unknown
	total        int64
	rest         []byte
	continueSent bool
	err          error
}

// Read returns io.EOF only if the announced end arrived and the length matches.
func (bdy *requestBody) Read(buf []byte) (int, error) {
	if !bdy.continueSent {
		bdy.continueSent = true
		bdy.err = bdy.reply.send(&peerpb.OwnerMessage{Kind: &peerpb.OwnerMessage_Continue{Continue: &peerpb.Continue{}}})
	}
	for len(bdy.rest) == 0 && bdy.err == nil {
		bdy.next()
	}
	if len(bdy.rest) == 0 {
		return 0, bdy.err
	}
	num := copy(buf, bdy.rest)
	bdy.rest = bdy.rest[num:]
	return num, nil
}

func (bdy *requestBody) next() {
	msg, err := bdy.stream.Recv()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		bdy.err = errors.Wrap(err, "request body truncated")
		return
	}
	dat := msg.GetData()
	if dat == nil {
		bdy.err = errors.New("request body: unexpected message")
		return
	}
	bdy.rest = dat.GetBytes()
	bdy.total += int64(len(bdy.rest))
	if dat.GetEnd() {
		bdy.err = checkTotal(bdy.total, dat.GetTotal(), bdy.length)
	}
}

// checkTotal returns io.EOF if the received length of a finished body matches the announced ones.
func checkTotal(got, announced, length int64) error {
	if got != announced || (length >= 0 && got != length) {
		return errors.Errorf("body has %d bytes, the end message declares %d, the first message %d", got, announced, length)
	}
	return io.EOF
}
