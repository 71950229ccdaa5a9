package operator

import (
	"context"
	"slices"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Release forgets the crashes of a request, which ends its quarantine.
func (svc *Service) Release(ctx context.Context, req *controlpb.ReleaseRequest) (*controlpb.ReleaseAnswer, error) {
	ans := &controlpb.ReleaseAnswer{}
	svc.registry.View(func(stt *controlpb.RegistryState) {
		ans.Known = slices.ContainsFunc(stt.GetSuspects(), func(sus *controlpb.Suspect) bool { return sus.GetRequest() == req.GetRequest() })
	})
	if _, err := svc.log.Propose(ctx, registry.ForgetSuspects(req.GetRequest())); err != nil {
		return nil, svc.statusError(err)
	}
	return ans, nil
}
