package actor_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/process/actor"
)

// TestStopAnswers guards against a stop that drops requests which the server has read, as http.Server.Shutdown does, and
// against a dropped request that its caller cannot distinguish from one that ran.
func TestStopAnswers(t *testing.T) {
	for range 5 {
		lis, err := actor.Listen("127.0.0.1:0")
		must.NoError(t, err)
		var received sync.Map
		hdl := http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			received.Store(req.Header.Get("Id"), true)
			wri.Header().Set("Connection", "close")
			time.Sleep(5 * time.Millisecond)
		})
		ctx, cancel := context.WithCancel(t.Context())
		var grp run.Group
		actor.Until(ctx, &grp, func() {})
		actor.HTTP(&grp, time.Second, actor.Server{Listener: lis, Handler: hdl})
		end := make(chan error, 1)
		go func() { end <- grp.Run() }()
		var served atomic.Int64
		var wgr sync.WaitGroup
		for num := range 16 {
			wgr.Go(func() {
				id, err := post("http://"+lis.Addr().String(), num, &served)
				// A connection whose request was not accepted is refused or reset; a write after the reset fails with EPIPE.
				must.True(t, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE), must.Sprint(err))
				_, ran := received.Load(id)
				must.False(t, ran, must.Sprintf("request ran but got no answer: %v", err))
			})
		}
		time.Sleep(100 * time.Millisecond)
		cancel()
		must.NoError(t, <-end)
		wgr.Wait()
		must.Positive(t, served.Load())
	}
}

// post sends requests until one fails, and returns the id and error of that request.
func post(url string, caller int, served *atomic.Int64) (string, error) {
	for num := 0; ; num++ {
		id := fmt.Sprintf("%d-%d", caller, num)
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
		if err != nil {
			return id, err
		}
		req.Header.Set("Id", id)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return id, err
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil {
			return id, err
		}
		served.Add(1)
	}
}

// TestFailureEndsGroup guards against actors that keep running after one has failed, and listeners that stay open after an
// error.
func TestFailureEndsGroup(t *testing.T) {
	lis, err := actor.Listen("127.0.0.1:0")
	must.NoError(t, err)
	_, err = actor.Listen(lis.Addr().String(), lis)
	must.ErrorIs(t, err, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", lis.Addr().String())
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
	var grp run.Group
	actor.Until(t.Context(), &grp, func() { t.Error("planned stop without a cancelled context") })
	actor.Loop(&grp, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	actor.Loop(&grp, func(context.Context) error { return io.ErrUnexpectedEOF })
	must.ErrorIs(t, grp.Run(), io.ErrUnexpectedEOF)
}

// TestServersStopTogether guards against servers that wait for their requests one after the other, so that the host kills
// the process before it has stopped.
func TestServersStopTogether(t *testing.T) {
	const grace = 300 * time.Millisecond
	hang := make(chan struct{})
	defer close(hang)
	arrived := make(chan struct{})
	hdl := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-hang
	})
	var grp run.Group
	ctx, cancel := context.WithCancel(t.Context())
	actor.Until(ctx, &grp, func() {})
	var srvs []actor.Server
	for range 3 {
		lis, err := actor.Listen("127.0.0.1:0")
		must.NoError(t, err)
		srvs = append(srvs, actor.Server{Listener: lis, Handler: hdl})
	}
	actor.HTTP(&grp, grace, srvs...)
	end := make(chan error, 1)
	go func() { end <- grp.Run() }()
	for _, srv := range srvs {
		go func() { _, _ = http.Get("http://" + srv.Listener.Addr().String()) }()
		<-arrived
	}
	begin := time.Now()
	cancel()
	must.NoError(t, <-end)
	must.Less(t, 2*grace, time.Since(begin))
}
