package peer

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// forward is one attempt on one link.
type forward struct {
	pool         *Pool
	link         *link
	att          *siskinrill.Attempt
	ctx          context.Context // of the caller
	cancel       context.CancelFunc
	stream       grpc.ClientStream
	writesBefore uint64 // socket.writes of the link before the attempt
	ended        atomic.Bool
	uploading    bool // the part after the first message is being sent
}

// An attempt whose entire body is in the first message needs no further frame to end its side of the stream.
var (
	inlineBodyDesc   = grpc.StreamDesc{StreamName: "Forward", ServerStreams: true}
	streamedBodyDesc = grpc.StreamDesc{StreamName: "Forward", ServerStreams: true, ClientStreams: true}
)

// Forward sends an attempt to the agent at an IP:port and returns its answer; errors are of type *siskinrill.Refusal.
func (poo *Pool) Forward(ctx context.Context, addr string, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	lnk, err := poo.pickLink(ctx, addr, att.Idempotent())
	if err != nil {
		return nil, unsentRefusal(ctx, err)
	}
	att = deferBody(att)
	sctx, cancel := context.WithCancel(withoutDeadline{ctx})
	fwd := &forward{pool: poo, link: lnk, att: att, ctx: ctx, cancel: cancel, writesBefore: lnk.socket.writes.Load()}
	ans, err := fwd.run(sctx, att)
	if err != nil {
		fwd.finish()
		return nil, err
	}
	if ans.Body() == nil {
		fwd.finish()
	}
	return ans, nil
}

// deferBody returns an attempt whose body, unless it is short, is sent after the first message when the owner requests it.
func deferBody(att *siskinrill.Attempt) *siskinrill.Attempt {
	opn := att.Open()
	prefix := opn.GetBody()
	if len(prefix) <= maxInlineRequestBody {
		return att
	}
	fst := bytes.NewReader(prefix)
	if opn.GetBodyEnd() || att.Body() == nil {
		return att.WithBody(nil, fst, int64(len(prefix)))
	}
	return att.WithBody(nil, io.MultiReader(fst, att.Body()), opn.GetBodyLength())
}

// withoutDeadline hides the deadline of a context but not its cancellation: the first message carries the
// deadline, and a second one for gRPC would cost a timer and a header.
type withoutDeadline struct{ context.Context }

// Deadline always reports that there is none.
func (withoutDeadline) Deadline() (time.Time, bool) { return time.Time{}, false }

// pickLink returns a link; a request that must not run twice gets a verified one.
func (poo *Pool) pickLink(ctx context.Context, addr string, idempotent bool) (*link, error) {
	if idempotent {
		return poo.acquire(ctx, addr)
	}
	return poo.acquireVerified(ctx, addr)
}

// unsentRefusal returns the refusal of an attempt for which there is no connection.
func unsentRefusal(ctx context.Context, err error) *siskinrill.Refusal {
	rsn := siskinrill.ReasonUnreachable
	if ctx.Err() != nil {
		rsn = endReason(ctx)
	}
	return siskinrill.NewRefusal(rsn, peerpb.Outcome_OUTCOME_NOT_RUN, err)
}

func endReason(ctx context.Context) siskinrill.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return siskinrill.ReasonDeadline
	}
	return siskinrill.ReasonCallerGone
}

func (fwd *forward) run(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
	dsc := &streamedBodyDesc
	if att.Open().GetBodyEnd() {
		dsc = &inlineBodyDesc
	}
	str, err := fwd.link.conn.NewStream(ctx, dsc, peerpb.PeerService_Forward_FullMethodName)
	if err != nil {
		return nil, fwd.streamRefusal(err)
	}
	fwd.stream = str
	err = str.SendMsg(&peerpb.EntryMessage{Kind: &peerpb.EntryMessage_Open{Open: att.Open()}})
	// io.EOF means that the stream has ended; receiving returns the cause.
	if err != nil && err != io.EOF {
		return nil, fwd.streamRefusal(err)
	}
	beg := time.Now()
	for {
		msg := &peerpb.OwnerMessage{}
		if err := str.RecvMsg(msg); err != nil {
			return nil, fwd.streamRefusal(err)
		}
		fwd.pool.recordAnswerTime(fwd.link, time.Since(beg))
		switch knd := msg.GetKind().(type) {
		case *peerpb.OwnerMessage_Refused:
			fwd.receiveEnd()
			return nil, refusal(knd.Refused)
		case *peerpb.OwnerMessage_Response:
			return fwd.answer(knd.Response)
		case *peerpb.OwnerMessage_Continue:
			fwd.startUpload()
		default:
			return nil, siskinrill.Unknown(siskinrill.ReasonInternal, errors.Errorf("unexpected message %T", knd))
		}
	}
}

// startUpload starts sending the part of the body that follows the first message.
func (fwd *forward) startUpload() {
	if fwd.att.Body() != nil && !fwd.uploading {
		fwd.uploading = true
		go fwd.upload(fwd.att)
	}
}

