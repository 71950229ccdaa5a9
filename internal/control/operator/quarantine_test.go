package operator

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestRelease guards against a quarantine that operators do not see or cannot end.
func TestRelease(t *testing.T) {
	fix := newFixture(t)
	for server := range uint64(siskinrill.QuarantineCrashes) {
		_, err := fix.log.Propose(t.Context(), registry.RecordCrash(&controlpb.CrashReport{Server: server, Requests: []uint64{7}}))
		must.NoError(t, err)
	}
	for _, known := range []bool{true, false} {
		sta, err := fix.ops.Status(t.Context(), &controlpb.StatusRequest{})
		must.NoError(t, err)
		must.Eq(t, known, len(sta.GetSuspects()) == 1)
		ans, err := fix.ops.Release(t.Context(), &controlpb.ReleaseRequest{Request: 7})
		must.NoError(t, err)
		must.Eq(t, known, ans.GetKnown())
	}
}
