package ingress

import (
	"time"

	"google.golang.org/grpc"
)

const (
	// maxStreamHead is the largest head of a call in bytes; siskinrill's own take about 200.
	maxStreamHead = 8 << 10
	// maxStreams is the number of open calls on a connection, above the 512 requests that an entry has outstanding at an owner.
	maxStreams = 1024
	// handshakeTimeout limits the time until a new connection speaks HTTP/2.
	handshakeTimeout = 5 * time.Second
)

// ServerOptions returns the limits of a gRPC server for heads, calls and connections that are not used.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxHeaderListSize(maxStreamHead),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
	}
}
