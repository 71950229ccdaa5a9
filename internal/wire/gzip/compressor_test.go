package gzip

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc/encoding"
)

// TestRoundTrip guards against messages that are corrupted, long ones that are not compressed, and short ones that are.
func TestRoundTrip(t *testing.T) {
	cmp := encoding.GetCompressor(Name)
	for name, tst := range map[string]struct {
		text     string
		maxBytes int
	}{
		"short":           {text: "renewal", maxBytes: 8},
		"below the limit": {text: strings.Repeat("row ", minBytes/4-1), maxBytes: minBytes},
		"long":            {text: strings.Repeat("row ", minBytes), maxBytes: minBytes / 8},
	} {
		t.Run(name, func(t *testing.T) {
			for range 2 { // the second time with a pooled compressor
				var out bytes.Buffer
				wri, err := cmp.Compress(&out)
				must.NoError(t, err)
				for _, part := range []string{tst.text[:3], tst.text[3:]} {
					_, err = wri.Write([]byte(part))
					must.NoError(t, err)
				}
				must.NoError(t, wri.Close())
				must.LessEq(t, tst.maxBytes, out.Len())
				rdr, err := cmp.Decompress(&out)
				must.NoError(t, err)
				got, err := io.ReadAll(rdr)
				must.NoError(t, err)
				must.Eq(t, tst.text, string(got))
			}
		})
	}
}

// TestUnknownMark guards against data in another format that is decoded as a message.
func TestUnknownMark(t *testing.T) {
	_, err := encoding.GetCompressor(Name).Decompress(strings.NewReader("\x07rest"))
	var mke *markError
	must.True(t, errors.As(err, &mke))
	must.Eq(t, 7, mke.mark)
	_, err = encoding.GetCompressor(Name).Decompress(strings.NewReader(""))
	must.Error(t, err)
}
