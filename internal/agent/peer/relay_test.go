package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// relay forwards TCP connections and can stop forwarding existing ones without closing them.
type relay struct {
	lis          net.Listener
	target       string
	mu           sync.Mutex
	generation   *connGeneration
	conns        []net.Conn
	opened       int
	refuse       atomic.Bool
	blackholeNew atomic.Bool  // also drop the bytes of new connections
	received     atomic.Int64 // bytes received from clients
}

// connGeneration is shared by the connections accepted since the last call of blackhole.
type connGeneration struct{ blackholed atomic.Bool }

func newRelay(t testing.TB, target string) *relay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	rel := &relay{lis: lis, target: target, generation: &connGeneration{}}
	t.Cleanup(func() {
		_ = lis.Close()
		rel.closeConnections()
	})
	go rel.accept()
	return rel
}

func (rel *relay) address() string { return rel.lis.Addr().String() }

func (rel *relay) accept() {
	for {
		inn, err := rel.lis.Accept()
		if err != nil {
			return
		}
		rel.mu.Lock()
		rel.opened++
		rel.mu.Unlock()
		out, err := net.Dial("tcp", rel.target)
		if err != nil || rel.refuse.Load() {
			_ = inn.Close()
			continue
		}
		rel.mu.Lock()
		rel.conns = append(rel.conns, inn, out)
		gen := rel.generation
		if rel.blackholeNew.Load() {
			gen = &connGeneration{}
			gen.blackholed.Store(true)
		}
		rel.mu.Unlock()
		go pipe(gen, &countedReader{Conn: inn, sum: &rel.received}, out)
		go pipe(gen, out, inn)
	}
}

// countedReader adds the number of bytes that it reads to a sum.
type countedReader struct {
	net.Conn
	sum *atomic.Int64
}

func (crd *countedReader) Read(buf []byte) (int, error) {
	num, err := crd.Conn.Read(buf)
	crd.sum.Add(int64(num))
	return num, err
}

func pipe(gen *connGeneration, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		num, err := from.Read(buf)
		if gen.blackholed.Load() {
			// The bytes are dropped and the connection stays open, as with a middlebox that has lost its state.
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(buf[:num]); err != nil || werr != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// connections returns the number of accepted connections.
func (rel *relay) connections() int {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	return rel.opened
}

// blackhole drops all bytes of the existing connections; new ones work.
func (rel *relay) blackhole() {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.generation.blackholed.Store(true)
	rel.generation = &connGeneration{}
}

// blackholeAll drops all bytes of existing and new connections.
func (rel *relay) blackholeAll() {
	rel.blackhole()
	rel.blackholeNew.Store(true)
}

// refuseAll closes existing connections and refuses new ones.
func (rel *relay) refuseAll() {
	rel.refuse.Store(true)
	rel.closeConnections()
}

// closeConnections closes the existing connections.
func (rel *relay) closeConnections() {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	for _, con := range rel.conns {
		_ = con.Close()
	}
	rel.conns = nil
}

// fakeOwner handles attempts with a function and records what arrived.
type fakeOwner struct {
	siskinrill.Owner
	handle  func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error)
	arrived atomic.Int32
	copies  []*peerpb.RecordCopy
}

func (own *fakeOwner) Handle(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	own.arrived.Add(1)
	return own.handle(ctx, att)
}

func (own *fakeOwner) Withdraw(context.Context, *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error) {
	return &peerpb.WithdrawAnswer{Result: peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN}, nil
}

func (own *fakeOwner) Transfer(_ context.Context, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	return &peerpb.TransferAnswer{Kept: uint32(len(req.GetRecords()))}, nil
}

func (own *fakeOwner) CurrentLoad() *peerpb.OwnerLoad { return nil }

func (own *fakeOwner) StoreCopies(_ context.Context, req *peerpb.StoreCopiesRequest) (*peerpb.StoreCopiesAnswer, error) {
	own.copies = append(own.copies, req.GetCopies()...)
	return &peerpb.StoreCopiesAnswer{}, nil
}

func (own *fakeOwner) FindCopies(context.Context, *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error) {
	return own.copies, nil
}

// echo answers with the request's body.
func echo(_ context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	bdy := att.Open().GetBody()
	if att.Body() != nil {
		rst, err := io.ReadAll(att.Body())
		if err != nil {
			return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, err)
		}
		bdy = append(append([]byte{}, bdy...), rst...)
	}
	hea := &peerpb.Response{Status: 200, BodyLength: int64(len(bdy)), Body: bdy, BodyEnd: true}
	return siskinrill.NewAnswer(hea, nil), nil
}

// pingCounter counts the pings that it answers.
type pingCounter struct {
	*Server
	count atomic.Int32
}

func (srv *pingCounter) Ping(ctx context.Context, req *peerpb.PingRequest) (*peerpb.PingAnswer, error) {
	srv.count.Add(1)
	return srv.Server.Ping(ctx, req)
}

// fixture is a server behind a relay, and a pool that reaches it.
type fixture struct {
	own *fakeOwner
	srv *Server
	rel *relay
	poo *Pool
	cnt *siskinrill.Counters
}

func newFixture(t testing.TB) *fixture {
	own := &fakeOwner{handle: echo}
	fix := &fixture{own: own, srv: NewServer(own, nil), cnt: siskinrill.NewCounters()}
	fix.rel = newRelay(t, serve(t, func(gsv *grpc.Server) { fix.srv.Register(gsv) }))
	fix.poo = NewPool(Options{Counters: fix.cnt})
	t.Cleanup(fix.poo.Close)
	return fix
}

// serve starts a gRPC server on loopback and returns its address.
func serve(t testing.TB, register func(*grpc.Server)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	gsv := grpc.NewServer(ServerOptions()...)
	register(gsv)
	go func() { _ = gsv.Serve(lis) }()
	t.Cleanup(gsv.Stop)
	return lis.Addr().String()
}
