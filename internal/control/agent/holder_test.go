package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	testService    = "shop"
	testPartitions = 16
)

// holder is an agent as the leases see it: it keeps its view, counts its lease from when it sent a renewal, and releases what it is told to.
type holder struct {
	cluster *cluster
	name    string

	mut      sync.Mutex
	session  uint64
	version  uint64
	config   uint64
	rows     []*controlpb.Shard
	keys     map[string]*controlpb.Shard
	since    uint64 // of its upstream, as seen
	waits    uint64 // rows count only once since is over it
	failed   bool
	seen     controlpb.UpstreamState
	released map[string]bool // no work is left and none will start
	asked    map[string]bool // the release is under way on this connection
	sent     map[uint64]time.Time
	expires  time.Time
	hint     string
	paused   time.Time
	pipe     *pipe
	hot      string // key that takes most requests
	fault    string
	finish   time.Duration // longest request
}

func rowName(row *controlpb.Shard) string {
	return fmt.Sprintf("%d/%s@%d", row.GetPartition(), row.GetKey(), row.GetToken())
}

func (hol *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		hol.connect(ctx)
		sleep(ctx, hol.cluster.between(time.Millisecond, 60*time.Millisecond))
	}
}

func sleep(ctx context.Context, dur time.Duration) {
	select {
	case <-time.After(dur):
	case <-ctx.Done():
	}
}

// stall waits while the agent is paused.
func (hol *holder) stall() {
	for {
		hol.mut.Lock()
		rest := time.Until(hol.paused)
		hol.mut.Unlock()
		if rest <= 0 {
			return
		}
		time.Sleep(rest)
	}
}

func (hol *holder) connect(ctx context.Context) {
	hol.stall()
	num := int(hol.cluster.between(0, time.Duration(len(hol.cluster.procs)-1)))
	hol.mut.Lock()
	for pos := range hol.cluster.procs {
		if hol.hint == address(pos) {
			num = pos
		}
	}
	hol.hint = ""
	pip := hol.cluster.dial(ctx, num, 20*time.Millisecond)
	hol.pipe = pip
	hel := &controlpb.Hello{Session: hol.session, Version: hol.version, Node: hol.node()}
	hol.mut.Unlock()
	defer pip.cancel()
	if pip.tell(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Hello{Hello: hel}}) != nil {
		return
	}
	for {
		msg, err := pip.hear()
		if err != nil {
			return
		}
		hol.stall()
		hol.handle(pip, msg)
	}
}

func (hol *holder) node() *controlpb.Node {
	return &controlpb.Node{Name: hol.name, Zone: "a", Upstream: hol.upstream(controlpb.UpstreamState_UPSTREAM_STATE_SERVING)}
}

func (hol *holder) upstream(ste controlpb.UpstreamState) *controlpb.Upstream {
	return &controlpb.Upstream{Id: hol.name, Service: testService, Slots: 4, State: ste}
}

func (hol *holder) handle(pip *pipe, msg *controlpb.ControlMessage) {
	hol.mut.Lock()
	defer hol.mut.Unlock()
	switch knd := msg.GetKind().(type) {
	case *controlpb.ControlMessage_Welcome:
		hol.welcome(pip, knd.Welcome)
	case *controlpb.ControlMessage_Redirect:
		hol.hint = knd.Redirect.GetLeaderAddress()
		pip.cancel()
	case *controlpb.ControlMessage_Expired:
		hol.session, hol.expires = 0, time.Time{}
		pip.cancel()
	case *controlpb.ControlMessage_RenewAnswer:
		if at, ok := hol.sent[knd.RenewAnswer.GetSequence()]; ok && at.Add(1400*time.Millisecond).After(hol.expires) {
			hol.expires = at.Add(1400 * time.Millisecond)
		}
	case *controlpb.ControlMessage_Snapshot:
		hol.snapshot(knd.Snapshot)
	case *controlpb.ControlMessage_Difference:
		hol.difference(knd.Difference)
	}
	hol.release(pip)
}

