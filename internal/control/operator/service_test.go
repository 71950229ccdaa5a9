package operator

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Guards against an answer that a change is in force while an agent lags, and against agents that get no partitions.
func TestApplyWaitsForAgents(t *testing.T) {
	fix := newFixture(t)
	fix.connectAgent(t, "one", false)
	ans, err := fix.ops.Apply(t.Context(), &controlpb.ApplyRequest{ChangeId: "c1", Configuration: shopConfiguration(1, ""), WaitMs: 3000})
	must.NoError(t, err)
	must.True(t, ans.GetRecord().GetAccepted())
	must.True(t, ans.GetInForce())
	fix.connectAgent(t, "two", true)
	ans, err = fix.ops.Apply(t.Context(), &controlpb.ApplyRequest{ChangeId: "c2", Configuration: shopConfiguration(2, "r"), WaitMs: 100})
	must.NoError(t, err)
	must.False(t, ans.GetInForce())
	must.Eq(t, "two", ans.GetLagging()[len(ans.GetLagging())-1])
	fix.awaitPartitions(t, "u-one")
	own, err := fix.ops.Owner(t.Context(), &controlpb.OwnerRequest{Service: "shop", Key: "k"})
	must.NoError(t, err)
	must.Positive(t, own.GetToken())
	sts, err := fix.ops.Status(t.Context(), &controlpb.StatusRequest{})
	must.NoError(t, err)
	must.Len(t, 2, sts.GetUpstreams())
	must.Eq(t, 2, sts.GetConfigurationNumber())
	drn, err := fix.ops.Drain(t.Context(), &controlpb.DrainRequest{Upstream: "u-one"})
	must.NoError(t, err)
	must.Positive(t, drn.GetPartitions())
	_, err = fix.ops.Drain(t.Context(), &controlpb.DrainRequest{Upstream: "u-typo"})
	must.Eq(t, codes.NotFound, status.Code(err))
}

func (fix *fixture) awaitPartitions(t *testing.T, ups string) {
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		sts, err := fix.ops.Status(t.Context(), &controlpb.StatusRequest{})
		must.NoError(t, err)
		for _, row := range sts.GetUpstreams() {
			if row.GetNode().GetUpstream().GetId() == ups && row.GetPartitions() > 0 {
				return
			}
		}
	}
	t.Fatalf("%s owns no partition after 3 s", ups)
}

// Guards against two accepted changes with one configuration number, and against refusals that do not
// name the accepted change.
func TestRacingOperators(t *testing.T) {
	fix := newFixture(t)
	for num := uint64(1); num <= 10; num++ {
		answers := make([]*controlpb.ChangeRecord, 20)
		var grp sync.WaitGroup
		for pos := range answers {
			grp.Go(func() {
				req := &controlpb.ApplyRequest{ChangeId: fmt.Sprintf("%d-%d", num, pos), Configuration: shopConfiguration(num, fmt.Sprintf("r%d", pos))}
				ans, _ := fix.ops.Apply(t.Context(), req)
				answers[pos] = ans.GetRecord()
			})
		}
		grp.Wait()
		winner := ""
		for _, rec := range answers {
			if rec.GetAccepted() {
				must.Eq(t, "", winner)
				winner = rec.GetChangeId()
			}
		}
		must.NotEq(t, "", winner)
		for _, rec := range answers {
			if !rec.GetAccepted() {
				must.Eq(t, "number_taken", rec.GetReason())
				must.Eq(t, winner, rec.GetWinner())
			}
		}
	}
}

// Guards against a different answer to a resent change, and against a change id that is reused for another change.
func TestResend(t *testing.T) {
	fix := newFixture(t)
	req := &controlpb.ApplyRequest{ChangeId: "c1", Configuration: shopConfiguration(1, "")}
	first, err := fix.ops.Apply(t.Context(), req)
	must.NoError(t, err)
	_, err = fix.ops.Apply(t.Context(), &controlpb.ApplyRequest{ChangeId: "c2", Configuration: shopConfiguration(2, "")})
	must.NoError(t, err)
	fix.log.setLeadership(2, true, "127.0.0.1:1")
	second, err := fix.ops.Apply(t.Context(), req)
	must.NoError(t, err)
	must.Eq(t, first.GetRecord().String(), second.GetRecord().String())
	req.Configuration = shopConfiguration(3, "other")
	_, err = fix.ops.Apply(t.Context(), req)
	must.Eq(t, codes.AlreadyExists, status.Code(err))
}

// Guards against reads that are answered without confirmed leadership, and against missing redirects.
func TestNotLeading(t *testing.T) {
	fix := newFixture(t)
	before := fix.log.confirms
	_, err := fix.ops.Show(t.Context(), &controlpb.ShowRequest{})
	must.NoError(t, err)
	must.Eq(t, before+1, fix.log.confirms)
	fix.log.setLeadership(2, false, "10.0.0.9:7")
	calls := map[string]func() error{
		"show":   func() error { _, err := fix.ops.Show(t.Context(), &controlpb.ShowRequest{}); return err },
		"status": func() error { _, err := fix.ops.Status(t.Context(), &controlpb.StatusRequest{}); return err },
		"owner": func() error {
			_, err := fix.ops.Owner(t.Context(), &controlpb.OwnerRequest{Service: "shop"})
			return err
		},
		"drain": func() error {
			_, err := fix.ops.Drain(t.Context(), &controlpb.DrainRequest{Upstream: "u"})
			return err
		},
		"apply": func() error {
			_, err := fix.ops.Apply(t.Context(), &controlpb.ApplyRequest{ChangeId: "x", Configuration: shopConfiguration(1, "")})
			return err
		},
	}
	for name, call := range calls {
		sts, _ := status.FromError(call())
		must.Eq(t, codes.FailedPrecondition, sts.Code(), must.Sprint(name))
		must.Eq(t, "leader=10.0.0.9:7", sts.Message(), must.Sprint(name))
		must.Eq(t, "10.0.0.9:7", sts.Details()[0].(*controlpb.Redirect).GetLeaderAddress(), must.Sprint(name))
	}
}
