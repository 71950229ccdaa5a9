package backend_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/bench/rawserver"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// ending is how a server ends the connection after an answer.
type ending int

const (
	endKeep ending = iota
	endClose
	endReset
)

// rawAnswer is what a server writes, with what it means.
type rawAnswer struct {
	text   []byte
	ending ending
	early  bool   // it is written before the body of the request is read, and the connection ends then
	whole  bool   // it is a whole answer of HTTP/1.1
	mayRun bool   // a whole answer that may be refused all the same
	status int    // of a whole answer
	body   []byte // of a whole answer
}

// earlyPause lets the client read an answer before its connection ends.
const earlyPause = 5 * time.Millisecond

// answerOnce serves a connection with one answer.
func answerOnce(cnn net.Conn, ans rawAnswer) {
	buf := make([]byte, 4096)
	if ans.early {
		_, _ = cnn.Read(buf)
	} else if !readRequest(cnn) {
		return
	}
	_, _ = cnn.Write(ans.text)
	switch ans.ending {
	case endKeep:
		_, _ = cnn.Read(buf)
	case endReset:
		time.Sleep(earlyPause)
		_ = cnn.(*net.TCPConn).SetLinger(0)
	case endClose:
		if ans.early {
			time.Sleep(earlyPause)
		}
	}
}

// uploadSize is the length of the requests' bodies, above what the buffers of a connection hold.
const uploadSize = 8 << 20

// readRequest reads a whole request.
func readRequest(cnn net.Conn) bool {
	buf := make([]byte, 64<<10)
	head, total := []byte{}, 0
	for {
		num, err := cnn.Read(buf)
		if err != nil {
			return false
		}
		total += num
		if len(head) < 4096 {
			head = append(head, buf[:num]...)
		}
		end := bytes.Index(head, []byte("\r\n\r\n"))
		if end >= 0 && total >= end+4+uploadSize {
			return true
		}
	}
}

// upload returns an attempt with a long body.
func upload() *siskinrill.Attempt {
	return siskinrill.NewAttempt(&peerpb.Open{
		Attempt: &peerpb.AttemptId{EntrySession: 9, Counter: 1}, Service: "checkout", Key: "o1", Method: "PUT", Target: "/photos/p1",
		Kind: uint32(controlpb.RequestKind_REQUEST_KIND_UPLOAD), TimeoutMs: 10000, BodyLength: uploadSize,
	}, io.LimitReader(zeros{}, uploadSize))
}

// zeros is an endless reader.
type zeros struct{}

// Read fills the buffer.
func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

// received is what a client has of an answer.
type received struct {
	status int
	body   []byte
	err    error
}

// receive sends an upload to a server with one answer and reads the answer to its end.
func receive(t *testing.T, ans rawAnswer) received {
	srv, err := rawserver.Start(func(cnn net.Conn) { answerOnce(cnn, ans) })
	must.NoError(t, err)
	defer srv.Close()
	cli := backend.New(backend.Options{Unframed: true, Dial: (&net.Dialer{}).DialContext}, siskinrill.NewCounters())
	_, err = cli.Announce(t.Context(), &backend.Announcement{ID: "v1", Service: "checkout", URL: srv.URL(), Slots: 2, Connections: 2})
	must.NoError(t, err)
	for tries := 0; ; tries++ {
		got := read(cli.Do(t.Context(), upload(), grant()))
		if !isUnwritten(got.err) || tries > 20 {
			return got
		}
	}
}

func read(ans *siskinrill.Answer, err error) received {
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = ans.Close() }()
	got := received{status: int(ans.Head().GetStatus()), body: ans.Head().GetBody()}
	if ans.Body() == nil {
		return got
	}
	rest, err := io.ReadAll(ans.Body())
	got.body, got.err = append(got.body, rest...), err
	return got
}

// requireTruth requires that a client got a whole answer unchanged, and that no other counts as one. A failure leaves open
// whether the request has run.
func requireTruth(t must.T, ans rawAnswer, got received) {
	if ref, ok := got.err.(*siskinrill.Refusal); ok {
		must.Eq(t, peerpb.Outcome_OUTCOME_UNKNOWN, ref.Outcome())
	}
	if !ans.whole {
		must.Error(t, got.err, must.Sprintf("an answer that is not whole counts as complete: %q", headOf(ans)))
		return
	}
	if ans.mayRun && got.err != nil {
		return
	}
	must.NoError(t, got.err, must.Sprintf("a whole answer was refused: %q", headOf(ans)))
	must.Eq(t, ans.status, got.status)
	must.Eq(t, len(ans.body), len(got.body))
	must.True(t, bytes.Equal(ans.body, got.body))
}

func headOf(ans rawAnswer) string { return string(ans.text[:min(len(ans.text), 200)]) }

// TestResetUploadAnswered guards against the part of an answer without length that passes as the whole one, when the server
// resets the connection while the request is still being written.
func TestResetUploadAnswered(t *testing.T) {
	const plays = 40
	for range plays {
		ans := rawAnswer{text: []byte("HTTP/1.1 200 OK\r\n\r\npart"), ending: endReset, early: true}
		requireTruth(t, ans, receive(t, ans))
	}
}

// TestCrashDuringUnframedAnswer guards against the part of an answer without length that passes as the whole one when its server
// crashes, and against refusing the whole answer of a server that closes its port since it leaves.
func TestCrashDuringUnframedAnswer(t *testing.T) {
	for name, leaving := range map[string]bool{"crashes": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			started := make(chan *rawserver.Server, 1)
			srv, err := rawserver.Start(func(cnn net.Conn) {
				if readRequest(cnn) {
					_, _ = io.WriteString(cnn, "HTTP/1.1 200 OK\r\n\r\npart")
					(<-started).Close()
				}
			})
			must.NoError(t, err)
			started <- srv
			cli := backend.New(backend.Options{Unframed: true, Dial: (&net.Dialer{}).DialContext}, siskinrill.NewCounters())
			ann := &backend.Announcement{ID: "v1", Service: "checkout", URL: srv.URL(), Slots: 2, Connections: 2}
			_, err = cli.Announce(t.Context(), ann)
			must.NoError(t, err)
			ann.Leaving = leaving
			_, err = cli.Announce(t.Context(), ann)
			must.NoError(t, err)
			got := read(cli.Do(t.Context(), upload(), grant()))
			must.Eq(t, leaving, got.err == nil, must.Sprint(got.err))
		})
	}
}

// TestStatusOutOfRange guards against answers whose status no HTTP server may send and that pass to the caller.
func TestStatusOutOfRange(t *testing.T) {
	for _, sts := range []string{"000", "099", "600", "999", "101"} {
		t.Run(sts, func(t *testing.T) {
			ans := rawAnswer{text: []byte("HTTP/1.1 " + sts + " OK\r\nContent-Length: 2\r\n\r\nok"), ending: endKeep}
			requireTruth(t, ans, receive(t, ans))
		})
	}
}
