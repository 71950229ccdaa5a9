package scale

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill/internal/agent/control"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	slotsPerUpstream = 18
	// startInterval spreads the starts of sessions, since the hosts of a real deployment do not all start within 1 ms.
	startInterval = 2 * time.Millisecond
)

// Fleet is a set of agent sessions without callers and backend servers that renew leases, watch, report load and release shards.
type Fleet struct {
	opt     Options
	members []*member
	meter   Meter
}

type member struct {
	session *control.Session
	cancel  context.CancelFunc
	done    chan struct{}
}

// Options configure a fleet; all fields are required.
type Options struct {
	Size       int
	Service    string
	Partitions int      // of the service; the simulated requests are spread evenly over them
	Controls   []string // IP:port of the control processes
	Zones      []string // assigned round robin
}

// NewFleet starts one session per upstream, at intervals of startInterval.
func NewFleet(ctx context.Context, opt Options) *Fleet {
	flt := &Fleet{opt: opt}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for idx := range opt.Size {
		flt.members = append(flt.members, flt.startMember(ctx, idx, log))
		time.Sleep(startInterval)
	}
	return flt
}

func (flt *Fleet) startMember(ctx context.Context, idx int, log *logrus.Logger) *member {
	svc, zone := flt.opt.Service, flt.opt.Zones[idx%len(flt.opt.Zones)]
	adr := fmt.Sprintf("10.%d.%d.1:7000", idx/250, idx%250)
	ses := control.New(control.Options{
		Node: &controlpb.Node{
			Name: fmt.Sprintf("agent-%s-%04d", svc, idx), Zone: zone, Region: "region-1",
			PeerAddress: adr, CallerAddress: adr, AdminAddress: adr,
		},
		Control: flt.opt.Controls, Logger: log, Dial: flt.meter.Dial,
	})
	ses.SetUpstream(&controlpb.Upstream{
		Id: fmt.Sprintf("%s-%04d", svc, idx), Service: svc, Slots: slotsPerUpstream, Connections: 120,
		State: controlpb.UpstreamState_UPSTREAM_STATE_SERVING,
	})
	src := &loadSource{session: ses, service: svc, partitionRate: requestsPerSecond * float64(flt.opt.Size) / float64(flt.opt.Partitions)}
	ses.SetLoadSource(src)
	ctx, cancel := context.WithCancel(ctx)
	mem := &member{session: ses, cancel: cancel, done: make(chan struct{})}
	var grp sync.WaitGroup
	grp.Go(func() { _ = ses.Run(ctx) })
	grp.Go(func() { src.releaseAll(ctx) })
	go func() {
		grp.Wait()
		close(mem.done)
	}()
	return mem
}

// Size returns the number of running sessions.
func (flt *Fleet) Size() int { return len(flt.members) }

// Meter returns the byte counts over all sessions, including failed ones.
func (flt *Fleet) Meter() *Meter { return &flt.meter }

// Leased returns the number of sessions that hold a valid lease.
func (flt *Fleet) Leased() int {
	num := 0
	for _, mem := range flt.members {
		if _, ok := mem.session.Expires(); ok {
			num++
		}
	}
	return num
}

// MinRemaining returns the shortest remaining lease time of all sessions; it is negative if a lease has expired.
func (flt *Fleet) MinRemaining() time.Duration {
	remaining := time.Hour
	for _, mem := range flt.members {
		end, _ := mem.session.Expires()
		remaining = min(remaining, time.Until(end))
	}
	return remaining
}

// Fail ends the sessions in the half-open index range [from, to) without notifying control, as a failure of their
// hosts does.
func (flt *Fleet) Fail(from, to int) {
	failed := flt.members[from:to]
	for _, mem := range failed {
		mem.cancel()
	}
	for _, mem := range failed {
		<-mem.done
	}
	flt.members = append(append([]*member{}, flt.members[:from]...), flt.members[to:]...)
}

// Stop ends all sessions without notifying control.
func (flt *Fleet) Stop() { flt.Fail(0, len(flt.members)) }
