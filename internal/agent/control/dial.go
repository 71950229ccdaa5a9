package control

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/gzip"
)

// stream is one connection to a control process; Send, Recv and Received may be called concurrently.
type stream interface {
	Send(*controlpb.AgentMessage) error
	Recv() (*controlpb.ControlMessage, error)
	// Received returns the number of bytes received, including those of an incomplete message.
	Received() uint64
}

// meteredStream is a gRPC stream with the byte count of its connection.
type meteredStream struct {
	controlpb.SessionService_ConnectClient
	received *atomic.Uint64
}

// Received implements stream.
func (str meteredStream) Received() uint64 { return str.received.Load() }

// meteredConn counts the bytes read.
type meteredConn struct {
	net.Conn
	received *atomic.Uint64
}

// Read implements net.Conn.
func (cnn meteredConn) Read(buf []byte) (int, error) {
	num, err := cnn.Conn.Read(buf)
	cnn.received.Add(uint64(num))
	return num, err
}

// dialFunc opens a stream to an address. The stream ends with the context; the returned function closes the
// connection.
type dialFunc func(ctx context.Context, addr string) (stream, func(), error)

const (
	// Small buffers save memory; this connection usually carries little traffic.
	socketBuffer = 4 << 10
	// A static window disables gRPC's bandwidth probes, which would use part of the byte budget. 64 KB is the
	// smallest window that gRPC accepts. The leader admits large messages by how much of them the agent has
	// received, which it can only see beyond the window.
	streamWindow = 64 << 10
	// A snapshot with 16,384 partitions and 810 nodes takes about 400 KB.
	maxMessageBytes = 64 << 20
)

// dialGRPC opens a new connection each time, so that an unresponsive one is never reused.
func (opt Options) dialGRPC(ctx context.Context, addr string) (stream, func(), error) {
	rcv := &atomic.Uint64{}
	dop := opt.dialOptions(rcv)
	con, err := grpc.NewClient("passthrough:///"+addr, dop...)
	if err != nil {
		return nil, nil, errors.Wrap(err, "dial control")
	}
	str, err := controlpb.NewSessionServiceClient(con).Connect(ctx)
	if err != nil {
		_ = con.Close()
		return nil, nil, errors.Wrap(err, "open session stream")
	}
	return meteredStream{SessionService_ConnectClient: str, received: rcv}, func() { _ = con.Close() }, nil
}

func (opt Options) dialOptions(rcv *atomic.Uint64) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(socketBuffer),
		grpc.WithWriteBufferSize(socketBuffer),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(streamWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.UseCompressor(gzip.Name)),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: opt.WelcomeTimeout}),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			cnn, err := opt.connect(ctx, addr)
			if err != nil {
				return nil, err
			}
			return meteredConn{Conn: cnn, received: rcv}, nil
		}),
	}
}

// connect opens a TCP connection. Its timeout is short so that a host that returns is found quickly; the
// handshake after it may take longer.
func (opt Options) connect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, opt.ConnectTimeout)
	defer cancel()
	if opt.Dial != nil {
		return opt.Dial(ctx, addr)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}
