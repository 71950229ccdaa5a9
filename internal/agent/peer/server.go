package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/host/egress"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Server handles calls of other agents by passing them to this agent's owner.
type Server struct {
	peerpb.UnimplementedPeerServiceServer
	owner siskinrill.Owner
	lease siskinrill.Lease
	pacer *egress.Pacer
	hooks serverHooks
}

// serverHooks inject faults for tests.
type serverHooks struct {
	skipEnd bool // omit the end of an answer
}

// NewServer returns a server for an owner; the lease supplies the session in ping answers and may be nil.
func NewServer(own siskinrill.Owner, lea siskinrill.Lease) *Server {
	return &Server{owner: own, lease: lea}
}

// SetPacer limits the rate of long answers; it must be called before the server serves.
func (srv *Server) SetPacer(pac *egress.Pacer) { srv.pacer = pac }

// Register adds the peer service to a gRPC server.
func (srv *Server) Register(reg grpc.ServiceRegistrar) { peerpb.RegisterPeerServiceServer(reg, srv) }

// ServerOptions returns the options of a gRPC server for up to 809 peers with small buffers.
func ServerOptions() []grpc.ServerOption {
	return append(
		ingress.ServerOptions(),
		grpc.ReadBufferSize(socketBuffer),
		grpc.WriteBufferSize(socketBuffer),
		grpc.SharedWriteBuffer(true),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.ForceServerCodecV2(newCodec()),
		// A peer that disappeared without closing its connection must not occupy its buffers forever.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 5 * time.Second}),
		// Workers reuse their grown stacks; requests above their number get their own goroutines.
		grpc.NumStreamWorkers(uint32(2*runtime.GOMAXPROCS(0))),
	)
}

// Ping answers with the current session of this agent.
func (srv *Server) Ping(_ context.Context, req *peerpb.PingRequest) (*peerpb.PingAnswer, error) {
	ans := &peerpb.PingAnswer{Sequence: req.GetSequence()}
	if srv.lease != nil {
		ans.Session = srv.lease.Session()
	}
	return ans, nil
}

