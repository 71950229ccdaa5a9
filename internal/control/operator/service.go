package operator

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/agent"
	"github.com/siskinrill/siskinrill/internal/control/member"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Service implements the gRPC service for operators.
type Service struct {
	controlpb.UnimplementedOperatorServiceServer

	log      siskinrill.ReplicatedLog
	registry siskinrill.Registry
	sessions *agent.Sessions
}

var _ controlpb.OperatorServiceServer = (*Service)(nil)

// New returns the operator service of one control process.
func New(log siskinrill.ReplicatedLog, reg siskinrill.Registry, ses *agent.Sessions) *Service {
	return &Service{log: log, registry: reg, sessions: ses}
}

// Register adds the operator service to a gRPC server.
func (svc *Service) Register(reg grpc.ServiceRegistrar) {
	controlpb.RegisterOperatorServiceServer(reg, svc)
}

// statusError converts an error of the log into a gRPC status. A process that does not lead returns
// FAILED_PRECONDITION with the message "leader=IP:PORT" (no address while the leader is unknown) and a Redirect as
// detail. A refused membership change returns FAILED_PRECONDITION without a Redirect.
func (svc *Service) statusError(err error) error {
	var nle *siskinrill.NotLeaderError
	var che *member.ChangeError
	var mbe *raft.MembersError
	switch {
	case errors.As(err, &nle):
		return notLeaderError(nle.Address())
	case errors.As(err, &che), errors.As(err, &mbe):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return status.Errorf(codes.DeadlineExceeded, "outcome unknown: %v", err)
	case errors.Is(err, context.Canceled):
		return status.Errorf(codes.Canceled, "outcome unknown: %v", err)
	}
	if sts, ok := status.FromError(err); ok {
		return sts.Err()
	}
	return status.Errorf(codes.Unavailable, "outcome unknown: %v", err)
}

func notLeaderError(addr string) error {
	sts := status.New(codes.FailedPrecondition, "leader="+addr)
	detailed, err := sts.WithDetails(&controlpb.Redirect{LeaderAddress: addr, Reason: "not_leader"})
	if err != nil {
		return sts.Err()
	}
	return detailed.Err()
}

// confirm returns nil once this process is confirmed as the leader, so that a read may be answered.
func (svc *Service) confirm(ctx context.Context) error {
	if err := svc.log.ConfirmLeadership(ctx); err != nil {
		return svc.statusError(err)
	}
	return nil
}

// Show returns the current configuration and the registry's index.
func (svc *Service) Show(ctx context.Context, _ *controlpb.ShowRequest) (*controlpb.ShowAnswer, error) {
	if err := svc.confirm(ctx); err != nil {
		return nil, err
	}
	ans := &controlpb.ShowAnswer{}
	svc.registry.View(func(stt *controlpb.RegistryState) {
		// A configuration is only ever replaced, never modified, so it may be used outside the view.
		ans.Configuration, ans.Index = stt.GetConfiguration(), stt.GetIndex()
	})
	return ans, nil
}

// ChangeMembers adds, removes or replaces a member of the control group, or transfers its leadership.
func (svc *Service) ChangeMembers(ctx context.Context, req *controlpb.MembersRequest) (*controlpb.MembersAnswer, error) {
	ans, err := svc.log.ChangeMembers(ctx, req)
	if err != nil {
		return nil, svc.statusError(err)
	}
	return ans, nil
}
