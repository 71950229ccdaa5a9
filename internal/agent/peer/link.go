package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// An agent may have 809 peers, so each connection has small buffers.
	socketBuffer = 4 << 10
	// Limits what an agent buffers for one slow stream.
	streamWindow = 128 << 10
	// Larger than streamWindow, so that one slow stream does not block the others on its connection.
	connectionWindow = 1 << 20
	maxMessageSize   = 4 << 20
	// A write of at least this duration was blocked by a full socket buffer, and only an acknowledgement of the
	// peer's host makes room there.
	blockedWriteThreshold = 20 * time.Millisecond
)

// socket is a connection that records when it received and whether it wrote.
type socket struct {
	net.Conn
	born     time.Time
	received atomic.Int64  // nanoseconds after born
	drained  atomic.Int64  // end of the last Write that was blocked by the peer, in nanoseconds after born
	writes   atomic.Uint64 // Write calls that reached the connection
	closed   atomic.Bool   // further Write calls do not reach the connection
}

// Read records the time of received data. A failure also disables writing, because gRPC writes a last frame to
// a broken connection, which would invalidate the proof that nothing was written.
func (sck *socket) Read(buf []byte) (int, error) {
	num, err := sck.Conn.Read(buf)
	if num > 0 {
		sck.received.Store(int64(time.Since(sck.born)))
	}
	if err != nil {
		sck.closed.Store(true)
	}
	return num, err
}

// Write increments the counter before it checks whether the socket is closed, so that an unchanged count of a
// closed socket proves that nothing was or will be written.
func (sck *socket) Write(buf []byte) (int, error) {
	sck.writes.Add(1)
	if sck.closed.Load() {
		sck.writes.Add(^uint64(0))
		return 0, net.ErrClosed
	}
	beg := time.Now()
	num, err := sck.Conn.Write(buf)
	if err == nil && time.Since(beg) >= blockedWriteThreshold {
		sck.drained.Store(int64(time.Since(sck.born)))
	}
	return num, err
}

// Close disables writing and closes the connection.
func (sck *socket) Close() error {
	sck.closed.Store(true)
	return sck.Conn.Close()
}

// lastReceived returns when the connection last received data.
func (sck *socket) lastReceived() time.Time { return sck.born.Add(time.Duration(sck.received.Load())) }

// drainedAt returns when a blocked write last completed.
func (sck *socket) drainedAt() time.Time { return sck.born.Add(time.Duration(sck.drained.Load())) }

func (sck *socket) sinceReceived() time.Duration {
	return time.Since(sck.born) - time.Duration(sck.received.Load())
}

// link is one TCP connection to a peer; it does not reconnect.
type link struct {
	address   string
	socket    *socket
	conn      *grpc.ClientConn
	client    peerpb.PeerServiceClient
	roundTrip time.Duration // of the handshake, which the peer's process answers
	pings     singleflight.Group

	// Guarded by Pool.mu.
	outstanding int
	lastUsed    time.Time
	busySince   time.Time // when the first request after the last idle time was added
	pingedAt    time.Time // zero if no ping by Pool.watch is unanswered
	suspectedAt time.Time // zero if the link is not suspect
	replacedAt  time.Time // when a newer link to the address was created, zero if none was since suspectedAt
}

// dial connects and waits until the peer has sent its first frame.
func dial(ctx context.Context, addr string) (*link, error) {
	raw, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	lnk := &link{address: addr, socket: &socket{Conn: raw, born: time.Now()}}
	lnk.conn, err = grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(lnk.dialOnce()),
		grpc.WithReadBufferSize(socketBuffer),
		grpc.WithWriteBufferSize(socketBuffer),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize), grpc.ForceCodecV2(newCodec())),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
	)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "connect")
	}
	lnk.client = peerpb.NewPeerServiceClient(lnk.conn)
	beg := time.Now()
	if err := lnk.awaitReady(ctx); err != nil {
		lnk.close()
		return nil, err
	}
	lnk.roundTrip = time.Since(beg)
	return lnk, nil
}

// dialOnce passes the socket to gRPC for its first connection and fails all further ones, so that a link never
// spans two connections.
func (lnk *link) dialOnce() func(context.Context, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errors.New("connection was lost, the link does not reconnect")
		}
		return lnk.socket, nil
	}
}

func (lnk *link) awaitReady(ctx context.Context) error {
	lnk.conn.Connect()
	for {
		cur := lnk.conn.GetState()
		switch cur {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.Errorf("handshake with %s failed", lnk.address)
		}
		if !lnk.conn.WaitForStateChange(ctx, cur) {
			return errors.Wrap(ctx.Err(), "handshake")
		}
	}
}

// ping returns when the peer has answered.
func (lnk *link) ping(ctx context.Context) error {
	_, err := lnk.client.Ping(ctx, &peerpb.PingRequest{})
	return err
}

// lastActive returns when the link last received data or, if later, started to wait for an answer; the caller
// holds Pool.mu.
func (lnk *link) lastActive() time.Time { return later(lnk.socket.lastReceived(), lnk.busySince) }

func (lnk *link) close() {
	_ = lnk.socket.Close()
	_ = lnk.conn.Close()
}

// nothingWritten reports whether it is guaranteed that nothing was or will be written since the count was taken.
func (lnk *link) nothingWritten(writes uint64) bool {
	return lnk.socket.closed.Load() && lnk.socket.writes.Load() == writes
}