// Withdraw passes a withdrawal to the owner.
func (srv *Server) Withdraw(ctx context.Context, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error) {
	ans, err := srv.owner.Withdraw(ctx, req)
	if err != nil {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	return ans, nil
}

// Transfer passes idempotency records to the owner.
func (srv *Server) Transfer(ctx context.Context, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	ans, err := srv.owner.Transfer(ctx, req)
	if err != nil {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	return ans, nil
}

// Forward runs one attempt and streams its answer or refusal.
func (srv *Server) Forward(str peerpb.PeerService_ForwardServer) error {
	var fst firstMessage
	if err := str.RecvMsg(&fst); err != nil {
		return err
	}
	defer fst.release()
	if fst.refused {
		rpl := &reply{stream: str, owner: srv.owner}
		return rpl.sendRefusal(siskinrill.NotRun(siskinrill.ReasonHeadMemory))
	}
	opn := fst.msg.GetOpen()
	if opn == nil {
		return status.Error(codes.InvalidArgument, "the first message must open an attempt")
	}
	ctx, cancel := context.WithTimeout(str.Context(), time.Duration(opn.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	rpl := &reply{stream: str, owner: srv.owner, method: opn.GetMethod(), pacer: srv.pacer, skipEnd: srv.hooks.skipEnd}
	var bdy io.Reader
	if !opn.GetBodyEnd() {
		bdy = &requestBody{reply: rpl, stream: str, length: opn.GetBodyLength(), total: int64(len(opn.GetBody()))}
	}
	ans, err := srv.owner.Handle(ctx, siskinrill.NewAttempt(opn, bdy))
	if err != nil {
		return rpl.sendRefusal(err)
	}
	defer func() { _ = ans.Close() }()
	return rpl.sendAnswer(ans)
}

// reply sends the owner's messages of one attempt; the body reader and the handler share it.
type reply struct {
	mu      sync.Mutex
	stream  peerpb.PeerService_ForwardServer
	owner   siskinrill.Owner
	method  string
	pacer   *egress.Pacer
	skipEnd bool
}

func (rpl *reply) send(msg *peerpb.OwnerMessage) error {
	rpl.mu.Lock()
	defer rpl.mu.Unlock()
	return rpl.stream.Send(msg)
}

func (rpl *reply) sendRefusal(err error) error {
	ref := &siskinrill.Refusal{}
	if !errors.As(err, &ref) {
		ref = siskinrill.Unknown(siskinrill.ReasonInternal, err)
	}
	msg := &peerpb.Refused{
		Reason:       string(ref.Reason()),
		Outcome:      ref.Outcome(),
		RetryAfterMs: uint32(ref.RetryAfter().Milliseconds()),
		Version:      ref.Version(),
		Load:         rpl.owner.CurrentLoad(),
	}
	return rpl.send(&peerpb.OwnerMessage{Kind: &peerpb.OwnerMessage_Refused{Refused: msg}})
}

// sendAnswer sends an answer; a short body of known length is included in the first message.
func (rpl *reply) sendAnswer(ans *siskinrill.Answer) error {
	hea := ans.Head()
	if ans.Body() == nil || hea.GetBodyEnd() {
		return rpl.sendBuffered(hea)
	}
	if lng := hea.GetBodyLength(); lng >= 0 && lng <= int64(rpl.maxInline()) {
		bdy := make([]byte, lng)
		num := copy(bdy, hea.GetBody())
		if err := readExactly(ans.Body(), bdy[num:]); err != nil {
			return status.Error(codes.DataLoss, "answer of the backend server: "+err.Error())
		}
		return rpl.sendResponse(completeResponse(hea, bdy))
	}
	if err := rpl.sendResponse(hea); err != nil {
		return err
	}
	return rpl.sendRest(ans.Body(), int64(len(hea.GetBody())))
}

// sendBuffered sends an answer whose body is in memory; a long body is split, because messages must stay small.
func (rpl *reply) sendBuffered(hea *peerpb.Response) error {
	bdy := hea.GetBody()
	if lng := hea.GetBodyLength(); lng >= 0 && lng != int64(len(bdy)) && !rpl.bodyless(hea.GetStatus()) {
		return status.Errorf(codes.DataLoss, "answer has %d bytes, its head tells %d", len(bdy), lng)
	}
	inline := rpl.maxInline()
	if len(bdy) <= inline {
		return rpl.sendResponse(completeResponse(hea, bdy))
	}
	fst := &peerpb.Response{
		Status: hea.GetStatus(), Headers: hea.GetHeaders(),
		BodyLength: int64(len(bdy)), Body: bdy[:inline],
	}
	if err := rpl.sendResponse(fst); err != nil {
		return err
	}
	return rpl.sendRest(bytes.NewReader(bdy[inline:]), int64(inline))
}

// maxInline returns the length of the part of an answer that the first message may contain. Answers that are paced are sent
// in chunks, so that they take turns.
func (rpl *reply) maxInline() int {
	if rpl.pacer != nil {
		return chunkSize
	}
	return maxInlineAnswerBody
}

// bodyless reports whether an answer may declare a length without a body.
func (rpl *reply) bodyless(sts uint32) bool {
	return rpl.method == http.MethodHead || sts == http.StatusNoContent || sts == http.StatusNotModified
}

// completeResponse returns a response that contains its entire body.
func completeResponse(hea *peerpb.Response, bdy []byte) *peerpb.Response {
	return &peerpb.Response{
		Status: hea.GetStatus(), Headers: hea.GetHeaders(),
		BodyLength: int64(len(bdy)), Body: bdy, BodyEnd: true,
	}
}

// sendResponse sends a copy of the first message of an answer, because the original may be shared with a stored record.
func (rpl *reply) sendResponse(rsp *peerpb.Response) error {
	if err := rpl.pacer.Wait(rpl.stream.Context(), len(rsp.GetBody())); err != nil {
		return err
	}
	msg := &peerpb.Response{
		Status: rsp.GetStatus(), Headers: rsp.GetHeaders(), BodyLength: rsp.GetBodyLength(),
		Body: rsp.GetBody(), BodyEnd: rsp.GetBodyEnd(), Load: rpl.owner.CurrentLoad(),
	}
	return rpl.send(&peerpb.OwnerMessage{Kind: &peerpb.OwnerMessage_Response{Response: msg}})
}

// sendRest sends the part of a body that follows the first message, and its end.
func (rpl *reply) sendRest(bdy io.Reader, total int64) error {
	err := sendChunks(bdy, total, func(dat *peerpb.Data) error {
		if dat.GetEnd() && rpl.skipEnd {
			return nil
		}
		if err := rpl.pacer.Wait(rpl.stream.Context(), len(dat.GetBytes())); err != nil {
			return err
		}
		return rpl.send(&peerpb.OwnerMessage{Kind: &peerpb.OwnerMessage_Data{Data: dat}})
	})
	if err != nil {
		return status.Error(codes.DataLoss, "answer cut: "+err.Error())
	}
	return nil
}
