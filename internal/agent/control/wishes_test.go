package control

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestClocks guards against a lease that outlives a suspension, in which the monotonic clock stands still, or a step of the wall clock.
func TestClocks(t *testing.T) {
	cases := map[string]struct {
		mono, wall time.Duration // elapsed since the renewal was sent
		valid      bool
		rest       time.Duration
	}{
		"both run":             {time.Second, time.Second, true, 400 * time.Millisecond},
		"suspended":            {time.Second, time.Minute, false, 0},
		"wall clock set back":  {time.Second, -time.Hour, true, 400 * time.Millisecond},
		"wall clock set ahead": {100 * time.Millisecond, 1300 * time.Millisecond, true, 100 * time.Millisecond},
		"monotonic over":       {1400 * time.Millisecond, 0, false, 0},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			within(t, func(_ *fakeControl, ses *Session) {
				now := instantNow()
				ses.lease.begin(7)
				ses.lease.grant(7, instant{mono: now.mono.Add(-cse.mono), wall: now.wall.Add(-cse.wall)}, 1400*time.Millisecond)
				exp, valid := ses.Expires()
				must.Eq(t, cse.valid, valid)
				if valid {
					must.Eq(t, cse.rest, time.Until(exp))
				}
				ses.lease.begin(8)
				_, valid = ses.Expires()
				must.False(t, valid)
			})
		})
	}
}

// TestExpired guards against an agent that keeps an expired session or its lease.
func TestExpired(t *testing.T) {
	within(t, func(ctl *fakeControl, ses *Session) {
		ses.SetUpstream(&controlpb.Upstream{Id: "u"})
		ctl.set(func() { ctl.expired[101] = true })
		ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Expired{Expired: &controlpb.Expired{}}})
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 102, ses.Session())
		_, valid := ses.Expires()
		must.True(t, valid)
		last := ctl.hellos[len(ctl.hellos)-1]
		must.Eq(t, 0, last.GetSession())
		must.Eq(t, "u", last.GetNode().GetUpstream().GetId())
		// The leader may also tell it in answer to a hello.
		ctl.set(func() { ctl.expired[102] = true })
		ctl.fail("c1")
		ctl.set(func() { ctl.leader = "c2" })
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 103, ses.Session())
	})
}

// TestGap guards against a table that misses a change.
func TestGap(t *testing.T) {
	within(t, func(ctl *fakeControl, ses *Session) {
		must.Eq(t, 50, ses.Version())
		ctl.set(func() { ctl.snapshot = &controlpb.TableSnapshot{Version: 60} })
		ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: &controlpb.Difference{From: 55, To: 56}}})
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 60, ses.Version())
		must.Eq(t, 101, ses.Session())
		must.Eq(t, 0, ctl.hellos[len(ctl.hellos)-1].GetVersion())
	})
}

// loadSource reports one request at each call.
type loadSource struct{}

func (loadSource) Load(time.Duration) *controlpb.LoadReport {
	return &controlpb.LoadReport{Requests: 1}
}

// sent returns how often each kind of message other than hellos and renewals arrived.
func (ctl *fakeControl) sent() (ups, drains, refs, loads int) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	for _, msg := range ctl.messages {
		switch knd := msg.GetKind().(type) {
		case *controlpb.AgentMessage_SetUpstream:
			ups++
		case *controlpb.AgentMessage_Drain:
			drains++
		case *controlpb.AgentMessage_Released:
			refs += len(knd.Released.GetShards())
		case *controlpb.AgentMessage_Load:
			loads++
		}
	}
	ctl.messages = nil
	return ups, drains, refs, loads
}

// TestWishes guards against wishes that a change of leader loses, and releases that are repeated for ever.
func TestWishes(t *testing.T) {
	within(t, func(ctl *fakeControl, ses *Session) {
		must.NoError(t, ses.table.replace(newSnapshot(16)))
		ses.SetLoadSource(loadSource{})
		ses.SetUpstream(&controlpb.Upstream{Id: "u"})
		ses.Drain()
		ses.Release([]*controlpb.ShardRef{{Service: "checkout", Partition: 1, Token: 40}, {Service: "checkout", Partition: 2, Token: 40}})
		must.True(t, ses.Draining())
		time.Sleep(3 * time.Second)
		check := func(want [4]int) {
			ups, drains, refs, loads := ctl.sent()
			must.Eq(t, want, [4]int{ups, drains, refs, loads})
		}
		check([4]int{1, 1, 2, 3})
		ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: &controlpb.Difference{
			From: 50, To: 51, Changes: []*controlpb.Change{setShard(&controlpb.Shard{Service: "checkout", Partition: 1, Owner: 102, Token: 51, Phase: controlpb.Phase_PHASE_OWNED})},
		}}})
		ctl.fail("c1")
		ctl.set(func() { ctl.leader = "c2" })
		time.Sleep(500 * time.Millisecond)
		check([4]int{1, 1, 1, 0})
	})
}

// TestDrainByOperator guards against a drain that an operator asked for and the agent does not see, or keeps after its end.
func TestDrainByOperator(t *testing.T) {
	within(t, func(ctl *fakeControl, ses *Session) {
		for _, want := range []bool{true, false} {
			ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Drain{Drain: want}})
			time.Sleep(time.Millisecond)
			must.Eq(t, want, ses.Draining())
		}
	})
}

// grpcControl serves the fake control group over gRPC.
type grpcControl struct {
	controlpb.UnimplementedSessionServiceServer
	ctl  *fakeControl
	addr string
}

func (srv *grpcControl) Connect(str controlpb.SessionService_ConnectServer) error {
	fke, _, err := srv.ctl.dial(str.Context(), srv.addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			msg, err := fke.Recv()
			if err != nil || str.Send(msg) != nil {
				return
			}
		}
	}()
	for {
		msg, err := str.Recv()
		if err != nil {
			return err
		}
		if err := fke.Send(msg); err != nil {
			return err
		}
	}
}

// TestGRPC guards against a session that works with fakes only.
func TestGRPC(t *testing.T) {
	ctl := newFakeControl()
	ctl.snapshot = newSnapshot(16384)
	var adrs []string
	for range 2 {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		gsv := grpc.NewServer()
		controlpb.RegisterSessionServiceServer(gsv, &grpcControl{ctl: ctl, addr: lis.Addr().String()})
		go func() { _ = gsv.Serve(lis) }()
		t.Cleanup(gsv.Stop)
		adrs = append(adrs, lis.Addr().String())
	}
	ctl.leader = adrs[1]
	ses := New(Options{Control: adrs[:1], Node: &controlpb.Node{Name: "a"}})
	go func() { _ = ses.Run(t.Context()) }()
	for beg := time.Now(); time.Since(beg) < 5*time.Second && ses.Version() == 0; {
		time.Sleep(5 * time.Millisecond)
	}
	must.Eq(t, 101, ses.Session())
	must.Eq(t, 16384, len(ses.Owned()))
	_, valid := ses.Expires()
	must.True(t, valid)
	must.True(t, ses.Fresh())
}
