package backend

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// fakeConn accepts all bytes, or none if it has an error.
type fakeConn struct {
	net.Conn
	err error
}

func (fco fakeConn) Write(buf []byte) (int, error) {
	if fco.err != nil {
		return 0, fco.err
	}
	return len(buf), nil
}

// TestGate guards against writes after the end of the lease or the request, and against reporting that
// nothing was written when something was.
func TestGate(t *testing.T) {
	tests := map[string]struct {
		err     error // error of the connection's writes
		before  func(gat *gate)
		between func(gat *gate, con *conn)
		first   bool // the first write succeeds
		second  bool
		started bool
		expired bool
	}{
		"before expiry": {first: true, second: true, started: true},
		"lease expired": {before: func(*gate) { time.Sleep(time.Second) }, expired: true},
		"lease expires between writes": {
			between: func(*gate, *conn) { time.Sleep(time.Second) }, first: true, second: true, started: true,
		},
		"lease expired on the second connection": {
			between: func(gat *gate, con *conn) { time.Sleep(time.Second); con.attach(gat) }, first: true, started: true, expired: true,
		},
		"request ended":     {before: func(gat *gate) { gat.close() }},
		"first write fails": {err: net.ErrClosed},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gat := newGate(time.Now().Add(time.Second))
				con := &conn{Conn: fakeConn{err: tcs.err}}
				con.attach(gat)
				if tcs.before != nil {
					tcs.before(gat)
				}
				_, err := con.Write([]byte("POST"))
				must.Eq(t, tcs.first, err == nil)
				if tcs.between != nil {
					tcs.between(gat, con)
				}
				_, err = con.Write([]byte("body"))
				must.Eq(t, tcs.second, err == nil)
				started, expired := gat.close()
				must.Eq(t, tcs.started, started)
				must.Eq(t, tcs.expired, expired)
			})
		})
	}
}

// TestFailClosesGates guards against writing a request after the failure of the server was reported to
// control.
func TestFailClosesGates(t *testing.T) {
	var con *conn
	reports := 0
	cli := New(Options{OnUpstream: func(ups *controlpb.Upstream) {
		if ups.GetState() == controlpb.UpstreamState_UPSTREAM_STATE_FAILED {
			_, err := con.Write([]byte("POST"))
			must.ErrorIs(t, err, errGateClosed)
			reports++
		}
	}}, siskinrill.NewCounters())
	cli.accept(t.Context(), &Announcement{ID: "one", Service: "checkout", URL: "http://127.0.0.1:9", Slots: 1, Connections: 1, Sequence: firstSequence})
	att := siskinrill.NewAttempt(&peerpb.Open{Service: "checkout", BodyEnd: true}, nil)
	rnn := &run{cli: cli, att: att, gat: newGate(time.Now().Add(time.Minute)), cancel: func() {}}
	tgt := cli.begin(rnn)
	must.NotNil(t, tgt)
	con = &conn{Conn: fakeConn{}}
	con.attach(rnn.gat)
	cli.fail(tgt, "refused")
	must.Eq(t, 1, reports)
	must.Nil(t, cli.begin(rnn))
}
