package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// TestRefusals guards against a request that runs without a valid lease or row, and against a wrong reason on which
// the entry would act.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(fse *fakeSession)
		edit   func(opn *peerpb.Open)
		reason siskinrill.Reason
	}{
		"other session":    {edit: func(opn *peerpb.Open) { opn.OwnerSession = 39 }, reason: siskinrill.ReasonWrongOwner},
		"old token":        {edit: func(opn *peerpb.Open) { opn.Token = 6 }, reason: siskinrill.ReasonWrongOwner},
		"no method":        {edit: func(opn *peerpb.Open) { opn.Method = "" }, reason: siskinrill.ReasonBadRequest},
		"no session":       {change: func(fse *fakeSession) { fse.session = 0 }, reason: siskinrill.ReasonNoLease},
		"lease expired":    {change: func(fse *fakeSession) { fse.expires = time.Now() }, reason: siskinrill.ReasonNoLease},
		"lease near end":   {change: func(fse *fakeSession) { fse.expires = time.Now().Add(199 * time.Millisecond) }, reason: siskinrill.ReasonNoLease},
		"other owner":      {change: func(fse *fakeSession) { fse.rows["ab"] = &controlpb.Shard{Owner: 3, Token: 7} }, reason: siskinrill.ReasonWrongOwner},
		"releasing":        {change: func(fse *fakeSession) { releaseAll(fse) }, reason: siskinrill.ReasonMoving},
		"drained too long": {change: func(fse *fakeSession) { fse.drain = true }, reason: siskinrill.ReasonDraining},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 4, func(t *testing.T, bnc *bench) {
				opn := open(1, "ab")
				if tcs.change != nil {
					bnc.ses.change(func() { tcs.change(bnc.ses) })
				}
				if tcs.edit != nil {
					tcs.edit(opn)
				}
				if tcs.reason == siskinrill.ReasonDraining {
					time.Sleep(drainGrace + tickInterval)
				}
				runs := 0
				bnc.bck.do = runFor(0, &runs)
				_, err := bnc.own.Handle(t.Context(), siskinrill.NewAttempt(opn, nil))
				must.Eq(t, tcs.reason, reasonOf(err))
				must.True(t, refusalOf(err).NotRun())
				must.Eq(t, 0, runs)
				must.Eq(t, "1", counter(bnc.cnt, "refusals", string(tcs.reason)))
			})
		})
	}
}

func releaseAll(fse *fakeSession) {
	for _, row := range fse.rows {
		row.Phase = controlpb.Phase_PHASE_RELEASING
		row.Target = peerNode
	}
}

// TestIdleRowReportedLate guards against rows that the backend server has released and that wait for others which move with them.
func TestIdleRowReportedLate(t *testing.T) {
	bubble(t, 4, func(t *testing.T, bnc *bench) {
		bnc.bck.rowTime = 2 * time.Second
		bnc.ses.change(func() { releaseAll(bnc.ses) })
		for num := range svcParts {
			time.Sleep(time.Second)
			partitions := map[uint32]bool{}
			for _, ref := range bnc.ses.reported() {
				partitions[ref.GetPartition()] = true // a report is repeated until the row has changed
			}
			must.MapLen(t, num+1, partitions)
			time.Sleep(time.Second)
		}
	})
}
