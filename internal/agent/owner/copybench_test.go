package owner

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/peer"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// BenchmarkCopies measures a non-idempotent request without a backend server: without an Idempotency-Key, with one
// and no other agent, and with copies on two agents over loopback.
func BenchmarkCopies(b *testing.B) {
	tests := map[string]struct {
		nodes int
		key   bool
	}{"no key": {nodes: 3}, "key, no other agent": {nodes: 1, key: true}, "key, two copies": {nodes: 3, key: true}}
	for name, tcs := range tests {
		b.Run(name, func(b *testing.B) {
			bnc := newBench(b.Context(), 64)
			poo := peer.NewPool(peer.Options{})
			b.Cleanup(poo.Close)
			bnc.own.fwd = poo
			bnc.own.opt.MaxRecords, bnc.own.opt.MaxIdempotency = 1<<30, 1<<30
			nodes := []*controlpb.Node{{Session: ownSession, Name: "n0", Zone: "z0"}}
			for pos := 1; pos < tcs.nodes; pos++ {
				num := strconv.Itoa(pos)
				nodes = append(nodes, &controlpb.Node{Session: uint64(100 + pos), Name: "n" + num, Zone: "z" + num, PeerAddress: serveHolder(b)})
			}
			bnc.ses.change(func() { bnc.ses.nodes = nodes })
			time.Sleep(10 * time.Millisecond) // wait for the end of the ramp
			b.ReportAllocs()
			for num := uint64(1); b.Loop(); num++ {
				runKeyed(b, bnc.own, num, tcs.key)
			}
		})
	}
}

func runKeyed(b *testing.B, own *Owner, num uint64, key bool) {
	b.Helper()
	opn := open(num, "ab")
	if key {
		opn.IdempotencyKey = strconv.FormatUint(num, 10)
	}
	opn.Body = make([]byte, 256)
	_, err := own.Handle(b.Context(), siskinrill.NewAttempt(opn, nil))
	must.NoError(b, err)
}

// serveHolder starts the server of an agent that holds copies and returns its address.
func serveHolder(b *testing.B) string {
	b.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	gsv := grpc.NewServer(peer.ServerOptions()...)
	peerpb.RegisterPeerServiceServer(gsv, peer.NewServer(newBench(b.Context(), 1).own, nil))
	go func() { _ = gsv.Serve(lis) }()
	b.Cleanup(gsv.Stop)
	return lis.Addr().String()
}
