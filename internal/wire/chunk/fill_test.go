package chunk_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/wire/chunk"
)

// TestFill guards against a truncated body that looks complete.
func TestFill(t *testing.T) {
	for name, tcs := range map[string]struct {
		rdr  io.Reader
		want string
		err  error
	}{
		"longer":         {rdr: strings.NewReader("abcdef"), want: "abcd"},
		"byte by byte":   {rdr: iotest.OneByteReader(strings.NewReader("abcdef")), want: "abcd"},
		"shorter":        {rdr: strings.NewReader("abc"), want: "abc", err: io.EOF},
		"truncated":      {rdr: io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), want: "abc", err: io.ErrUnexpectedEOF},
		"end with bytes": {rdr: iotest.DataErrReader(strings.NewReader("abc")), want: "abc", err: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			buf := make([]byte, 4)
			num, err := chunk.Fill(tcs.rdr, buf)
			must.Eq(t, tcs.want, string(buf[:num]))
			must.Eq(t, tcs.err, err)
		})
	}
}
