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

// maxRefusedBytes bounds what a refused request may cost on the owner's link, handshake included.
const maxRefusedBytes = 4 << 10

// TestRefusedBody guards against bodies of refused requests that fill the owner's link.
func TestRefusedBody(t *testing.T) {
	for name, knd := range map[string]controlpb.RequestKind{"upload": upload, "non-idempotent": nonIdempotent} {
		for length, size := range map[string]int{"held": maxInlineAnswerBody, "streamed": 3 * maxInlineAnswerBody, "over the limit": maxInlineRequestBody + 1} {
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

// TestRepeatedBody guards against a held body that an attempt has used up, and against one whose length or end the owner is told wrongly.
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
	got, err := content(ans)
	must.NoError(t, err)
	must.True(t, bytes.Equal(bdy, got))
}

// TestSmallBody guards against a further round trip for a short body.
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
