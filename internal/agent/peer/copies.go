package peer

import (
	"context"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// SendCopies stores, replaces or drops copies of records at the agent with the given IP:port.
func (poo *Pool) SendCopies(ctx context.Context, addr string, req *peerpb.StoreCopiesRequest) error {
	err := poo.call(ctx, addr, func(cli peerpb.PeerServiceClient) error {
		_, err := cli.StoreCopies(ctx, req)
		return err
	})
	if err != nil {
		return errors.Wrap(err, "store copies")
	}
	return nil
}

// FetchCopies returns all copies of a partition at the agent with the given IP:port, or an error.
func (poo *Pool) FetchCopies(ctx context.Context, addr string, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error) {
	var cps []*peerpb.RecordCopy
	err := poo.call(ctx, addr, func(cli peerpb.PeerServiceClient) error {
		var err error
		cps, err = receiveCopies(ctx, cli, req)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "fetch copies")
	}
	return cps, nil
}

func receiveCopies(ctx context.Context, cli peerpb.PeerServiceClient, req *peerpb.FetchCopiesRequest) ([]*peerpb.RecordCopy, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	str, err := cli.FetchCopies(ctx, req)
	if err != nil {
		return nil, err
	}
	var cps []*peerpb.RecordCopy
	for {
		ans, err := str.Recv()
		if err == io.EOF {
			return cps, nil
		}
		if err != nil {
			return nil, err
		}
		cps = append(cps, ans.GetCopies()...)
	}
}

// StoreCopies passes copies to this agent's owner.
func (srv *Server) StoreCopies(ctx context.Context, req *peerpb.StoreCopiesRequest) (*peerpb.StoreCopiesAnswer, error) {
	ans, err := srv.owner.StoreCopies(ctx, req)
	if err != nil {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	return ans, nil
}

// FetchCopies streams the copies of a partition in messages of about transferBytes.
func (srv *Server) FetchCopies(req *peerpb.FetchCopiesRequest, str grpc.ServerStreamingServer[peerpb.FetchCopiesAnswer]) error {
	cps, err := srv.owner.FindCopies(str.Context(), req)
	if err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	cur, size := &peerpb.FetchCopiesAnswer{}, 0
	for _, cpy := range cps {
		num := proto.Size(cpy)
		if size > 0 && size+num > transferBytes {
			if err := str.Send(cur); err != nil {
				return err
			}
			cur, size = &peerpb.FetchCopiesAnswer{}, 0
		}
		cur.Copies = append(cur.Copies, cpy)
		size += num
	}
	return str.Send(cur)
}
