package peer

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/bench/memory"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// TestHeadsOfManyEntriesFillMemory guards against requests with heads of very many lines that entries, each within its own limits, send to
// one owner, whose process they end by its memory; and against refusing an ordinary one beside them.
func TestHeadsOfManyEntriesFillMemory(t *testing.T) {
	const (
		attempts = 400
		lines    = 9000
		// maxBytes is the memory of the smallest host.
		maxBytes = 284 << 20
	)
	var fields []*peerpb.HeaderField
	for num := range lines {
		fields = append(fields, &peerpb.HeaderField{Name: strconv.Itoa(num), Values: []string{""}})
	}
	fix := newFixture(t)
	release := make(chan struct{})
	fix.own.handle = func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		if len(att.Open().GetHeaders()) > 1 {
			<-release
		}
		return echo(ctx, att)
	}
	forward := func(fields []*peerpb.HeaderField) error {
		att := newAttempt(controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT, nil)
		att.Open().Headers = fields
		att.Open().TimeoutMs = 60000
		_, err := fix.poo.Forward(t.Context(), fix.rel.address(), att)
		return err
	}
	must.NoError(t, forward(fields[:1]))
	must.Eq(t, 1, fix.own.arrived.Load())
	var refused atomic.Int32
	growth := memory.Growth(func() {
		var all sync.WaitGroup
		for num := range attempts {
			all.Go(func() {
				ref, ok := forward(fields).(*siskinrill.Refusal)
				if ok && ref.Reason() == siskinrill.ReasonHeadMemory && ref.NotRun() {
					refused.Add(1)
				}
			})
			// One after the other, since the messages that the entries write are in this process too.
			for int(fix.own.arrived.Load()+refused.Load()) <= num+1 && t.Context().Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}
		must.NoError(t, forward(fields[:1]))
		close(release)
		all.Wait()
	})
	t.Logf("%d KB more at the peak, %d of %d refused", growth>>10, refused.Load(), attempts)
	must.Less(t, uint64(maxBytes), growth)
	must.Eq(t, 0, ingress.Heads().Used())
}