// upload sends the part of the body that follows the first message; if reading it fails, it cancels the
// attempt, so that the owner detects a truncated body.
func (fwd *forward) upload(att *siskinrill.Attempt) {
	err := sendChunks(att.Body(), int64(len(att.Open().GetBody())), func(dat *peerpb.Data) error {
		return fwd.stream.SendMsg(&peerpb.EntryMessage{Kind: &peerpb.EntryMessage_Data{Data: dat}})
	})
	if err == nil {
		err = fwd.stream.CloseSend()
	}
	// An unwrapped io.EOF means that the stream has ended; a truncated body may wrap one.
	if err != nil && err != io.EOF {
		fwd.cancel()
	}
}

func (fwd *forward) answer(hea *peerpb.Response) (*siskinrill.Answer, error) {
	got := int64(len(hea.GetBody()))
	if !hea.GetBodyEnd() {
		return siskinrill.NewAnswer(hea, &answerBody{fwd: fwd, length: hea.GetBodyLength(), total: got}), nil
	}
	if got != hea.GetBodyLength() {
		return nil, siskinrill.Unknown(siskinrill.ReasonBackendBadAnswer, checkTotal(got, got, hea.GetBodyLength()))
	}
	fwd.receiveEnd()
	return siskinrill.NewAnswer(hea, nil), nil
}

// receiveEnd receives the end of the stream, which immediately follows the last message.
func (fwd *forward) receiveEnd() { _ = fwd.stream.RecvMsg(&peerpb.OwnerMessage{}) }

// finish releases the stream and the link; it may be called more than once.
func (fwd *forward) finish() {
	if fwd.ended.Swap(true) {
		return
	}
	fwd.cancel()
	fwd.pool.release(fwd.link)
}

// streamRefusal returns the refusal of an attempt whose stream failed.
func (fwd *forward) streamRefusal(err error) *siskinrill.Refusal {
	cod := status.Code(err)
	if cod == codes.Unavailable {
		fwd.pool.closeLink(fwd.link)
	}
	if fwd.link.nothingWritten(fwd.writesBefore) {
		return siskinrill.NewRefusal(siskinrill.ReasonUnreachable, peerpb.Outcome_OUTCOME_NOT_RUN, err)
	}
	rsn := siskinrill.ReasonConnectionLost
	switch {
	case fwd.ctx.Err() != nil:
		rsn = endReason(fwd.ctx)
	case cod == codes.DeadlineExceeded:
		rsn = siskinrill.ReasonDeadline
	case cod == codes.DataLoss:
		rsn = siskinrill.ReasonBackendBadAnswer
	}
	return siskinrill.Unknown(rsn, err)
}

func refusal(msg *peerpb.Refused) *siskinrill.Refusal {
	out := msg.GetOutcome()
	if out != peerpb.Outcome_OUTCOME_NOT_RUN {
		out = peerpb.Outcome_OUTCOME_UNKNOWN
	}
	return siskinrill.NewRefusal(siskinrill.Reason(msg.GetReason()), out, nil).
		WithRetryAfter(time.Duration(msg.GetRetryAfterMs()) * time.Millisecond).
		WithVersion(msg.GetVersion()).
		WithLoad(msg.GetLoad())
}

// answerBody reads the part of an answer's body that follows the first message.
type answerBody struct {
	fwd    *forward
	length int64 // -1 if unknown
	total  int64
	rest   []byte
	err    error
}

// Read returns io.EOF only if the announced end arrived and the length matches; other errors are of type
// *siskinrill.Refusal.
func (bdy *answerBody) Read(buf []byte) (int, error) {
	for len(bdy.rest) == 0 && bdy.err == nil {
		bdy.next()
	}
	if len(bdy.rest) == 0 {
		return 0, bdy.err
	}
	num := copy(buf, bdy.rest)
	bdy.rest = bdy.rest[num:]
	return num, nil
}

func (bdy *answerBody) next() {
	msg := &peerpb.OwnerMessage{}
	err := bdy.fwd.stream.RecvMsg(msg)
	if err == io.EOF {
		if bdy.fwd.pool.hooks.skipEnd {
			bdy.err = io.EOF
			return
		}
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		bdy.err = bdy.fwd.streamRefusal(err)
		return
	}
	// An owner may answer before it reads the body of the request.
	if msg.GetContinue() != nil {
		bdy.fwd.startUpload()
		return
	}
	dat := msg.GetData()
	if dat == nil {
		bdy.err = siskinrill.Unknown(siskinrill.ReasonInternal, errors.New("answer body: unexpected message"))
		return
	}
	bdy.rest = dat.GetBytes()
	bdy.total += int64(len(bdy.rest))
	if !dat.GetEnd() {
		return
	}
	bdy.err = checkTotal(bdy.total, dat.GetTotal(), bdy.length)
	if bdy.err != io.EOF {
		bdy.err = siskinrill.Unknown(siskinrill.ReasonBackendBadAnswer, bdy.err)
		return
	}
	bdy.fwd.receiveEnd()
}

// Close ends the attempt and cancels its stream if the owner is still sending.
func (bdy *answerBody) Close() error {
	bdy.fwd.finish()
	return nil
}
