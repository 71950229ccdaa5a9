package peer

import (
	"bytes"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	idempotent    = controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT
	nonIdempotent = controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT
	upload        = controlpb.RequestKind_REQUEST_KIND_UPLOAD
)

// newAttempt returns an attempt whose first message holds up to 64 KB of the body.
func newAttempt(knd controlpb.RequestKind, bdy []byte) *siskinrill.Attempt {
	opn := &peerpb.Open{Kind: uint32(knd), TimeoutMs: 5000, BodyLength: int64(len(bdy)), Method: "PUT", Target: "/photos/1"}
	if len(bdy) <= smallBody {
		opn.Body, opn.BodyEnd = bdy, true
		return siskinrill.NewAttempt(opn, nil)
	}
	opn.Body = bdy[:smallBody]
	return siskinrill.NewAttempt(opn, bytes.NewReader(bdy[smallBody:]))
}

// content reads a whole answer.
func content(ans *siskinrill.Answer) ([]byte, error) {
	defer func() { _ = ans.Close() }()
	if ans.Body() == nil {
		return ans.Head().GetBody(), nil
	}
	rst, err := io.ReadAll(ans.Body())
	return append(append([]byte{}, ans.Head().GetBody()...), rst...), err
}

// TestBodies guards against bodies that change on the way, at the lengths where their treatment changes.
func TestBodies(t *testing.T) {
	fix := newFixture(t)
	for name, size := range map[string]int{"empty": 0, "small": 100, "held": smallBody, "streamed": smallBody + 1, "chunks": smallBody + 3*chunkSize, "large": 5 << 20} {
		t.Run(name, func(t *testing.T) {
			bdy := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
			ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(upload, bdy))
			must.NoError(t, err)
			got, err := content(ans)
			must.NoError(t, err)
			must.True(t, bytes.Equal(bdy, got))
		})
	}
}
