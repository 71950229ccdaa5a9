package control_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/config/settings"
	"github.com/siskinrill/siskinrill/internal/process/actor"
	"github.com/siskinrill/siskinrill/internal/process/control"
)

// TestStopAnswersOperators guards against a stop that closes the connection of an operator's request while the request
// waits for its commit.
func TestStopAnswersOperators(t *testing.T) {
	const requestTime = 900 * time.Millisecond
	var srvs [3]actor.Server
	for num := range srvs {
		lis, err := actor.Listen("127.0.0.1:0")
		must.NoError(t, err)
		srvs[num].Listener = lis
	}
	arrived := make(chan struct{})
	srvs[2].Handler = http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		close(arrived)
		time.Sleep(requestTime)
		wri.WriteHeader(http.StatusAccepted)
	})
	adr := srvs[0].Listener.Addr().String()
	log := logrus.New()
	log.SetOutput(io.Discard)
	prc, err := control.New(control.Options{
		Settings: settings.Control{
			Place: settings.Place{Name: "control-1", Zone: "a", Region: "r"}, Listen: adr, Data: t.TempDir(), StopTimeout: time.Second,
			InitialMembers: map[string]string{"control-1": adr}, MemberOrder: []string{"control-1"},
		},
		Listener: srvs[0].Listener, Admin: srvs[1].Listener, Logger: log,
		Extra: func(*adminhttp.Operator) []actor.Server { return srvs[2:] },
	})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- prc.Run(ctx) }()
	got := make(chan int, 1)
	go func() {
		res, err := http.Get("http://" + srvs[2].Listener.Addr().String())
		if err != nil {
			got <- 0
			return
		}
		_ = res.Body.Close()
		got <- res.StatusCode
	}()
	<-arrived
	cancel()
	must.Eq(t, http.StatusAccepted, <-got)
	must.NoError(t, <-ended)
}
