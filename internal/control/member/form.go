package member

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/control/wal"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	formRetryInterval = 200 * time.Millisecond // between attempts to reach all initial members
	formTimeout       = time.Second            // of one request to another initial member
)

// form asks all other initial members for their store ids until every one answers, then founds the cluster.
//
// It ends without a cluster when one of them already belongs to one: this host has lost its disk and must be replaced by command.
func (grp *Group) form(ctx context.Context) {
	for ctx.Err() == nil {
		mbs, formed := grp.gatherInitialMembers(ctx)
		if formed != "" {
			grp.opt.Logger.Warnf("member: %s already belongs to a cluster, this process waits until it is added", formed)
			return
		}
		if mbs != nil {
			grp.distributeFormation(ctx, mbs)
			return
		}
		sleep(ctx, formRetryInterval)
	}
}

// gatherInitialMembers returns the founding membership, nil while a member does not answer, and the name of a member that already belongs to a cluster.
func (grp *Group) gatherInitialMembers(ctx context.Context) (*controlpb.Members, string) {
	mbs := &controlpb.Members{ClusterId: uuid.NewString(), NextId: 1}
	for _, per := range grp.opt.InitialMembers {
		ans := &controlpb.IdentifyAnswer{Name: grp.opt.Name, StoreId: grp.wal.StoreID()}
		if per.Name != grp.opt.Name {
			var err error
			if ans, err = identify(ctx, per.Address); err != nil {
				return nil, ""
			}
		}
		if ans.GetFormed() {
			return nil, per.Name
		}
		if ans.GetName() != per.Name {
			grp.opt.Logger.Warnf("member: %s answers as %q, the initial members name it %q", per.Address, ans.GetName(), per.Name)
			return nil, ""
		}
		mbs.Members = append(mbs.Members, &controlpb.Member{Id: mbs.NextId, Name: per.Name, StoreId: ans.GetStoreId(), Address: per.Address})
		mbs.NextId++
	}
	return mbs, ""
}

// distributeFormation records the formation here first, then at the others; one that is not reached joins by the leader's messages.
func (grp *Group) distributeFormation(ctx context.Context, mbs *controlpb.Members) {
	accepted := false
	if err := grp.call(ctx, func() { accepted = grp.acceptFormation(mbs) }); err != nil || !accepted {
		return
	}
	for _, mem := range mbs.GetMembers() {
		if mem.GetName() == grp.opt.Name {
			continue
		}
		if err := sendForm(ctx, mem.GetAddress(), mbs); err != nil {
			grp.opt.Logger.Warnf("member: %s has not recorded the formation yet: %v", mem.GetName(), err)
		}
	}
}

// acceptFormation records a formation that names this store; it runs in the loop.
func (grp *Group) acceptFormation(mbs *controlpb.Members) bool {
	if grp.rft != nil {
		return grp.ClusterID() == mbs.GetClusterId()
	}
	if !containsMember(mbs, grp.opt.Name, grp.wal.StoreID()) {
		return false
	}
	// Entry 1 of term 1 is the same at every founding member, and no leader is elected in term 1, because all begin with it.
	ent := &controlpb.Entry{Index: 1, Term: 1, Kind: controlpb.EntryKind_ENTRY_KIND_MEMBERS, Data: raft.EncodeMembers(mbs)}
	hst := &controlpb.HardState{Term: 1, Commit: 1}
	return grp.formAndStart(mbs, hst, []*controlpb.Entry{ent})
}

// adoptMemberID makes this process the member that a message is meant for: the sender's membership holds this store, so a leader has added it.
//
// Until it receives the membership it knows itself as a learner only, and therefore does not campaign.
func (grp *Group) adoptMemberID(arr arrival) {
	self := &controlpb.Member{Id: arr.msg.GetTo(), Name: grp.opt.Name, StoreId: grp.wal.StoreID(), Address: grp.opt.Address, Learner: true}
	grp.formAndStart(&controlpb.Members{ClusterId: arr.clusterID, Members: []*controlpb.Member{self}}, nil, nil)
}

func (grp *Group) formAndStart(mbs *controlpb.Members, hst *controlpb.HardState, ents []*controlpb.Entry) bool {
	err := grp.wal.Form(mbs, wal.Batch{HardState: hst, Entries: ents})
	var fle *wal.FullError
	if errors.As(err, &fle) {
		// The sender tries again.
		grp.opt.Logger.Errorf("member: the formation is not accepted: %v", err)
		return false
	}
	if err == nil {
		err = grp.start(mbs, raft.Initial{HardState: hst, Members: mbs, Entries: ents})
	}
	if err != nil {
		grp.formationErr = err
	}
	return err == nil
}

func containsMember(mbs *controlpb.Members, name, sid string) bool {
	for _, mem := range mbs.GetMembers() {
		if mem.GetName() == name && mem.GetStoreId() == sid {
			return true
		}
	}
	return false
}

func identify(ctx context.Context, addr string) (*controlpb.IdentifyAnswer, error) {
	var ans *controlpb.IdentifyAnswer
	err := callProcess(ctx, addr, func(ctx context.Context, cln controlpb.MemberServiceClient) error {
		var err error
		ans, err = cln.Identify(ctx, &controlpb.IdentifyRequest{})
		return err
	})
	return ans, err
}

func sendForm(ctx context.Context, addr string, mbs *controlpb.Members) error {
	return callProcess(ctx, addr, func(ctx context.Context, cln controlpb.MemberServiceClient) error {
		_, err := cln.Form(ctx, &controlpb.FormRequest{Members: mbs})
		return err
	})
}

// callProcess makes one request over a connection of its own.
func callProcess(ctx context.Context, addr string, fn func(context.Context, controlpb.MemberServiceClient) error) error {
	cnn, err := dial(addr)
	if err != nil {
		return err
	}
	defer cnn.Close()
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	return fn(ctx, controlpb.NewMemberServiceClient(cnn))
}

func dial(addr string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr, dialOptions...)
}

func sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
