package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	joinRetryInterval = 100 * time.Millisecond // between attempts to form or to join a cluster
	joinTimeout       = 400 * time.Millisecond // of one join request; short, so that an unreachable seed hardly delays the next round
	joinQueueLimit    = 16                     // join requests that wait for the leader; more are dropped, because processes send them again
	contactLimit      = 16                     // recorded addresses of members; more are dropped, because members send again
	// contactCheckInterval is the time between checks whether a member still hears from a leader.
	contactCheckInterval = 250 * time.Millisecond
	// rejoinDelay is how long a member hears from no leader before it asks whether it was removed; elections are shorter.
	rejoinDelay = 750 * time.Millisecond
	// rejoinInterval is the time between these questions, which are also asked while the whole group has no leader.
	rejoinInterval = 500 * time.Millisecond
)

// join makes a process that was started with seeds a member, and keeps it one. The seed with the lowest address forms the
// cluster on the first start; every other process requests to join until it hears from a leader.
//
// A voter that is silent for long may be removed while a new process joins. If it was only cut off, it returns with a copy of
// the membership that still lists it, and nobody sends to it any more. A member that hears from no leader therefore requests
// to join too; a leader ignores the request of a process that is a member.
func (grp *Group) join(ctx context.Context) {
	var learned []string
	contact := time.Now()
	for ctx.Err() == nil {
		sta := grp.joinState(ctx)
		switch {
		case sta.inContact:
			contact = time.Now()
			sleep(ctx, contactCheckInterval)
			continue
		case sta.member && time.Since(contact) < rejoinDelay:
			sleep(ctx, contactCheckInterval)
			continue
		case !sta.member && grp.mayForm() && grp.formFromSeeds(ctx):
			continue
		}
		learned = append(learned, grp.takeContacts()...)
		learned = grp.requestJoins(ctx, append(sta.addresses, learned...))
		if sta.member {
			sleep(ctx, rejoinInterval)
			continue
		}
		sleep(ctx, joinRetryInterval)
	}
}

// joinState is what this process knows of its membership.
type joinState struct {
	member    bool     // it belongs to a cluster
	inContact bool     // it leads or hears from a leader
	addresses []string // to ask where it is not in contact
}

func (grp *Group) joinState(ctx context.Context) joinState {
	sta := joinState{addresses: slices.Clone(grp.opt.Seeds)}
	_ = grp.call(ctx, func() {
		if grp.rft == nil {
			return
		}
		sta.member, sta.inContact = true, grp.rft.LeaderID() != 0
		if sta.inContact {
			return
		}
		for _, mem := range grp.rft.Members().GetMembers() {
			sta.addresses = append(sta.addresses, mem.GetAddress())
		}
	})
	return sta
}

// recordContact keeps the address of a member that takes this process for its predecessor with another store. A process that has
// lost its disk may find no member at its seeds.
func (grp *Group) recordContact(addr string) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	if addr != "" && len(grp.contacts) < contactLimit && !slices.Contains(grp.contacts, addr) {
		grp.contacts = append(grp.contacts, addr)
	}
}

// takeContacts returns the recorded addresses and forgets them.
func (grp *Group) takeContacts() []string {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	addrs := grp.contacts
	grp.contacts = nil
	return addrs
}

// requestJoins sends a join request to each address at the same time and returns the addresses that the answers contain.
func (grp *Group) requestJoins(ctx context.Context, addrs []string) []string {
	slices.Sort(addrs)
	addrs = slices.Compact(addrs)
	var (
		mu  sync.Mutex
		out []string
		wgr sync.WaitGroup
	)
	for _, addr := range addrs {
		if addr == "" || addr == grp.opt.Address {
			continue
		}
		wgr.Go(func() {
			got := grp.requestJoin(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, got...)
		})
	}
	wgr.Wait()
	return out
}

// mayForm reports whether this process may form the cluster; only one seed may, so that two clusters never form.
func (grp *Group) mayForm() bool {
	return grp.opt.Bootstrap && grp.ClusterID() == "" && slices.Min(grp.opt.Seeds) == grp.opt.Address
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
		}
		ans.Member = memberOf(srv.grp.rft.Members(), req.GetStoreId()) != nil
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
