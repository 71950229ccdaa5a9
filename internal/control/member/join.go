package member

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	joinRetryInterval = 100 * time.Millisecond // between attempts to form or to join a cluster
	joinTimeout       = 400 * time.Millisecond // of one join request; short, so that an unreachable seed hardly delays the requests to the others
	joinQueueLimit    = 16                     // join requests that wait for the leader; more are dropped, because processes send them again
)

// join makes a process that was started with seeds a voter. The seed with the lowest address forms the cluster on
// the first start; every other process requests to join until the leader has promoted it.
func (grp *Group) join(ctx context.Context) {
	addrs := slices.Clone(grp.opt.Seeds)
	for ctx.Err() == nil && !grp.isVoter(ctx) {
		if grp.mayForm() && grp.formFromSeeds(ctx) {
			return
		}
		for _, addr := range addrs {
			if addr == grp.opt.Address {
				continue
			}
			for _, got := range grp.requestJoin(ctx, addr) {
				if got != "" && !slices.Contains(addrs, got) {
					addrs = append(addrs, got)
				}
			}
		}
		sleep(ctx, joinRetryInterval)
	}
}

// mayForm reports whether this process may form the cluster; only one seed may, so that two clusters never form.
func (grp *Group) mayForm() bool {
	return grp.opt.Bootstrap && grp.ClusterID() == "" && slices.Min(grp.opt.Seeds) == grp.opt.Address
}

// isVoter reports whether this process is a voter according to its copy of the membership.
func (grp *Group) isVoter(ctx context.Context) bool {
	voter := false
	_ = grp.call(ctx, func() {
		if grp.rft == nil {
			return
		}
		for _, mem := range grp.rft.Members().GetMembers() {
			voter = voter || mem.GetId() == grp.rft.ID() && !mem.GetLearner()
		}
	})
	return voter
}

// formFromSeeds forms the cluster once all seeds answer and none belongs to a cluster.
func (grp *Group) formFromSeeds(ctx context.Context) bool {
	mbs := &controlpb.Members{ClusterId: uuid.NewString(), NextId: 1}
	for _, addr := range grp.opt.Seeds {
		ans := &controlpb.IdentifyAnswer{Name: grp.opt.Name, StoreId: grp.wal.StoreID()}
		if addr != grp.opt.Address {
			var err error
			if ans, err = identify(ctx, addr); err != nil || ans.GetFormed() {
				return false
			}
		}
		mbs.Members = append(mbs.Members, &controlpb.Member{Id: mbs.NextId, Name: ans.GetName(), StoreId: ans.GetStoreId(), Address: addr})
		mbs.NextId++
	}
	grp.distributeFormation(ctx, mbs)
	return true
}

// requestJoin returns the member addresses that the answer contains.
func (grp *Group) requestJoin(ctx context.Context, addr string) []string {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var ans *controlpb.JoinAnswer
	err := callProcess(ctx, addr, func(ctx context.Context, cln controlpb.MemberServiceClient) error {
		var err error
		ans, err = cln.Join(ctx, &controlpb.JoinRequest{Name: grp.opt.Name, StoreId: grp.wal.StoreID(), Address: grp.opt.Address})
		return err
	})
	if err != nil {
		grp.opt.Logger.Debugf("member: join request to %s failed: %v", addr, err)
		return nil
	}
	return append(ans.GetAddresses(), ans.GetLeaderAddress())
}

// Join queues the request of another control process if this process leads, and returns the addresses of
// the leader and the members.
func (srv *server) Join(ctx context.Context, req *controlpb.JoinRequest) (*controlpb.JoinAnswer, error) {
	ans := &controlpb.JoinAnswer{}
	leading := false
	err := srv.grp.callIfMember(ctx, func() error {
		leading = srv.grp.rft.Role() == raft.Leader
		ans.LeaderAddress = srv.grp.addressOf(srv.grp.rft.LeaderID())
		for _, mem := range srv.grp.rft.Members().GetMembers() {
			ans.Addresses = append(ans.Addresses, mem.GetAddress())
			ans.Member = ans.Member || mem.GetStoreId() == req.GetStoreId() && !mem.GetLearner()
		}
		return nil
	})
	if err == nil && leading && !ans.GetMember() {
		select {
		case srv.grp.joinRequests <- req:
		default:
		}
	}
	return ans, nil
}
