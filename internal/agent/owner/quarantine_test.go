package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/fingerprint"
)

// TestQuarantineWhileQueued guards against a request that is run although it came into quarantine while it waited for a slot.
func TestQuarantineWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bnc := newBench(t.Context(), 1)
		var runs int
		bnc.bck.do = runFor(time.Second, &runs)
		first := bnc.start(t.Context(), open(1, "ab"))
		deadly := open(2, "ab")
		deadly.Target = "/deadly"
		second := bnc.start(t.Context(), deadly)
		bnc.ses.quarantined.Store(&map[uint64]bool{fingerprint.OfAttempt(deadly, nil): true})
		must.NoError(t, <-first)
		err := <-second
		must.Eq(t, siskinrill.ReasonQuarantined, reasonOf(err))
		must.True(t, refusalOf(err).NotRun())
		must.Eq(t, 1, runs)
		must.Zero(t, len(bnc.own.holders))
	})
}
