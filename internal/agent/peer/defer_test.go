package peer

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// maxRefusedBytes limits the traffic of a refused request on the owner's network link, including the handshake.
const maxRefusedBytes = 4 << 10

// TestRefusedBody guards against sending the bodies of refused requests over the owner's network link.
func TestRefusedBody(t *testing.T) {
	for name, knd := range map[string]controlpb.RequestKind{"upload": upload, "non-idempotent": nonIdempotent} {
		for length, size := range map[string]int{"buffered": maxInlineAnswerBody, "streamed": 3 * maxInlineAnswerBody, "over the limit": maxInlineRequestBody + 1} {
			t.Run(name+", "+length, func(t *testing.T) {
				fix := newFixture(t)
				fix.own.handle = failingWith(siskinrill.NotRun(siskinrill.ReasonQueueFull))
				_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(knd, make([]byte, size)))
				must.ErrorContains(t, err, string(siskinrill.ReasonQueueFull))
				must.Less(t, int64(maxRefusedBytes), fix.rel.received.Load())
			})
		}
	}
}

// TestRepeatedBody guards against a buffered body that an earlier attempt has consumed, and against a wrong
// length or end reported to the owner.
func TestRepeatedBody(t *testing.T) {
	fix := newFixture(t)
	bdy := bytes.Repeat([]byte("0123456789abcdef"), maxInlineAnswerBody/16)
	att := newAttempt(upload, bdy)
	fix.own.handle = func(_ context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		must.Eq(t, int64(len(bdy)), att.Open().GetBodyLength())
		_, err := io.CopyN(io.Discard, att.Body(), chunkSize)
		must.NoError(t, err)
		return nil, siskinrill.NotRun(siskinrill.ReasonBackendDeclined)
	}
	_, err := fix.poo.Forward(t.Context(), fix.rel.address(), att)
	must.ErrorContains(t, err, string(siskinrill.ReasonBackendDeclined))
	fix.own.handle = echo
	ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), att)
	must.NoError(t, err)
	got, err := readAnswer(ans)
	must.NoError(t, err)
	must.True(t, bytes.Equal(bdy, got))
}

// TestSmallBody guards against an additional round trip for a short body.
func TestSmallBody(t *testing.T) {
	fix := newFixture(t)
	fix.own.handle = func(_ context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		must.True(t, att.Open().GetBodyEnd())
		must.Nil(t, att.Body())
		return echo(t.Context(), att)
	}
	ans, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(upload, []byte(strings.Repeat("x", maxInlineRequestBody))))
	must.NoError(t, err)
	must.Eq(t, maxInlineRequestBody, len(ans.Head().GetBody()))
}
