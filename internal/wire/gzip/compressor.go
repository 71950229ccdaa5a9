package gzip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/encoding"
	grpcgzip "google.golang.org/grpc/encoding/gzip"
)

// Name is the name of the compressor in the grpc-encoding header.
const Name = "siskinrill-gzip"

// minBytes is the length from which messages are compressed; shorter ones fit into a few packets anyway, and most of them
// are lease renewals of a few bytes.
const minBytes = 4 << 10

// The first byte of a message, its mark, states how the rest is encoded.
const (
	markPlain = 0
	markGzip  = 1
)

// markError is returned for a message whose first byte is not a known mark.
type markError struct {
	mark byte
}

// Error returns a text with the unknown mark.
func (mke *markError) Error() string { return fmt.Sprintf("gzip: unknown mark %d", mke.mark) }

func init() {
	// Agents wait while messages are compressed, so that speed is more important than size.
	if err := grpcgzip.SetLevel(gzip.BestSpeed); err != nil {
		panic(err)
	}
	encoding.RegisterCompressor(&compressor{gzip: encoding.GetCompressor(grpcgzip.Name)})
}

// compressor adds a mark to each message and compresses the long ones with gzip.
type compressor struct {
	gzip encoding.Compressor
}

// Name returns the name of the compressor in the grpc-encoding header.
func (cmp *compressor) Name() string { return Name }

// Compress returns a writer for one message, which it encodes and writes to out when it is closed.
func (cmp *compressor) Compress(out io.Writer) (io.WriteCloser, error) {
	return &writer{gzip: cmp.gzip, out: out}, nil
}

// Decompress returns a reader of the decoded message; an error may be a *markError.
func (cmp *compressor) Decompress(in io.Reader) (io.Reader, error) {
	var mark [1]byte
	if _, err := io.ReadFull(in, mark[:]); err != nil {
		return nil, errors.Wrap(err, "gzip: read the mark")
	}
	switch mark[0] {
	case markPlain:
		return in, nil
	case markGzip:
		return cmp.gzip.Decompress(in)
	default:
		return nil, &markError{mark: mark[0]}
	}
}

// writer buffers a message, since the encoding depends on its length.
type writer struct {
	gzip encoding.Compressor
	out  io.Writer
	buf  bytes.Buffer
}

// Write appends a part of the message to the buffer.
func (wri *writer) Write(raw []byte) (int, error) { return wri.buf.Write(raw) }

// Close writes the message with its mark, compressed if it is long enough.
func (wri *writer) Close() error {
	if wri.buf.Len() < minBytes {
		return wri.writePlain()
	}
	if _, err := wri.out.Write([]byte{markGzip}); err != nil {
		return err
	}
	cmp, err := wri.gzip.Compress(wri.out)
	if err != nil {
		return err
	}
	if _, err := wri.buf.WriteTo(cmp); err != nil {
		_ = cmp.Close()
		return err
	}
	return cmp.Close()
}

func (wri *writer) writePlain() error {
	if _, err := wri.out.Write([]byte{markPlain}); err != nil {
		return err
	}
	_, err := wri.buf.WriteTo(wri.out)
	return err
}
