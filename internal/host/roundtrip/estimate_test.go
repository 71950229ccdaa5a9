package roundtrip

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestTimeout guards against a timeout below usual round trips, one that stays high after they have become short, and one
// that does not grow with repeated false suspicions.
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
