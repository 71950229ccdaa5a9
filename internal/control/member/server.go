package member

import (
	"context"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Metadata keys of an Exchange stream.
const (
	metaToStore     = "siskinrill-to-store"     // store id of the intended receiver; a process whose data directory was lost and recreated refuses the stream
	metaFromStore   = "siskinrill-from-store"   // store id of the sender
	metaFromAddress = "siskinrill-from-address" // address for answers while the receiver's membership does not contain the sender
)

// endpoint identifies the store of a member and the address it is reached at.
type endpoint struct {
	storeID string
	address string
}

// arrival is a message from another member.
type arrival struct {
	clusterID string
	from      endpoint
	msg       *controlpb.RaftMessage
}

// server implements the gRPC service for other control processes.
type server struct {
	controlpb.UnimplementedMemberServiceServer
	grp *Group
}

// Exchange receives messages for the store that the stream names, and drops messages that do not fit into the inbox.
func (srv *server) Exchange(stm grpc.ClientStreamingServer[controlpb.RaftBatch, controlpb.RaftBatchAnswer]) error {
	mdt, _ := metadata.FromIncomingContext(stm.Context())
	if sid := firstValue(mdt, metaToStore); sid != srv.grp.wal.StoreID() {
		srv.grp.recordContact(firstValue(mdt, metaFromAddress))
		return status.Errorf(codes.FailedPrecondition, "this is store %s, not %s", srv.grp.wal.StoreID(), sid)
	}
	ept := endpoint{storeID: firstValue(mdt, metaFromStore), address: firstValue(mdt, metaFromAddress)}
	for {
		bat, err := stm.Recv()
		if err == io.EOF {
			return stm.SendAndClose(&controlpb.RaftBatchAnswer{})
		}
		if err != nil {
			return err
		}
		if err := srv.enqueue(bat, ept); err != nil {
			return err
		}
	}
}

func (srv *server) enqueue(bat *controlpb.RaftBatch, ept endpoint) error {
	if cid := srv.grp.ClusterID(); bat.GetClusterId() == "" || (cid != "" && cid != bat.GetClusterId()) {
		return status.Errorf(codes.FailedPrecondition, "this is cluster %q, not %q", cid, bat.GetClusterId())
	}
	for _, msg := range bat.GetMessages() {
		select {
		case <-srv.grp.stopped:
			return status.Error(codes.Unavailable, "the log has ended")
		case srv.grp.inbox <- arrival{clusterID: bat.GetClusterId(), from: ept, msg: msg}:
		default:
		}
	}
	return nil
}

// Identify returns the name, store id and cluster of this process.
func (srv *server) Identify(context.Context, *controlpb.IdentifyRequest) (*controlpb.IdentifyAnswer, error) {
	select {
	case <-srv.grp.stopped:
		return nil, status.Error(codes.Unavailable, "the log has ended")
	default:
	}
	cid := srv.grp.ClusterID()
	return &controlpb.IdentifyAnswer{
		Name: srv.grp.opt.Name, StoreId: srv.grp.wal.StoreID(), Formed: cid != "", ClusterId: cid,
	}, nil
}

// Form makes this process a member of a new cluster, unless it already belongs to one.
func (srv *server) Form(ctx context.Context, req *controlpb.FormRequest) (*controlpb.FormAnswer, error) {
	accepted := false
	err := srv.grp.call(ctx, func() { accepted = srv.grp.acceptFormation(req.GetMembers()) })
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &controlpb.FormAnswer{Accepted: accepted}, nil
}

func firstValue(mdt metadata.MD, key string) string {
	vals := mdt.Get(key)
	if len(vals) == 0 {
		return ""
	}
	return vals[0]
}
