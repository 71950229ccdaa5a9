package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/bench/rawserver"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// repeatingServer writes its first answer once more in front of each later answer of the same connection. Its runs take 30 ms.
// It returns its address.
func repeatingServer(t *testing.T, first, later func(attempt string) string) string {
	srv, err := rawserver.Start(rawserver.Requests(func(cnn net.Conn, reqs []*http.Request) bool {
		_, _ = io.WriteString(cnn, first(reqs[0].Header.Get(siskinrill.HeaderAttempt)))
		if len(reqs) > 1 {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(cnn, later(reqs[len(reqs)-1].Header.Get(siskinrill.HeaderAttempt)))
		}
		return true
	}))
	must.NoError(t, err)
	t.Cleanup(srv.Close)
	return srv.URL()
}

func namedAnswer(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nSiskinrill-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(attempt), attempt)
}

func unnamedAnswer(string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
}

func namedRefusal(attempt string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nSiskinrill-Attempt: " + attempt + "\r\nSiskinrill-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
}

func unnamedRefusal(string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nSiskinrill-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
}

func doOrder(t *testing.T, cli *backend.Client, num uint64) (*siskinrill.Answer, error) {
	opn := &peerpb.Open{
		Attempt: &peerpb.AttemptId{EntrySession: 9, Counter: num}, Service: "orders", Key: "7", Method: "POST", Target: "/orders/7",
		Kind: uint32(controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT), TimeoutMs: 2000, BodyEnd: true, Body: []byte("paid"),
	}
	grt := siskinrill.NewGrant(&controlpb.ShardRef{Service: "orders", Token: 1}, time.Now().Add(time.Minute))
	return cli.Do(t.Context(), siskinrill.NewAttempt(opn, nil), grt)
}

// TestEarlierAnswerRepeated guards against an answer that a backend server writes once more on a kept connection, and that is
// taken for the answer to a later request: as a proof that it did not run, or as its result.
func TestEarlierAnswerRepeated(t *testing.T) {
	const notRun, unknown, served = "not run", "unknown", "served"
	for name, tcs := range map[string]struct {
		first, later func(attempt string) string
		named        bool // the agent requires names
		want         [2]string
	}{
		"refusal":                        {first: namedRefusal, later: namedAnswer, want: [2]string{notRun, unknown}},
		"refusal without a name":         {first: unnamedRefusal, later: namedAnswer, want: [2]string{notRun, unknown}},
		"result":                         {first: namedAnswer, later: namedAnswer, want: [2]string{served, unknown}},
		"result without a name":          {first: unnamedAnswer, later: unnamedAnswer, want: [2]string{served, served}},
		"result without a required name": {first: unnamedAnswer, later: namedAnswer, named: true, want: [2]string{unknown, unknown}},
		"refusal, names required":        {first: unnamedRefusal, later: namedAnswer, named: true, want: [2]string{notRun, unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			cnt := siskinrill.NewCounters()
			cli := backend.New(backend.Options{NamedAttempts: tcs.named, MaxIdle: time.Minute}, cnt)
			_, err := cli.Announce(t.Context(), &backend.Announcement{
				ID: "orders-1", Service: "orders", URL: repeatingServer(t, tcs.first, tcs.later), Slots: 4, Connections: 8,
			})
			must.NoError(t, err)
			got := [2]string{served, served}
			for num := range got {
				ans, err := doOrder(t, cli, uint64(num))
				var ref *siskinrill.Refusal
				if errors.As(err, &ref) {
					got[num] = map[bool]string{true: notRun, false: unknown}[ref.NotRun()]
					continue
				}
				for _, fld := range ans.Head().GetHeaders() {
					must.NotEq(t, siskinrill.HeaderAttempt, fld.GetName(), must.Sprint("passed on to the caller"))
				}
			}
			must.Eq(t, tcs.want, got)
			must.Eq(t, tcs.want[1] == unknown, events(cnt)["backend_unmatched_answer"] != "")
		})
	}
}
