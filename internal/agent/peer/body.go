package peer

import (
	"io"
	"sync"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// A request's body up to this length travels in the first message; a longer one waits for the owner's admission, so that a refusal costs the owner's link little.
	maxInlineRequestBody = 8 << 10
	// An answer's body up to this length travels in the first message.
	maxInlineAnswerBody = 64 << 10
	// Longer bodies are cut into chunks, so that others on the same connection get their turn.
	chunkSize = 16 << 10
)

var chunks = sync.Pool{New: func() any {
	buf := make([]byte, chunkSize)
	return &buf
}}

// sendChunks reads a body to its end and sends it as data; total is the length sent before. The sent message is encoded before send returns, so that its buffer is used again.
func sendChunks(bdy io.Reader, total int64, send func(*peerpb.Data) error) error {
	buf, _ := chunks.Get().(*[]byte)
	defer chunks.Put(buf)
	for {
		num, err := fill(bdy, *buf)
		total += int64(num)
		dat := &peerpb.Data{Bytes: (*buf)[:num]}
		// A cut body may wrap io.EOF as its cause; only the plain one is the end.
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

// readExactly fills buf and requires that the body ends there.
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

// requestBody is what follows the first part of a request's body at the owner.
type requestBody struct {
	reply        *reply
	stream       peerpb.PeerService_ForwardServer
	length       int64 // -1: not known
	total        int64
	rest         []byte
	continueSent bool
	err          error
}

// Read returns io.EOF only at the announced end with the right length.
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
		bdy.err = errors.Wrap(err, "request body cut")
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

// checkTotal returns io.EOF if a body that has ended has the told lengths.
func checkTotal(got, announced, length int64) error {
	if got != announced || (length >= 0 && got != length) {
		return errors.Errorf("body has %d bytes, its end tells %d, its head %d", got, announced, length)
	}
	return io.EOF
}
