package roundtrip

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTimeout guards against a timeout below usual answers, one that stays long after they became quick, and wrong suspicions that repeat at the same rate.
func TestTimeout(t *testing.T) {
	const quick, slow = 10 * time.Millisecond, 800 * time.Millisecond
	est := &Estimate{}
	must.Eq(t, 0, est.Timeout())
	for range 50 {
		est.Add(quick)
	}
	must.Between(t, quick, est.Timeout(), 2*quick)
	est.Add(slow)
	must.Greater(t, slow, est.Timeout())
	for range 50 {
		est.Add(slow)
	}
	must.Between(t, slow, est.Timeout(), slow+slow/10)
	before := est.Timeout()
	for range 5 {
		est.Expire()
	}
	must.Eq(t, 4*before, est.Timeout())
	for range 100 {
		est.Add(quick)
	}
	must.Less(t, 2*quick, est.Timeout())
}
