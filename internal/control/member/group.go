package member

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/control/wal"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Group is one control process's part of the replicated log; it implements siskinrill.Log.
type Group struct {
	opt           Options
	wal           *wal.Log
	inbox         chan arrival
	proposals     chan *proposal
	confirmations chan *confirmation
	calls         chan call
	joinRequests  chan *controlpb.JoinRequest
	stopped       chan struct{}
	changeLock    sync.Mutex

	mu       sync.Mutex
	pub      published
	contacts []string // addresses of members that take this process for its predecessor

	// The fields below are owned by the goroutine of Run.
	rft                  *raft.Raft
	applied              uint64
	snapshotIndex        uint64 // index of the newest snapshot
	bytesSinceSnapshot   int    // bytes of commands applied since that snapshot
	pendingProposals     map[uint64]*proposal
	startedConfirmations []*confirmation
	newConfirmations     []*confirmation // not yet assigned to a heartbeat round
	peers                map[uint64]*peer
	endpoints            map[uint64]endpoint
	stopping             bool
	stopFrom             time.Time // begin of a planned stop
	snapshotFailedAt     time.Time // last time that the disk was too full for a snapshot
	formationErr         error     // a formation that could not be stored; stops the loop
	loopErr              error     // why the loop stopped; set before stopped is closed
}

var _ siskinrill.ReplicatedLog = (*Group)(nil)

// New opens the data directory and restores the registry; the error may be a *wal.DamageError or a *wal.LockedError.
func New(opt Options) (*Group, error) {
	opt = opt.withDefaults()
	lg, sta, err := wal.Open(wal.Options{Dir: opt.DataDir, FileSystem: opt.FileSystem})
	if err != nil {
		return nil, err
	}
	grp := &Group{
		opt: opt, wal: lg,
		inbox:            make(chan arrival, inboxLimit),
		proposals:        make(chan *proposal, requestLimit),
		confirmations:    make(chan *confirmation, requestLimit),
		calls:            make(chan call, requestLimit),
		joinRequests:     make(chan *controlpb.JoinRequest, joinQueueLimit),
		stopped:          make(chan struct{}),
		pendingProposals: map[uint64]*proposal{},
		peers:            map[uint64]*peer{},
		endpoints:        map[uint64]endpoint{},
		pub:              newPublished(lg.StoreID()),
	}
	if err := grp.restore(sta); err != nil {
		return nil, errors.Join(err, lg.Close())
	}
	return grp, nil
}

func (grp *Group) restore(sta *wal.State) error {
	if snp := sta.Snapshot(); snp != nil {
		if err := grp.opt.Registry.Restore(snp.GetData()); err != nil {
			return errors.Wrap(err, "restore the registry")
		}
		grp.applied, grp.snapshotIndex = snp.GetIndex(), snp.GetIndex()
	}
	if sta.Formation() == nil {
		grp.logf("new data directory, store %s", grp.wal.StoreID())
		return nil
	}
	return grp.start(raft.Initial{
		HardState: sta.HardState(), Snapshot: sta.Snapshot(), Members: sta.Formation(), Entries: sta.Entries(),
	})
}

// start creates the raft member with the newest id that the durable state assigns to this name and store.
func (grp *Group) start(ini raft.Initial) error {
	mid, cid := newestID(ini.Memberships(), grp.opt.Name, grp.wal.StoreID()), ini.Members.GetClusterId()
	if mid == 0 {
		return errors.Errorf("the data directory does not belong to member %q", grp.opt.Name)
	}
	grp.rft = raft.New(raft.Options{ID: mid, Seed: grp.opt.Seed, ElectionTicks: grp.opt.ElectionTicks}, ini)
	grp.mu.Lock()
	grp.pub.clusterID = cid
	grp.mu.Unlock()
	grp.logf("started as member %d of cluster %s, term %d, last entry %d", mid, cid, grp.rft.Term(), grp.rft.LastIndex())
	return nil
}

// Register adds the service for other control processes to a gRPC server, which must accept
// messages of up to MaxMessageBytes.
func (grp *Group) Register(reg grpc.ServiceRegistrar) {
	controlpb.RegisterMemberServiceServer(reg, &server{grp: grp})
}

// Run drives the log until the context ends, Stop is called, or the disk fails, and must be called once; while the
// disk is full, this process takes no part in replication.
func (grp *Group) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var wgr sync.WaitGroup
	if grp.rft == nil && len(grp.opt.InitialMembers) > 0 && grp.opt.InitialMembers[0].Name == grp.opt.Name {
		wgr.Go(func() { grp.form(ctx) })
	}
	if len(grp.opt.Seeds) > 0 {
		wgr.Go(func() { grp.join(ctx) })
		wgr.Go(func() { grp.repair(ctx) })
	}
	err := grp.loop(ctx, &wgr)
	grp.failPending(err)
	cancel()
	wgr.Wait()
	if cerr := grp.wal.Close(); err == nil && cerr != nil {
		err = errors.Wrap(cerr, "close the log")
	}
	return err
}

// failPending answers all pending proposals and confirmations with the reason for the stop.
func (grp *Group) failPending(err error) {
	grp.loopErr = err
	if err != nil {
		grp.opt.Logger.Errorf("member: replication stopped: %v", err)
	}
	close(grp.stopped)
	cause := &StoppedError{cause: err}
	grp.failProposals(cause)
	grp.failConfirmations(cause)
	grp.mu.Lock()
	grp.pub.clearLeading()
	grp.mu.Unlock()
}

// Stop transfers leadership and stops Run; it returns once the loop has stopped, or with the context's error.
func (grp *Group) Stop(ctx context.Context) error {
	err := grp.call(ctx, grp.beginStop)
	var spe *StoppedError
	if errors.As(err, &spe) {
		return nil
	}
	if err != nil {
		return err
	}
	select {
	case <-grp.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (grp *Group) beginStop() {
	grp.stopping = true
	if grp.rft == nil {
		return
	}
	grp.stopFrom = time.Now()
	grp.rft.SetLeaving()
	if grp.rft.Role() != raft.Leader {
		return
	}
	if nxt := grp.rft.Successor(); nxt != 0 {
		grp.logf("transferring leadership to member %d", nxt)
		_ = grp.rft.Transfer(nxt)
	}
}

// call runs fn in the loop and waits for it.
func (grp *Group) call(ctx context.Context, fn func()) error {
	cal := call{fn: fn, done: make(chan struct{})}
	select {
	case grp.calls <- cal:
	case <-grp.stopped:
		return &StoppedError{cause: grp.loopErr}
	case <-ctx.Done():
		return ctx.Err()
	}
	// This wait ignores ctx, because fn may write variables of the caller. The loop reaches fn after one sync at most.
	select {
	case <-cal.done:
		return nil
	case <-grp.stopped:
		return &StoppedError{cause: grp.loopErr}
	}
}

// call is a function to run in the loop.
type call struct {
	fn   func()
	done chan struct{}
}

func (grp *Group) logf(format string, args ...any) {
	grp.opt.Logger.Infof("member: "+format, args...)
}

// withDefaultTimeout limits a context that has no deadline of its own.
func withDefaultTimeout(ctx context.Context, dur time.Duration) (context.Context, context.CancelFunc) {
	if _, set := ctx.Deadline(); set {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, dur)
}
