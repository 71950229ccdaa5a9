package control

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// delayedConn delays all received data, as a saturated link does.
type delayedConn struct {
	net.Conn
	delay   time.Duration
	chunks  chan chunk
	pending []byte
}

// chunk is the result of one read.
type chunk struct {
	raw []byte
	due time.Time
	err error
}

// dialDelayed connects after a delay; all data on the connection arrives with the same delay.
func dialDelayed(ctx context.Context, adr string, delay time.Duration) (net.Conn, error) {
	tmr := time.NewTimer(delay)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	con, err := (&net.Dialer{}).DialContext(ctx, "tcp", adr)
	if err != nil {
		return nil, err
	}
	dcn := &delayedConn{Conn: con, delay: delay, chunks: make(chan chunk, 1000)}
	go dcn.readLoop()
	return dcn, nil
}

func (dcn *delayedConn) readLoop() {
	for {
		buf := make([]byte, 4096)
		num, err := dcn.Conn.Read(buf)
		dcn.chunks <- chunk{raw: buf[:num], due: time.Now().Add(dcn.delay), err: err}
		if err != nil {
			return
		}
	}
}

// Read returns data that has arrived and whose delay has passed.
func (dcn *delayedConn) Read(buf []byte) (int, error) {
	if len(dcn.pending) == 0 {
		chk := <-dcn.chunks
		time.Sleep(time.Until(chk.due))
		if chk.err != nil {
			dcn.chunks <- chk
			return 0, chk.err
		}
		dcn.pending = chk.raw
	}
	num := copy(buf, dcn.pending)
	dcn.pending = dcn.pending[num:]
	return num, nil
}

// Guards against agents behind a saturated link that never reach the leader, or close each connection before
// its first answer.
func TestSlowLink(t *testing.T) {
	for name, delay := range map[string]time.Duration{"300 ms": 300 * time.Millisecond, "400 ms": 400 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctl := newFakeControl()
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			srv := grpc.NewServer()
			controlpb.RegisterSessionServiceServer(srv, &grpcControl{ctl: ctl, addr: lis.Addr().String()})
			ctl.leader = lis.Addr().String()
			var grp sync.WaitGroup
			ctx, cancel := context.WithCancel(t.Context())
			grp.Go(func() { _ = srv.Serve(lis) })
			ses := New(Options{
				Control: []string{ctl.leader}, Node: &controlpb.Node{Name: "a"},
				Dial: func(ctx context.Context, adr string) (net.Conn, error) { return dialDelayed(ctx, adr, delay) },
			})
			grp.Go(func() { _ = ses.Run(ctx) })
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && !hasLease(ses); {
				time.Sleep(10 * time.Millisecond)
			}
			must.True(t, hasLease(ses))
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				must.True(t, hasLease(ses))
			}
			must.Eq(t, 1, ctl.helloCount())
			cancel()
			srv.Stop()
			grp.Wait()
		})
	}
}

// helloCount returns how many hellos agents have sent.
func (ctl *fakeControl) helloCount() int {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return len(ctl.hellos)
}

func hasLease(ses *Session) bool {
	_, valid := ses.Expires()
	return valid
}

// Guards against a connection that is closed although its leader sends: the answer to a renewal waits behind an
// update, which would be sent again on a new connection.
func TestAnswerBehindUpdates(t *testing.T) {
	withSession(t, func(ctl *fakeControl, ses *Session) {
		ctl.set(func() { ctl.delay = 800 * time.Millisecond })
		for ver := range uint64(40) {
			dif := &controlpb.Difference{From: 50 + ver, To: 51 + ver}
			ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: dif}})
			time.Sleep(100 * time.Millisecond)
			must.True(t, hasLease(ses))
		}
		must.Eq(t, 1, ctl.helloCount())
		must.Eq(t, 90, ses.Version())
	})
}

// Guards against agents that stay connected to a leader which has lost its majority: it may still send, but
// confirms no renewals.
func TestAnswerLimit(t *testing.T) {
	for name, size := range map[string]int{"empty updates": 0, "updates of 600 bytes": 600} {
		t.Run(name, func(t *testing.T) {
			withSession(t, func(ctl *fakeControl, _ *Session) {
				ctl.set(func() { ctl.delay = time.Hour })
				for ver := range uint64(12) {
					chg := &controlpb.Change{Kind: &controlpb.Change_SetNode{SetNode: &controlpb.Node{Session: 9, Name: strings.Repeat("n", size)}}}
					dif := &controlpb.Difference{From: 50 + ver, To: 51 + ver, Changes: []*controlpb.Change{chg}}
					ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: dif}})
					time.Sleep(100 * time.Millisecond)
				}
				must.Eq(t, 2, ctl.helloCount())
			})
		})
	}
}

// Guards against a 404, which callers treat as final, from an agent that cannot reach control while routes are
// added.
func TestNoRouteWithoutLease(t *testing.T) {
	withSession(t, func(ctl *fakeControl, ses *Session) {
		chg := &controlpb.ConfigurationChange{Number: 7, SetRoutes: []*controlpb.Route{{Name: "old", Host: "h", Prefix: "/old/"}}}
		ctl.push(&controlpb.ControlMessage{Kind: &controlpb.ControlMessage_Difference{Difference: &controlpb.Difference{
			From: 50, To: 51, Changes: []*controlpb.Change{{Kind: &controlpb.Change_Configuration{Configuration: chg}}},
		}}})
		time.Sleep(time.Second)
		_, _, rsn := ses.Match("h", "GET", "/new/1")
		must.Eq(t, siskinrill.ReasonNoRoute, rsn)
		ctl.set(func() { ctl.silent = map[string]bool{"c1": true, "c2": true, "c3": true} })
		time.Sleep(1500 * time.Millisecond)
		must.False(t, hasLease(ses))
		_, _, rsn = ses.Match("h", "GET", "/new/1")
		must.Eq(t, siskinrill.ReasonNoLease, rsn)
		rte, _, rsn := ses.Match("h", "GET", "/old/1")
		must.Eq(t, "old", rte.GetName())
		must.Eq(t, "", rsn)
	})
}
