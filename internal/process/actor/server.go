package actor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"google.golang.org/grpc"
)

// headerTimeout bounds the reading of a request's headers, so that idle connections that send nothing are closed.
const headerTimeout = 10 * time.Second

const (
	// acceptDelay is how long a connection takes from the kernel's queue to the server.
	acceptDelay = 50 * time.Millisecond
	// maxKeepAlive is a quarter of 4,096 descriptors, which hosts allow a process at least; the rest is for requests in hand and for other processes.
	maxKeepAlive = 1024
	// shutdownPoll is the time between two looks at the connections of a server that stops.
	shutdownPoll = 5 * time.Millisecond
)

// Server is an HTTP handler with its listener.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
}

// HTTP adds HTTP servers to a group; when the group ends, all of them stop at the same time and requests in flight have grace to finish.
func HTTP(grp *run.Group, grace time.Duration, srvs ...Server) {
	stops := make([]func(), len(srvs))
	var ended sync.WaitGroup
	for num, itm := range srvs {
		con := newConnections(maxKeepAlive)
		srv := &http.Server{Handler: con.limitKeepAlive(itm.Handler), ReadHeaderTimeout: headerTimeout, ConnState: con.stateChanged}
		stops[num] = func() { shutdown(srv, itm.Listener, con, grace) }
		grp.Add(
			func() error { return ignoreClosed(srv.Serve(&trackedListener{Listener: itm.Listener, cns: con})) },
			func(error) {
				if num == 0 {
					for _, stop := range stops {
						ended.Go(stop)
					}
				}
				ended.Wait()
			},
		)
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// GRPC adds a gRPC server to a group; when the group ends, calls in flight have grace to finish, so that answers which are being sent arrive.
func GRPC(grp *run.Group, grace time.Duration, lis net.Listener, srv *grpc.Server) {
	grp.Add(
		func() error { return srv.Serve(lis) },
		func(error) {
			defer time.AfterFunc(grace, srv.Stop).Stop()
			srv.GracefulStop()
		},
	)
}

// Loop adds a function that runs until its context ends.
func Loop(grp *run.Group, fn func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(
		func() error { return ignoreCancelled(ctx, fn(ctx)) },
		func(error) { cancel() },
	)
}

// ignoreCancelled drops the error of a context that ended as planned.
func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// Until adds an actor that ends the group once ctx is done and stop has returned; stop begins a planned stop while everything else still runs.
func Until(ctx context.Context, grp *run.Group, stop func()) {
	end := make(chan struct{})
	grp.Add(
		func() error {
			select {
			case <-ctx.Done():
				stop()
			case <-end:
			}
			return nil
		},
		func(error) { close(end) },
	)
}

// Listen opens a listener and closes those before it on an error.
func Listen(adr string, before ...net.Listener) (net.Listener, error) {
	lis, err := net.Listen("tcp", adr)
	if err == nil {
		return lis, nil
	}
	Close(before...)
	return nil, errors.Wrap(err, "listen")
}

// Close closes listeners that were opened but not served.
func Close(lst ...net.Listener) {
	for _, lis := range lst {
		if lis != nil {
			_ = lis.Close()
		}
	}
}
