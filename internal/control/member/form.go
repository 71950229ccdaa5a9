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

// form queries the store ids of all other initial members until every one has answered, then forms the cluster.
//
// It returns without forming one if a member already belongs to a cluster: this host has then lost its disk, and an
// operator must replace the member.
func (grp *Group) form(ctx context.Context) {
	for ctx.Err() == nil {
		mbs, formed := grp.gatherInitialMembers(ctx)
		if formed != "" {
			grp.opt.Logger.Warnf("member: not forming a cluster because %s already belongs to one; waiting until an operator adds this process", formed)
			return
		}
		if mbs != nil {
			grp.distributeFormation(ctx, mbs)
			return
		}
		sleep(ctx, formRetryInterval)
	}
}

// gatherInitialMembers returns the initial membership, or nil while a member does not answer, and the name of a
// member that already belongs to a cluster.
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
			grp.opt.Logger.Warnf("member: the process at %s identifies itself as %q, but initial_members names it %q", per.Address, ans.GetName(), per.Name)
			return nil, ""
		}
		mbs.Members = append(mbs.Members, &controlpb.Member{Id: mbs.NextId, Name: per.Name, StoreId: ans.GetStoreId(), Address: per.Address})
		mbs.NextId++
	}
	return mbs, ""
}

// distributeFormation records the formation in this process first and then sends it to the other members. A member
// that is not reached joins when it receives the leader's messages.
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
			grp.opt.Logger.Warnf("member: %s did not receive the formation and joins when the leader contacts it: %v", mem.GetName(), err)
		}
	}
}

// acceptFormation records a formation that contains this store; it must run in the loop.
func (grp *Group) acceptFormation(mbs *controlpb.Members) bool {
	if grp.rft != nil {
		return grp.ClusterID() == mbs.GetClusterId()
	}
	if newestID([]*controlpb.Members{mbs}, grp.opt.Name, grp.wal.StoreID()) == 0 {
		return false
	}
	// Entry 1 of term 1 is the same on every initial member. All of them start in term 1, so no
	// leader is elected in it.
	ent := &controlpb.Entry{Index: 1, Term: 1, Kind: controlpb.EntryKind_ENTRY_KIND_MEMBERS, Data: raft.EncodeMembers(mbs)}
	hst := &controlpb.HardState{Term: 1, Commit: 1}
	return grp.formAndStart(mbs, hst, []*controlpb.Entry{ent})
}

// adoptMemberID makes this process the member that a message is addressed to. The sender's membership contains this
// store, so a leader has added it.
//
// Until the process receives the membership it regards itself as a learner and does not campaign.
func (grp *Group) adoptMemberID(arr arrival) {
	self := &controlpb.Member{Id: arr.msg.GetTo(), Name: grp.opt.Name, StoreId: grp.wal.StoreID(), Address: grp.opt.Address, Learner: true}
	grp.formAndStart(&controlpb.Members{ClusterId: arr.clusterID, Members: []*controlpb.Member{self}}, nil, nil)
}

func (grp *Group) formAndStart(mbs *controlpb.Members, hst *controlpb.HardState, ents []*controlpb.Entry) bool {
	err := grp.wal.Form(mbs, wal.Batch{HardState: hst, Entries: ents})
	var dfe *wal.DiskFullError
	if errors.As(err, &dfe) {
		// The sender retries.
		grp.opt.Logger.Errorf("member: the formation cannot be stored: %v", err)
		return false
	}
	if err == nil {
		err = grp.start(raft.Initial{HardState: hst, Members: mbs, Entries: ents})
	}
	if err != nil {
		grp.formationErr = err
	}
	return err == nil
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

// callProcess makes one request over a new connection.
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
