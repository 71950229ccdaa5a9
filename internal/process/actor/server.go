package actor

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"google.golang.org/grpc"
)

// headerTimeout bounds the reading of a request's headers, so that idle connections that send nothing are closed.
const headerTimeout = 10 * time.Second

// acceptTime is how long the first request of an accepted connection may take to arrive and be read.
const acceptTime = 50 * time.Millisecond

// Server is an HTTP handler with its listener.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
}

// HTTP adds an HTTP server to a group; when the group ends, requests in flight have grace to finish.
func HTTP(grp *run.Group, lis net.Listener, hdl http.Handler, grace time.Duration) {
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: headerTimeout}
	grp.Add(
		func() error { return served(srv.Serve(lis)) },
		func(error) { shutdown(srv, lis, grace) },
	)
}

// shutdown closes the listener some time before the server, because a server that shuts down drops the requests that it has just read.
func shutdown(srv *http.Server, lis net.Listener, grace time.Duration) {
	_ = lis.Close()
	time.Sleep(min(acceptTime, grace))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		_ = srv.Close()
	}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// GRPC adds a gRPC server to a group; when the group ends, open streams are cut.
func GRPC(grp *run.Group, lis net.Listener, srv *grpc.Server) {
	grp.Add(
		func() error { return srv.Serve(lis) },
		func(error) { srv.Stop() },
	)
}

// Loop adds a function that runs until its context ends.
func Loop(grp *run.Group, fn func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(
		func() error { return quiet(ctx, fn(ctx)) },
		func(error) { cancel() },
	)
}

// quiet drops the error of a context that ended as planned.
func quiet(ctx context.Context, err error) error {
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
