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

// Name is the compressor's name on the wire.
const Name = "siskinrill-gzip"

// minBytes is the shortest message that is compressed; a shorter one takes a few packets anyway, and most are renewals of some bytes.
const minBytes = 4 << 10

// The first byte of a message tells how the rest is encoded.
const (
	markPlain = 0
	markGzip  = 1
)

// markError tells that a message begins with a byte that is not known.
type markError struct {
	mark byte
}

// Error names the byte.
func (mke *markError) Error() string { return fmt.Sprintf("gzip: unknown mark %d", mke.mark) }

func init() {
	// Messages are compressed while agents wait for them, so that speed goes before size.
	if err := grpcgzip.SetLevel(gzip.BestSpeed); err != nil {
		panic(err)
	}
	encoding.RegisterCompressor(&compressor{gzip: encoding.GetCompressor(grpcgzip.Name)})
}

// compressor adds a mark to each message and has the long ones compressed.
type compressor struct {
	gzip encoding.Compressor
}

// Name returns the compressor's name on the wire.
func (cmp *compressor) Name() string { return Name }

// Compress returns a writer that writes one message to out when it is closed.
func (cmp *compressor) Compress(out io.Writer) (io.WriteCloser, error) {
	return &writer{gzip: cmp.gzip, out: out}, nil
}

// Decompress returns a reader of one message; an error may be a *markError.
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

// writer gathers a message, whose length decides how it is encoded.
type writer struct {
	gzip encoding.Compressor
	out  io.Writer
	buf  bytes.Buffer
}

// Write adds a part of the message.
func (wri *writer) Write(raw []byte) (int, error) { return wri.buf.Write(raw) }

// Close writes the message.
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
