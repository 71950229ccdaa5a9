package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const deadly = uint64(7)

func reportCrashes(ses *Session, first, num uint64) {
	for server := range num {
		ses.ReportCrash(&controlpb.CrashReport{Server: first + server, Requests: []uint64{deadly, 100 + server}})
	}
}

// TestQuarantineWithoutControl guards against an agent that sends a request to its backend server again and again although it
// has crashed it, because control is out of reach, and against a quarantine that never ends.
func TestQuarantineWithoutControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ses := New(Options{})
		reportCrashes(ses, 1, siskinrill.QuarantineCrashes-1)
		reportCrashes(ses, 1, 1)
		must.False(t, ses.AnyQuarantined())
		reportCrashes(ses, 50, 1)
		must.True(t, ses.Quarantined(deadly))
		must.False(t, ses.Quarantined(100))
		ses.table.quarantine.replace([]uint64{9})
		must.True(t, ses.Quarantined(deadly))
		must.True(t, ses.Quarantined(9))
		ses.table.quarantine.apply(&controlpb.SetQuarantine{Request: deadly})
		must.False(t, ses.Quarantined(deadly))
		for _, rep := range ses.table.quarantine.recent() {
			must.SliceNotContains(t, rep.GetRequests(), deadly, must.Sprint("reported again after its quarantine has ended"))
		}
		ses.table.quarantine.apply(&controlpb.SetQuarantine{Request: deadly, Quarantined: true})
		must.True(t, ses.Quarantined(deadly))
		ses.table.quarantine.replace(nil)
		reportCrashes(ses, 60, siskinrill.QuarantineCrashes)
		must.True(t, ses.Quarantined(deadly))
		time.Sleep(siskinrill.SuspicionTime)
		synctest.Wait()
		must.False(t, ses.AnyQuarantined())
	})
}

// TestCrashReportsRepeated guards against crashes that are not counted because a connection or the leader was lost, and
// against reports that fill the memory.
func TestCrashReportsRepeated(t *testing.T) {
	ses := New(Options{})
	sent := func() int {
		snt := &sentState{exc: &exchange{ses: ses}, refs: map[refKey]bool{}, crashes: map[uint64]int{}}
		num := len(snt.unsentRequests())
		must.Eq(t, 0, len(snt.unsentRequests()), must.Sprint("sent twice on one connection"))
		return num
	}
	reportCrashes(ses, 1, 2)
	must.Eq(t, 2, sent())
	must.Eq(t, 2, sent())
	reportCrashes(ses, 1000, 10*maxCrashReports)
	must.Eq(t, maxCrashReports, sent())
}
