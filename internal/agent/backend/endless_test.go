package backend_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/bench/rawserver"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// endlessServer answers each request with the start of an answer followed by a text repeated until the client
// closes the connection. It returns its address and a channel that receives the number of bytes written to
// each connection.
func endlessServer(t *testing.T, start, repeat string) (string, <-chan int) {
	written := make(chan int, 16)
	many := strings.Repeat(repeat, 1000)
	srv, err := rawserver.Start(func(cnn net.Conn) {
		_, _ = cnn.Read(make([]byte, 4096))
		total, err := io.WriteString(cnn, start)
		for err == nil {
			var num int
			num, err = io.WriteString(cnn, many)
			total += num
		}
		written <- total
	})
	must.NoError(t, err)
	t.Cleanup(srv.Close)
	return srv.URL(), written
}

// doUnlimited sends an attempt to a server, without a limit for the time to connect, which a busy machine may exceed.
func doUnlimited(t *testing.T, url string) (*siskinrill.Answer, error) {
	cli := backend.New(backend.Options{Unframed: true, Dial: (&net.Dialer{}).DialContext}, siskinrill.NewCounters())
	_, err := cli.Announce(t.Context(), &backend.Announcement{ID: "v1", Service: "checkout", URL: url, Slots: 2, Connections: 2})
	must.NoError(t, err)
	return cli.Do(t.Context(), attempt(1), grant())
}

// isUnwritten reports whether a request was refused because its time to start was over, so that it met no answer.
func isUnwritten(err error) bool {
	ref, ok := err.(*siskinrill.Refusal)
	return ok && ref.Reason() == siskinrill.ReasonNoLease
}

// TestEndlessAnswers guards against endless answers of a backend server that fill the agent's memory, hold a
// connection forever or pass as complete answers.
func TestEndlessAnswers(t *testing.T) {
	const (
		timeout = 400 * time.Millisecond // timeout of the request
		// maxHeadBytes exceeds what the socket buffers of both sides hold in addition to the accepted header.
		maxHeadBytes = 8 << 20
		maxUnwritten = 20 // requests in turn of which no byte was written
	)
	for nam, tcs := range map[string]struct {
		start, repeat string
		maxBytes      int // bytes that the client may accept; 0: unlimited until the deadline
		streams       bool
	}{
		"not HTTP":            {repeat: "not an answer\r\n", maxBytes: maxHeadBytes},
		"header":              {start: "HTTP/1.1 200 OK\r\n", repeat: "X-Filler: 0123456789abcdef\r\n", maxBytes: maxHeadBytes},
		"one header line":     {start: "HTTP/1.1 200 OK\r\nX-Filler: ", repeat: "0123456789abcdef", maxBytes: maxHeadBytes},
		"interim answers":     {repeat: "HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789abcdef\r\n\r\n", maxBytes: maxHeadBytes},
		"size of a chunk":     {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "00000000", maxBytes: maxHeadBytes, streams: true},
		"trailer":             {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", repeat: "X-Filler: 0123456789abcdef\r\n", maxBytes: maxHeadBytes, streams: true},
		"chunks":              {start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "10\r\n0123456789abcdef\r\n", streams: true},
		"body without length": {start: "HTTP/1.1 200 OK\r\n\r\n", repeat: "0123456789abcdef", streams: true},
	} {
		t.Run(nam, func(t *testing.T) {
			t.Parallel()
			url, written := endlessServer(t, tcs.start, tcs.repeat)
			began := time.Now()
			ans, err := doUnlimited(t, url)
			for tries := 1; isUnwritten(err) && tries < maxUnwritten; tries++ {
				// A request is not written later than 300 ms after its dispatch, which a busy machine may exceed.
				url, written = endlessServer(t, tcs.start, tcs.repeat)
				began = time.Now()
				ans, err = doUnlimited(t, url)
			}
			if tcs.streams {
				must.NoError(t, err)
				must.NotNil(t, ans.Body(), must.Sprint("an endless answer counts as complete"))
				_, err = io.Copy(io.Discard, ans.Body())
				_ = ans.Close()
			}
			must.Error(t, err)
			if ref, ok := err.(*siskinrill.Refusal); ok && !tcs.streams {
				must.Eq(t, peerpb.Outcome_OUTCOME_UNKNOWN, ref.Outcome())
			}
			must.Less(t, timeout+time.Second, time.Since(began))
			select {
			case num := <-written:
				must.True(t, tcs.maxBytes == 0 || num < tcs.maxBytes, must.Sprintf("%d bytes were accepted", num))
				t.Logf("%d bytes were accepted", num)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed within 5 s")
			}
		})
	}
}
