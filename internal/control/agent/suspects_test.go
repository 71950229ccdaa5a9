package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestSuspectAges guards against suspects that are kept forever, and against ones that are forgotten although they have
// crashed another server or a new leader has just taken over.
func TestSuspectAges(t *testing.T) {
	age, now := &suspectAges{}, time.Now()
	sus := []*controlpb.Suspect{{Request: 7, Index: 10}, {Request: 8, Index: 20}}
	expired := func(after time.Duration) []uint64 {
		reqs, _ := age.expired(now.Add(after), sus)
		return reqs
	}
	must.Len(t, 0, expired(0))
	sus[1].Index = 30
	must.Len(t, 0, expired(time.Minute))
	must.Eq(t, []uint64{7}, expired(siskinrill.SuspicionTime))
	must.Eq(t, []uint64{7, 8}, expired(siskinrill.SuspicionTime+time.Minute))
	_, idx := age.expired(now.Add(2*siskinrill.SuspicionTime), sus)
	must.Eq(t, uint64(30), idx)
	age = &suspectAges{}
	must.Len(t, 0, expired(3*siskinrill.SuspicionTime))
}
