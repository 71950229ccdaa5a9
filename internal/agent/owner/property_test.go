package owner

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// runPlan returns the violations in a plan.
func runPlan(t *testing.T, plan []op, slots int, flt faults) []string {
	t.Helper()
	var found []string
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		mdl := newModel(ctx, slots, flt)
		time.Sleep(10 * time.Millisecond) // wait for the end of the ramp
		for _, stp := range plan {
			synctest.Wait()
			num := mdl.own.Load(0).GetQueued()
			mdl.check(num > mdl.ses.svc.GetQueueLimit(), "queue: %d waiting", num)
			mdl.step(ctx, stp)
		}
		time.Sleep(10 * time.Second)
		mdl.callers.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		mdl.checkEnd()
		stop()
		found = mdl.violations
	})
	return found
}

// TestGuarantees guards against any order of attempts, duplicates, withdrawals, releases and lease losses that
// breaks a guarantee of the owner.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := planGen.Draw(rt, "plan")
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		if found := runPlan(t, plan, slots, faults{}); len(found) > 0 {
			rt.Fatalf("violations: %s", strings.Join(found, "; "))
		}
	})
}

// TestFaultsAreFound guards against a property test that does not detect a broken owner.
func TestFaultsAreFound(t *testing.T) {
	const plans = 400
	tests := map[string]struct {
		flt    faults
		prefix string
	}{
		"lease not checked last":              {flt: faults{noLastCheck: true}, prefix: "lease:"},
		"tombstone not kept":                  {flt: faults{noTombstone: true}, prefix: "withdrawn:"},
		"release before running requests end": {flt: faults{releaseEarly: true}, prefix: "release:"},
		"more running requests than slots":    {flt: faults{extraSlots: 1}, prefix: "slots:"},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			for num := range plans {
				found := runPlan(t, planGen.Example(num), 1+num%3, tcs.flt)
				if slices.ContainsFunc(found, func(txt string) bool { return strings.HasPrefix(txt, tcs.prefix) }) {
					t.Logf("detected by plan %d", num)
					return
				}
			}
			must.Unreachable(t, must.Sprintf("no violation %q in %d plans", tcs.prefix, plans))
		})
	}
}
