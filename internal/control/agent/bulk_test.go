package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// link simulates the network link of a control process, which transmits the messages of all streams one after
// another.
type link struct {
	rate int // bytes per second

	mut     sync.Mutex
	idleAt  time.Time     // when all queued messages have been transmitted
	maxWait time.Duration // longest time that a Raft message would have queued
}

// enqueue queues a message and returns when it will have been transmitted.
func (lnk *link) enqueue(size int) time.Time {
	lnk.mut.Lock()
	defer lnk.mut.Unlock()
	now := time.Now()
	if lnk.idleAt.Before(now) {
		lnk.idleAt = now
	}
	lnk.idleAt = lnk.idleAt.Add(time.Duration(size) * time.Second / time.Duration(lnk.rate))
	lnk.maxWait = max(lnk.maxWait, lnk.idleAt.Sub(now))
	return lnk.idleAt
}

const (
	window    = 64 << 10            // of a stream's flow control
	agentRate = 9.9 * (1 << 20) / 8 // bytes per second on the link of an agent
)

// linkedPipe is a stream over a link. As with gRPC, Send of a large message returns immediately, the message is
// transmitted within the window, and the next Send blocks until it has been transmitted.
type linkedPipe struct {
	*pipe
	link *link
	sent chan struct{}
}

func (lpi *linkedPipe) Send(msg *controlpb.ControlMessage) error {
	<-lpi.sent
	go func() {
		for rest := proto.Size(msg); rest > 0; rest -= window {
			part := min(rest, window)
			time.Sleep(time.Until(lpi.link.enqueue(part)))
			time.Sleep(time.Duration(float64(part) / agentRate * float64(time.Second)))
		}
		_ = lpi.deliver(lpi.down, packet{down: msg}, 1)
		lpi.sent <- struct{}{}
	}()
	return nil
}

// fleetMember is an agent behind a link that sends renewals until the test ends.
type fleetMember struct {
	*probe
	tablesAt time.Time // receipt of the first snapshot
}

func (clu *cluster) startFleetMember(ctx context.Context, lnk *link, name string) *fleetMember {
	pip := &pipe{cluster: clu, up: make(chan packet, 64), down: make(chan packet, 64)}
	pip.ctx, pip.cancel = context.WithCancel(ctx)
	go func() {
		defer pip.cancel()
		lpi := &linkedPipe{pipe: pip, link: lnk, sent: make(chan struct{}, 1)}
		lpi.sent <- struct{}{}
		_ = clu.procs[0].sessions.Connect(lpi)
	}()
	fme := &fleetMember{probe: &probe{pipe: pip}}
	_ = pip.deliver(pip.up, packet{up: &controlpb.AgentMessage{Kind: &controlpb.AgentMessage_Hello{Hello: servingHello(name)}}}, 1)
	go fme.read()
	go fme.renewLoop()
	return fme
}

func (fme *fleetMember) read() {
	for msg, err := fme.pipe.agentRecv(); err == nil; msg, err = fme.pipe.agentRecv() {
		fme.mut.Lock()
		fme.messages, fme.times = append(fme.messages, msg), append(fme.times, time.Now())
		if msg.GetSnapshot() != nil && fme.tablesAt.IsZero() {
			fme.tablesAt = time.Now()
		}
		fme.mut.Unlock()
	}
}

func (fme *fleetMember) renewLoop() {
	for seq := uint64(1); fme.pipe.ctx.Err() == nil; seq++ {
		cnf := uint64(0)
		fme.mut.Lock()
		if !fme.tablesAt.IsZero() {
			cnf = 2
		}
		fme.mut.Unlock()
		fme.renew(seq, cnf)
		time.Sleep(250 * time.Millisecond)
	}
}

// largeConfiguration returns a configuration with 1,400 routes, about 200 KB.
func largeConfiguration(num uint64) *controlpb.Configuration {
	cnf := &controlpb.Configuration{Number: num, Services: []*controlpb.Service{{Name: testService, Partitions: testPartitions, RampMs: 200}}}
	for pos := range 1400 {
		cnf.Routes = append(cnf.Routes, &controlpb.Route{
			Name: fmt.Sprintf("route-%04d", pos), Host: "shop.example", Service: testService,
			Prefix: fmt.Sprintf("/a/rather/long/prefix/as/large/configurations/have/them/for/each/of/their/parts/%04d", pos),
		})
	}
	return cnf
}

// Guards against bulk messages that overtake earlier requests, and against a few agents that read slowly and
// block all others.
func TestBulkOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blk := &bulkLimiter{}
		var shares []*share
		request := func() bool {
			shr, ok := blk.request(nil, &stream{wake: make(chan struct{}, 1)}, maxBulkPerStream)
			shares = append(shares, shr)
			return ok
		}
		granted := func(shr *share) bool {
			blk.mut.Lock()
			defer blk.mut.Unlock()
			return shr.granted
		}
		for range maxBulkInFlight / maxBulkPerStream {
			must.True(t, request())
		}
		must.False(t, request())
		must.False(t, request())
		blk.release(shares[0])
		blk.release(shares[0])
		first, second := shares[len(shares)-2], shares[len(shares)-1]
		must.True(t, granted(first))
		must.False(t, granted(second))
		must.One(t, len(first.stream.wake))
		time.Sleep(bulkShareTimeout - time.Millisecond)
		must.False(t, granted(second))
		time.Sleep(2 * time.Millisecond)
		must.True(t, granted(second))
	})
}

// Guards against snapshots for many agents that saturate the leader's link: Raft heartbeats would queue behind
// them for longer than an election timeout, and leadership would be lost.
func TestSnapshotsLimitHeartbeatDelay(t *testing.T) {
	const agents, rate = 76, 170 << 20 / 8 // agents and link rate of bassma-hq-grown
	withCluster(t, func(ctx context.Context, clu *cluster) {
		clu.lossless = true
		clu.procs[0].commit(registry.ApplyConfiguration("c2", "", largeConfiguration(2)))
		lnk := &link{rate: rate}
		var fleet []*fleetMember
		for num := range agents {
			fleet = append(fleet, clu.startFleetMember(ctx, lnk, fmt.Sprint("a", num)))
		}
		time.Sleep(3 * time.Second)
		for _, fme := range fleet {
			fme.mut.Lock()
			must.False(t, fme.tablesAt.IsZero())
			fme.mut.Unlock()
		}
		must.LessEq(t, 125*time.Millisecond, lnk.maxWait)
		must.Len(t, agents, clu.procs[0].registry.Tables().GetNodes())
	})
}
