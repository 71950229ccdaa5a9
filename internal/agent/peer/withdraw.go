package peer

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Records are transferred in messages far below maxMessageSize.
const transferBytes = 1 << 20

// Withdraw withdraws an attempt at the owner with the given IP:port over a verified connection, and repeats the
// call over a new one if that fails; after an error the outcome is unknown.
func (poo *Pool) Withdraw(ctx context.Context, addr string, req *peerpb.WithdrawRequest) (*peerpb.WithdrawAnswer, error) {
	var ans *peerpb.WithdrawAnswer
	err := poo.call(ctx, addr, func(cli peerpb.PeerServiceClient) error {
		var err error
		ans, err = cli.Withdraw(ctx, req)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "withdraw")
	}
	return ans, nil
}

// Transfer sends idempotency records to the agent with the given IP:port, in several messages if necessary.
func (poo *Pool) Transfer(ctx context.Context, addr string, req *peerpb.TransferRequest) (*peerpb.TransferAnswer, error) {
	sum := &peerpb.TransferAnswer{}
	for _, prt := range splitTransfer(req) {
		err := poo.call(ctx, addr, func(cli peerpb.PeerServiceClient) error {
			ans, err := cli.Transfer(ctx, prt)
			sum.Kept += ans.GetKept()
			return err
		})
		if err != nil {
			return nil, errors.Wrap(err, "transfer")
		}
	}
	return sum, nil
}

// splitTransfer splits a transfer into messages of about transferBytes.
func splitTransfer(req *peerpb.TransferRequest) []*peerpb.TransferRequest {
	var prts []*peerpb.TransferRequest
	var cur *peerpb.TransferRequest
	size := 0
	for _, rec := range req.GetRecords() {
		num := proto.Size(rec)
		if cur == nil || size+num > transferBytes {
			cur = &peerpb.TransferRequest{FromSession: req.GetFromSession(), ToSession: req.GetToSession()}
			prts = append(prts, cur)
			size = 0
		}
		cur.Records = append(cur.Records, rec)
		size += num
	}
	return prts
}

// call makes an idempotent unary call on up to two connections.
func (poo *Pool) call(ctx context.Context, addr string, fnc func(peerpb.PeerServiceClient) error) error {
	var err error
	for range 2 {
		var lnk *link
		if lnk, err = poo.acquireVerified(ctx, addr); err != nil {
			return err
		}
		err = fnc(lnk.client)
		poo.release(lnk)
		if status.Code(err) != codes.Unavailable {
			return err
		}
		poo.closeLink(lnk)
	}
	return err
}
