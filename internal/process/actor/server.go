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

const (
	// headerTimeout is the default limit of the time for a head, and that for the first byte on a connection.
	headerTimeout = 10 * time.Second
	// maxHeadTime is the longest time for a head that any limit allows.
	maxHeadTime = time.Minute
	// acceptDelay is how long the server may take to accept a connection from the kernel's queue.
	acceptDelay = 50 * time.Millisecond
	// maxKeepAlive is the number of connections above which answers close theirs. Hosts allow a process at least 4,096
	// descriptors; three quarters remain for requests in flight and connections to other processes.
	maxKeepAlive = 1024
	// shutdownPoll is the interval at which a server that is stopping checks its connections.
	shutdownPoll = 5 * time.Millisecond
)

// Server is an HTTP handler with the listener that it serves.
type Server struct {
	Listener net.Listener
	Handler  http.Handler
	// Pipelining lets requests run ahead of those before them on a connection; by default none does.
	Pipelining Pipelining
	// Limits are what the server accepts of its callers.
	Limits Limits
	// Event counts an event by its name; it may be nil.
	Event func(name string)
	// Ending, if set, reports whether the process is about to stop, so that answers close their connections.
	Ending func() bool
}

// HTTP adds HTTP servers to a group; when the group ends, all of them stop at the same time, and requests in flight have
// the time grace to finish.
func HTTP(grp *run.Group, grace time.Duration, srvs ...Server) {
	stops := make([]func(), len(srvs))
	var ended sync.WaitGroup
	for num, itm := range srvs {
		con := newConnections(maxKeepAlive)
		con.pipelining, con.ending, con.limits = itm.Pipelining, itm.Ending, itm.Limits.withDefaults()
		if itm.Event != nil {
			con.event = itm.Event
		}
		srv := con.newServer(itm.Handler)
		stops[num] = func() { shutdown(srv, itm.Listener, con, grace) }
		grp.Add(
			func() error { return ignoreClosed(con.serve(srv, itm.Listener)) },
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

// GRPC adds a gRPC server to a group; when the group ends, calls in flight have the time grace to finish, so that their
// answers arrive.
func GRPC(grp *run.Group, grace time.Duration, lis net.Listener, srv *grpc.Server) {
	grp.Add(
		func() error { return srv.Serve(lis) },
		func(error) {
			defer time.AfterFunc(grace, srv.Stop).Stop()
			srv.GracefulStop()
		},
	)
}

// Loop adds a function to a group; its context ends with the group, and the group ends when it returns.
func Loop(grp *run.Group, fn func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(
		func() error { return ignoreCancelled(ctx, fn(ctx)) },
		func(error) { cancel() },
	)
}

// ignoreCancelled returns nil for the error of a context that has ended, which is a planned stop.
func ignoreCancelled(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// Until adds an actor that calls stop once ctx is done, while all other actors still run, and ends the group when stop
// returns.
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

// Listen opens a TCP listener; on an error it closes the listeners that were opened before.
func Listen(adr string, before ...net.Listener) (net.Listener, error) {
	lis, err := net.Listen("tcp", adr)
	if err == nil {
		return lis, nil
	}
	Close(before...)
	return nil, errors.Wrap(err, "listen")
}

// Close closes listeners that no server uses yet; nil ones are skipped.
func Close(lst ...net.Listener) {
	for _, lis := range lst {
		if lis != nil {
			_ = lis.Close()
		}
	}
}
