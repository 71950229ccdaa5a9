package agent

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// newOwnerTimeout limits how long a broadcast waits for the new owners to be sent their grants before it wakes
// all other streams.
const newOwnerTimeout = 5 * time.Millisecond

// broadcastIntervalPerStream times the number of streams is the minimum time between two broadcasts: 20 ms at
// 810 agents, a fifth of a tick, and 0.25 ms at ten agents.
const broadcastIntervalPerStream = 25 * time.Microsecond

// maxSnapshotAge is how long a snapshot is reused; an agent gets the changes since then as a difference.
const maxSnapshotAge = 250 * time.Millisecond

// message is a control message; a shared one is encoded once for all streams that send it.
type message struct {
	plain   *controlpb.ControlMessage
	version uint64
	shared  bool

	encodeOnce sync.Once
	prep       *grpc.PreparedMsg
	sizeOnce   sync.Once
	bytes      int
}

// isSnapshot reports whether the message is a snapshot; false for nil.
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

// hub caches the snapshot, and the differences to the newest version that streams share until the next change.
type hub struct {
	sessions *Sessions

	mut         sync.Mutex
	version     uint64
	differences map[uint64]*message
	snapshot    *message
	snapshotAt  time.Time // when snapshot was built
}

func newHub(ses *Sessions) *hub {
	return &hub{sessions: ses, differences: map[uint64]*message{}}
}

// refresh drops the cached differences after a change. It returns the difference since the previous refresh,
// nil if the registry no longer keeps it.
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

// newest returns the version as of the last refresh.
func (hub *hub) newest() uint64 {
	hub.mut.Lock()
	defer hub.mut.Unlock()
	return hub.version
}

// messageSince returns the message that brings an agent from a version to the newest one, nil if it is up to
// date. Version 0 means that the agent has no tables.
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
			plain:   &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: pack(dif)}},
			version: dif.GetTo(), shared: true,
		}
	}
	hub.differences[ver] = msg
	return msg
}

// snapshotMessage returns a snapshot that is at most maxSnapshotAge old and whose later changes are still kept;
// the lock is held. A new one for each version would take too long when many agents join at the same time,
// since each of them creates several versions.
func (hub *hub) snapshotMessage() *message {
	if hub.snapshot == nil || time.Since(hub.snapshotAt) > maxSnapshotAge || !hub.hasChangesSince(hub.snapshot.version) {
		snp := hub.sessions.registry.Tables()
		snp.Members = members(hub.sessions.log.Members())
		hub.snapshotAt = time.Now()
		hub.snapshot = &message{
			plain:   &controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Snapshot{Snapshot: snp}},
			version: snp.GetVersion(), shared: true,
		}
	}
	return hub.snapshot
}

// hasChangesSince reports whether the registry still keeps the changes since a version.
func (hub *hub) hasChangesSince(ver uint64) bool {
	_, ok := hub.sessions.registry.Since(ver)
	return ok
}

// dropSnapshot discards the cached snapshot, so that the next agent that needs one gets a new one.
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

// watchLoop broadcasts changes of the registry as they are applied.
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

// awaitBroadcastInterval waits so that changes which closely follow a broadcast are sent together; it returns
// false once the term has ended. Otherwise each commit would be sent to every agent separately: 810 agents that
// started at the same time made 9,500 commits in 30 s, and sending them starved the agents' renewals.
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

// broadcast wakes all streams, those of new owners first, and returns the number of streams.
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

// signalTables wakes the writer, and clears tablesSent so that it is signalled by the next update only.
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
