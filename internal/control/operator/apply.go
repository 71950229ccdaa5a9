package operator

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// pollInterval is the time between checks of the configurations that agents have in force; agents
// report them every 250 ms.
const pollInterval = 25 * time.Millisecond

// Apply proposes a configuration change and, if requested, waits until every session has it in force.
func (svc *Service) Apply(ctx context.Context, req *controlpb.ApplyRequest) (*controlpb.ApplyAnswer, error) {
	if req.GetChangeId() == "" || req.GetConfiguration() == nil {
		return nil, status.Error(codes.InvalidArgument, "change_id and configuration are needed")
	}
	res, err := svc.log.Propose(ctx, applyCommand(req))
	if err != nil {
		return nil, svc.statusError(err)
	}
	rec := res.Record()
	if rec == nil {
		return nil, status.Error(codes.Internal, "the registry gave no answer to the change")
	}
	if rec.GetContentHash() != contentHash(req) || rec.GetNumber() != req.GetConfiguration().GetNumber() {
		return nil, status.Errorf(codes.AlreadyExists, "change_id_reused: %s was used for another change", req.GetChangeId())
	}
	ans := &controlpb.ApplyAnswer{Record: rec}
	if !rec.GetAccepted() {
		return ans, nil
	}
	return svc.awaitInForce(ctx, ans, time.Duration(req.GetWaitMs())*time.Millisecond)
}

func applyCommand(req *controlpb.ApplyRequest) *controlpb.Command {
	if req.GetBase() == nil {
		return registry.ApplyConfiguration(req.GetChangeId(), req.GetOperator(), req.GetConfiguration())
	}
	return registry.ApplyOnBase(req.GetChangeId(), req.GetOperator(), req.GetConfiguration(), req.GetBase().GetNumber(), req.GetPatch())
}

func contentHash(req *controlpb.ApplyRequest) string {
	if req.GetPatch() == nil {
		return registry.ContentHash(req.GetConfiguration())
	}
	return registry.PatchHash(req.GetPatch())
}

// awaitInForce adds the sessions that lag to the answer, once none lags or the timeout has passed.
func (svc *Service) awaitInForce(ctx context.Context, ans *controlpb.ApplyAnswer, timeout time.Duration) (*controlpb.ApplyAnswer, error) {
	end := time.Now().Add(timeout)
	tck := time.NewTicker(pollInterval)
	defer tck.Stop()
	for {
		lagging, leading := svc.sessions.Lagging(ans.GetRecord().GetNumber())
		ans.Lagging = lagging
		ans.InForce = leading && len(lagging) == 0
		if ans.GetInForce() || !time.Now().Before(end) {
			return ans, nil
		}
		select {
		case <-tck.C:
		case <-ctx.Done():
			// The change is already accepted, so the caller gets that answer instead of an error.
			return ans, nil
		}
	}
}
