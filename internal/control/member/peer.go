package member

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/control/raft"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	reconnectDelay = 50 * time.Millisecond  // after a failed stream
	pingInterval   = 250 * time.Millisecond // while a stream is open
	pingTimeout    = 250 * time.Millisecond // without an answer, the connection counts as unresponsive and is replaced
	idleTimeout    = 5 * time.Second        // without a message, the connection is closed
	batchLimit     = 64                     // messages in one RaftBatch
	batchBytes     = 1 << 20                // bytes of content after which no message is added to a RaftBatch
	// snapshotPingTimeout applies while a snapshot is in transit, because its bytes in the socket
	// delay the answer to a ping.
	snapshotPingTimeout = 10 * time.Second
)

var dialOptions = []grpc.DialOption{
	grpc.WithTransportCredentials(insecure.NewCredentials()),
	grpc.WithConnectParams(grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 1.5, MaxDelay: pingInterval},
		MinConnectTimeout: pingInterval,
	}),
}

// peer sends messages to one member.
type peer struct {
	grp          *Group
	endpoint     endpoint
	clusterID    string
	queue        chan *controlpb.RaftMessage
	cancel       context.CancelFunc
	snapshotSent atomic.Bool // a snapshot was sent since the last ping
}

// sendAll queues messages for their receivers. A message that finds a full queue is dropped, because raft sends again.
func (grp *Group) sendAll(ctx context.Context, wgr *sync.WaitGroup, msgs []*controlpb.RaftMessage) {
	for _, msg := range msgs {
		per := grp.peerOf(ctx, wgr, msg.GetTo())
		if per == nil {
			continue
		}
		if msg.GetKind() == controlpb.RaftKind_RAFT_KIND_SNAPSHOT {
			if msg = grp.withSnapshotData(msg); msg == nil {
				continue
			}
		}
		select {
		case per.queue <- msg:
		default:
		}
	}
}

// withSnapshotData returns the message with the content of the snapshot file, or nil if a newer snapshot
// has just replaced the file.
func (grp *Group) withSnapshotData(msg *controlpb.RaftMessage) *controlpb.RaftMessage {
	snp, err := grp.wal.LoadSnapshot(msg.GetSnapshot().GetIndex())
	if err != nil {
		grp.opt.Logger.Warnf("member: cannot read the snapshot for member %d: %v", msg.GetTo(), err)
		return nil
	}
	cpy := proto.CloneOf(msg)
	cpy.Snapshot = snp
	return cpy
}

// peerOf returns the sender to a member, starting it on first use, or nil if the member's address is unknown.
func (grp *Group) peerOf(ctx context.Context, wgr *sync.WaitGroup, mid uint64) *peer {
	ept, known := grp.endpointOf(mid)
	per := grp.peers[mid]
	if per != nil && per.endpoint == ept {
		return per
	}
	if per != nil {
		per.cancel()
		delete(grp.peers, mid)
	}
	if !known {
		return nil
	}
	pctx, cancel := context.WithCancel(ctx)
	per = &peer{grp: grp, endpoint: ept, clusterID: grp.ClusterID(), queue: make(chan *controlpb.RaftMessage, peerQueueLimit), cancel: cancel}
	grp.peers[mid] = per
	wgr.Go(func() { per.run(pctx) })
	return per
}

func (grp *Group) endpointOf(mid uint64) (endpoint, bool) {
	if mem := memberWithID(grp.rft.Members(), mid); mem != nil {
		return endpoint{storeID: mem.GetStoreId(), address: mem.GetAddress()}, true
	}
	ept, known := grp.endpoints[mid]
	return ept, known && ept.address != ""
}

// closePeers stops the senders to removed members. Only a leader tracks the progress of
// members, so other roles keep them.
func (grp *Group) closePeers() {
	if grp.rft.Role() != raft.Leader || len(grp.peers) < len(grp.rft.Members().GetMembers()) {
		return
	}
	for mid, per := range grp.peers {
		if _, known := grp.rft.Progress(mid); !known {
			per.cancel()
			delete(grp.peers, mid)
			delete(grp.endpoints, mid)
		}
	}
}

// run opens a stream whenever there is a message to send.
func (per *peer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-per.queue:
			if err := per.runStream(ctx, msg); err != nil {
				per.grp.opt.Logger.Debugf("member: stream to %s failed: %v", per.endpoint.address, err)
				sleep(ctx, reconnectDelay)
				per.dropQueued()
			}
		}
	}
}

// dropQueued drops the messages that were queued for a failed stream; raft has newer ones by then.
func (per *peer) dropQueued() {
	for {
		select {
		case <-per.queue:
		default:
			return
		}
	}
}

// runStream sends over one connection until the connection fails or is idle.
func (per *peer) runStream(ctx context.Context, msg *controlpb.RaftMessage) error {
	cnn, err := dial(per.endpoint.address)
	if err != nil {
		return err
	}
	defer cnn.Close()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	cln := controlpb.NewMemberServiceClient(cnn)
	var wgr sync.WaitGroup
	defer wgr.Wait()
	defer cancel(nil)
	wgr.Go(func() { cancel(per.ping(ctx, cln)) })
	stm, err := cln.Exchange(metadata.AppendToOutgoingContext(ctx,
		metaToStore, per.endpoint.storeID, metaFromStore, per.grp.wal.StoreID(), metaFromAddress, per.grp.opt.Address))
	if err != nil {
		return err
	}
	return per.send(ctx, stm, msg)
}

func (per *peer) send(ctx context.Context, stm grpc.ClientStreamingClient[controlpb.RaftBatch, controlpb.RaftBatchAnswer], msg *controlpb.RaftMessage) error {
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		err := stm.Send(per.nextBatch(msg))
		if err == io.EOF {
			_, err = stm.CloseAndRecv()
		}
		if err != nil {
			return err
		}
		idle.Reset(idleTimeout)
		select {
		case msg = <-per.queue:
		case <-idle.C:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// nextBatch returns a batch of msg and the messages that are already queued, up to the limits.
func (per *peer) nextBatch(msg *controlpb.RaftMessage) *controlpb.RaftBatch {
	bat := &controlpb.RaftBatch{ClusterId: per.clusterID, Messages: []*controlpb.RaftMessage{msg}}
	for size := per.contentBytes(msg); len(bat.Messages) < batchLimit && size < batchBytes; {
		select {
		case nxt := <-per.queue:
			bat.Messages = append(bat.Messages, nxt)
			size += per.contentBytes(nxt)
		default:
			return bat
		}
	}
	return bat
}

// contentBytes returns the size of the entries and the snapshot in a message, and records that
// a snapshot is being sent.
func (per *peer) contentBytes(msg *controlpb.RaftMessage) int {
	if msg.GetSnapshot() != nil {
		per.snapshotSent.Store(true)
	}
	size := len(msg.GetSnapshot().GetData())
	for _, ent := range msg.GetEntries() {
		size += len(ent.GetData())
	}
	return size
}

// ping returns an error once the connection no longer answers; a client stream alone would not detect that.
func (per *peer) ping(ctx context.Context, cln controlpb.MemberServiceClient) error {
	for {
		sleep(ctx, pingInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		limit := pingTimeout
		if per.snapshotSent.Swap(false) {
			limit = snapshotPingTimeout
		}
		pctx, cancel := context.WithTimeout(ctx, limit)
		_, err := cln.Identify(pctx, &controlpb.IdentifyRequest{})
		cancel()
		if err != nil {
			return err
		}
	}
}