func (hol *holder) welcome(pip *pipe, wel *controlpb.Welcome) {
	if hol.session != wel.GetSession() {
		hol.session, hol.failed, hol.waits, hol.since = wel.GetSession(), false, 0, 0
		hol.expires, hol.released, hol.seen = time.Time{}, map[string]bool{}, controlpb.UpstreamState_UPSTREAM_STATE_NONE
	}
	hol.asked = map[string]bool{} // a release may be lost with its connection
	hol.sent = map[uint64]time.Time{}
	go hol.renew(pip, wel.GetSession())
}

// renew sends renewals and load reports; a repeated one keeps its sequence.
func (hol *holder) renew(pip *pipe, ses uint64) {
	for seq := uint64(1); pip.ctx.Err() == nil; seq++ {
		hol.stall()
		hol.mut.Lock()
		if hol.session != ses || hol.pipe != pip {
			hol.mut.Unlock()
			return
		}
		hol.sent[seq] = time.Now()
		ren := &controlpb.Renew{Sequence: seq, Version: hol.version, ConfigurationNumber: hol.config}
		rep := hol.report()
		hol.mut.Unlock()
		_ = pip.tell(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Renew{Renew: ren}})
		_ = pip.tell(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Load{Load: rep}})
		hol.announce(pip)
		sleep(pip.ctx, 250*time.Millisecond)
	}
}

// report claims 1,000 requests for the hot key if it is owned, and a few for other rows.
func (hol *holder) report() *controlpb.LoadReport {
	rep := &controlpb.LoadReport{IntervalMs: 250}
	for _, row := range hol.rows {
		if row.GetOwner() == hol.session {
			ref := &controlpb.ShardRef{Service: testService, Partition: row.GetPartition()}
			rep.Shards = append(rep.Shards, &controlpb.ShardLoad{Shard: ref, Requests: 50 + 40*(row.GetPartition()%7)})
		}
	}
	if row := hol.row(hol.hot); row.GetOwner() == hol.session {
		ref := &controlpb.ShardRef{Service: testService, Partition: row.GetPartition(), Key: hol.hot}
		shl := &controlpb.ShardLoad{Shard: ref, Requests: 1000}
		rep.Shards, rep.HotKeys = append(rep.Shards, shl), append(rep.HotKeys, shl)
	}
	return rep
}

func (hol *holder) snapshot(snp *controlpb.TableSnapshot) {
	hol.version, hol.keys, hol.rows = snp.GetVersion(), map[string]*controlpb.Shard{}, make([]*controlpb.Shard, testPartitions)
	hol.setConfig(snp.GetConfiguration().GetNumber())
	for _, nod := range snp.GetNodes() {
		hol.setNode(nod)
	}
	for prt := range hol.rows {
		hol.rows[prt] = &controlpb.Shard{Partition: uint32(prt)}
	}
	for _, tab := range snp.GetTables() {
		for prt, own := range tab.GetOwners() {
			hol.rows[prt] = &controlpb.Shard{Partition: uint32(prt), Owner: own, Token: tab.GetTokens()[prt], Phase: controlpb.Phase_PHASE_OWNED}
		}
		for _, row := range tab.GetMoving() {
			hol.rows[row.GetPartition()] = row
		}
		for _, row := range tab.GetOverrides() {
			hol.keys[row.GetKey()] = row
		}
	}
}

func (hol *holder) setConfig(num uint64) {
	if num < hol.config {
		hol.fault = fmt.Sprintf("%s: configuration %d reverts to %d", hol.name, hol.config, num)
	}
	hol.config = num
}

func (hol *holder) setNode(nod *controlpb.Node) {
	if nod.GetSession() != hol.session {
		return
	}
	hol.seen = nod.GetUpstream().GetState()
	if hol.seen == controlpb.UpstreamState_UPSTREAM_STATE_SERVING {
		hol.since = nod.GetUpstream().GetSinceIndex()
	}
}

