package agent

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// newOwnerTimeout bounds how long other streams wait until the new owners have been told.
const newOwnerTimeout = 5 * time.Millisecond

// broadcastIntervalPerStream is the least time between two broadcasts for each stream: 20 ms at 810 agents, a fifth of a tick, and a quarter of a millisecond at ten.
const broadcastIntervalPerStream = 25 * time.Microsecond

// maxSnapshotAge is the time for which a snapshot is sent; the changes since follow it as a difference.
const maxSnapshotAge = 250 * time.Millisecond

// message is a control message that is encoded once for all streams that need it.
type message struct {
	plain  *controlpb.ControlMessage
	to     uint64
	shared bool

	encodeOnce sync.Once
	prep       *grpc.PreparedMsg
	sizeOnce   sync.Once
	bytes      int
}

// isSnapshot reports whether the message is a snapshot; there may be none.
func (msg *message) isSnapshot() bool { return msg != nil && msg.plain.GetSnapshot() != nil }

func (msg *message) sendTo(srv server) error {
	if !msg.shared {
		return srv.Send(msg.plain)
	}
	msg.encodeOnce.Do(func() {
		prp := &grpc.PreparedMsg{}
		if prp.Encode(srv, msg.plain) == nil {
			msg.prep = prp
		}
	})
	if msg.prep == nil {
		return srv.Send(msg.plain)
	}
	return srv.SendMsg(msg.prep)
}

// hub holds the differences that streams share until the next change, and their snapshot.
type hub struct {
	sessions *Sessions

	mut         sync.Mutex
	version     uint64
	differences map[uint64]*message
	snapshot    *message
	snapshotAt  time.Time // of the snapshot
}

func newHub(ses *Sessions) *hub {
	return &hub{sessions: ses, differences: map[uint64]*message{}}
}

// refresh drops the shared differences after a change and returns the difference since the previous one, nil when it is not kept.
func (hub *hub) refresh() *controlpb.Difference {
	hub.mut.Lock()
	defer hub.mut.Unlock()
	dif, ok := hub.sessions.registry.Since(hub.version)
	clear(hub.differences)
	if !ok {
		hub.version = hub.sessions.registry.Tables().GetVersion()
		return nil
	}
	hub.version = dif.GetTo()
	return dif
}

// newest returns the version of the newest change.
func (hub *hub) newest() uint64 {
	hub.mut.Lock()
	defer hub.mut.Unlock()
	return hub.version
}

// messageSince returns the message that brings an agent up to date from a version, nil when it is. Version 0 means that the agent has no tables.
func (hub *hub) messageSince(ver uint64) *message {
	hub.mut.Lock()
	defer hub.mut.Unlock()
	if ver == 0 {
		return hub.snapshotMessage()
	}
	if msg, ok := hub.differences[ver]; ok {
		return msg
	}
	dif, ok := hub.sessions.registry.Since(ver)
	if !ok {
		return hub.snapshotMessage()
	}
	var msg *message
	if len(dif.GetChanges()) > 0 {
		msg = &message{
			plain: &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: pack(dif)}},
			to:    dif.GetTo(), shared: true,
		}
	}
	hub.differences[ver] = msg
	return msg
}

// snapshotMessage returns the snapshot. One for each version would take too long when many agents join at once, each of whom makes some versions.
func (hub *hub) snapshotMessage() *message {
	if hub.snapshot == nil || time.Since(hub.snapshotAt) > maxSnapshotAge || !hub.hasChangesSince(hub.snapshot.to) {
		snp := hub.sessions.registry.Tables()
		snp.Members = members(hub.sessions.log.Members())
		hub.snapshotAt = time.Now()
		hub.snapshot = &message{
			plain: &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Snapshot{Snapshot: snp}},
			to:    snp.GetVersion(), shared: true,
		}
	}
	return hub.snapshot
}

// hasChangesSince reports whether the changes since a version are kept.
func (hub *hub) hasChangesSince(ver uint64) bool {
	_, ok := hub.sessions.registry.Since(ver)
	return ok
}

// dropSnapshot has a new snapshot made for the next agent that needs one.
func (hub *hub) dropSnapshot() {
	hub.mut.Lock()
	defer hub.mut.Unlock()
	hub.snapshot = nil
}

func members(sts []*controlpb.MemberStatus) *controlpb.Members {
	mbs := &controlpb.Members{}
	for _, mst := range sts {
		mbs.Members = append(mbs.Members, mst.GetMember())
	}
	return mbs
}

// watchLoop has changes sent to all streams as they are applied, to the new owners first.
func (trm *term) watchLoop() {
	for {
		changed := trm.sessions.registry.Changed()
		trm.sync(time.Now())
		streams := trm.broadcast(trm.hub.refresh())
		if !trm.awaitBroadcastInterval(streams) {
			return
		}
		select {
		case <-changed:
		case <-trm.ctx.Done():
			return
		}
	}
}

// awaitBroadcastInterval gathers the changes that follow a broadcast, false once the term is over. Without it each commit of a storm would be sent to every agent by itself: 810 agents that start at once made 9,500 commits in 30 s, and the sending starved their renewals.
func (trm *term) awaitBroadcastInterval(streams int) bool {
	tmr := time.NewTimer(time.Duration(streams) * broadcastIntervalPerStream)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-trm.ctx.Done():
		return false
	}
}

// broadcast wakes all streams, those of the new owners first, and returns their number.
func (trm *term) broadcast(dif *controlpb.Difference) int {
	owners := map[uint64]bool{}
	for _, chg := range dif.GetChanges() {
		if own := chg.GetSetShard().GetOwner(); own != 0 {
			owners[own] = true
		}
	}
	streams := trm.streams()
	tmr := time.NewTimer(newOwnerTimeout)
	defer tmr.Stop()
	var first []*stream
	for _, stm := range streams {
		if owners[stm.session] {
			first = append(first, stm)
			stm.signalTables()
		}
	}
	awaitTablesSent(first, tmr.C)
	for _, stm := range streams {
		if !owners[stm.session] {
			stm.signal()
		}
	}
	return len(streams)
}

// signalTables wakes the writer and clears its sign of having sent the tables.
func (stm *stream) signalTables() {
	select {
	case <-stm.tablesSent:
	default:
	}
	stm.signal()
}

func awaitTablesSent(streams []*stream, end <-chan time.Time) {
	for _, stm := range streams {
		select {
		case <-stm.tablesSent:
		case <-stm.written:
		case <-end:
			return
		}
	}
}