func (hol *holder) difference(dif *controlpb.Difference) {
	if dif.GetFrom() != hol.version {
		hol.fault = fmt.Sprintf("%s: difference from %d at version %d", hol.name, dif.GetFrom(), hol.version)
	}
	hol.version = dif.GetTo()
	for _, chg := range dif.GetChanges() {
		switch knd := chg.GetKind().(type) {
		case *controlpb.Change_SetNode:
			hol.setNode(knd.SetNode)
		case *controlpb.Change_SetShard:
			if row := knd.SetShard; row.GetKey() != "" {
				hol.keys[row.GetKey()] = row
			} else {
				hol.rows[row.GetPartition()] = row
			}
		case *controlpb.Change_RemoveOverride:
			delete(hol.keys, knd.RemoveOverride.GetKey())
		case *controlpb.Change_Configuration:
			hol.setConfig(knd.Configuration.GetNumber())
		}
	}
}

// release finishes the work of rows that are being released, and then says so, again after each connection.
func (hol *holder) release(pip *pipe) {
	all := append([]*controlpb.Shard(nil), hol.rows...)
	for _, row := range hol.keys {
		all = append(all, row)
	}
	for _, row := range all {
		if row.GetOwner() != hol.session || row.GetPhase() != controlpb.Phase_PHASE_RELEASING || hol.asked[rowName(row)] {
			continue
		}
		hol.asked[rowName(row)] = true
		time.AfterFunc(hol.cluster.between(0, hol.finish), func() { hol.sendRelease(pip, row) })
	}
}

func (hol *holder) sendRelease(pip *pipe, row *controlpb.Shard) {
	hol.stall()
	hol.mut.Lock()
	hol.released[rowName(row)] = true
	hol.mut.Unlock()
	ref := &controlpb.ShardRef{Service: testService, Partition: row.GetPartition(), Key: row.GetKey(), Token: row.GetToken()}
	rel := &controlpb.Released{Shards: []*controlpb.ShardRef{ref}}
	_ = pip.tell(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Released{Released: rel}})
}

// fail stops serving at once, or lets the agent serve again.
func (hol *holder) fail(failed bool) {
	hol.mut.Lock()
	defer hol.mut.Unlock()
	hol.failed = failed
	if failed {
		hol.waits = max(hol.waits, hol.since)
	}
}

// announce repeats a failure until the view shows that control knows of it, and only then tells that the upstream serves again: rows that were owned before the failure are served no more.
func (hol *holder) announce(pip *pipe) {
	hol.mut.Lock()
	ste, want := hol.seen, hol.seen
	switch {
	case hol.seen == controlpb.UpstreamState_UPSTREAM_STATE_SERVING && (hol.failed || hol.since <= hol.waits):
		want = controlpb.UpstreamState_UPSTREAM_STATE_FAILED
	case hol.seen == controlpb.UpstreamState_UPSTREAM_STATE_FAILED && !hol.failed:
		want = controlpb.UpstreamState_UPSTREAM_STATE_SERVING
	}
	hol.mut.Unlock()
	if want != ste {
		_ = pip.tell(&controlpb.AgentMessage{Kind: &controlpb.AgentMessage_SetUpstream{SetUpstream: hol.upstream(want)}})
	}
}

// row returns the row that holds a key in this view.
func (hol *holder) row(key string) *controlpb.Shard {
	if row := hol.keys[key]; row != nil {
		return row
	}
	if hol.rows == nil {
		return nil
	}
	return hol.rows[siskinrill.Partition(testService, key, testPartitions)]
}

// serves returns the row under which the agent may run a request for a key at this instant, nil for none.
func (hol *holder) serves(key string) *controlpb.Shard {
	hol.mut.Lock()
	defer hol.mut.Unlock()
	row := hol.row(key)
	if row == nil || hol.session == 0 || row.GetOwner() != hol.session || !time.Now().Before(hol.expires) {
		return nil
	}
	if hol.failed || hol.since <= hol.waits || row.GetToken() <= hol.waits || hol.released[rowName(row)] {
		return nil
	}
	return row
}
