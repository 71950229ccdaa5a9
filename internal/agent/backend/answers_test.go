package backend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

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

// part is one variant of a part of an answer.
type part struct {
	text  string
	whole bool
}

// statusLines are the variants of the first line.
var statusLines = []part{
	{"HTTP/1.1 200 OK", true},
	{"HTTP/1.1 201 Created", true},
	{"HTTP/1.1 404 Not Found", true},
	{"HTTP/1.1 500", true},
	{"HTTP/1.1 599 Odd", true},
	{"HTTP/1.1 000 OK", false},
	{"HTTP/1.1 099 OK", false},
	{"HTTP/1.1 600 OK", false},
	{"HTTP/1.1 999 OK", false},
	{"HTTP/1.1 20 OK", false},
	{"HTTP/1.1 2000 OK", false},
	{"HTTP/1.1 +20 OK", false},
	{"HTTP/1.1 -20 OK", false},
	{"HTTP/1.1 -00 OK", false},
	{"HTTP/1.1 2x0 OK", false},
	{"HTTP/1.1 101 Switching Protocols", false},
	{"HTTP/2.0 200 OK", false},
	{"HTTP/0.9 200 OK", false},
	{"HTTX/1.1 200 OK", false},
}

// fieldLines are the variants of a line of the head.
var fieldLines = []part{
	{"X-Field: v", true},
	{"X-Empty:", true},
	{"X-Tab:\tv\tw", true},
	{"Bad Name: v", false},
	{"X-Blank : v", false},
	{"Transfer-Encoding : chunked", false},
	{"Content-Length : 1", false},
	{"Content Length: 1", false},
	{"X\tTab: v", false},
	{"X\x01Control: v", false},
	{"X\x7fDel: v", false},
	{"X\x00Nul: v", false},
	{"X(Paren): v", false},
	{": v", false},
	{"no colon", false},
	{"X-Nul: a\x00b", false},
	{"X-CR: a\rb", false},
	{"X-Control: a\x02b", false},
	{"Content-Length: 1\r\nContent-Length: 2", false},
	{"Content-Length: -1", false},
	{"Transfer-Encoding: gzip", false},
}

// drawAnswer draws an answer.
func drawAnswer(rt *rapid.T) rawAnswer {
	ans := rawAnswer{whole: true}
	var out bytes.Buffer
	for range rapid.IntRange(0, 2).Draw(rt, "interim") {
		out.WriteString("HTTP/1.1 103 Early Hints\r\nX-Field: v\r\n\r\n")
	}
	line := drawPart(rt, "status", statusLines, &ans)
	_, _ = fmt.Sscanf(line, "HTTP/1.1 %d", &ans.status)
	out.WriteString(line + "\r\n")
	for range rapid.IntRange(0, 2).Draw(rt, "fields") {
		out.WriteString(drawPart(rt, "field", fieldLines, &ans) + "\r\n")
	}
	ans.body = bytes.Repeat([]byte("answer "), rapid.SampledFrom([]int{1, 100, 20000}).Draw(rt, "size"))
	drawBody(rt, &out, &ans)
	ans.text = out.Bytes()
	return ans
}

// drawPart draws a variant, in most cases a whole one.
func drawPart(rt *rapid.T, name string, parts []part, ans *rawAnswer) string {
	itm := parts[0]
	if rapid.IntRange(0, 2).Draw(rt, name+" odd") == 0 {
		itm = rapid.SampledFrom(parts).Draw(rt, name)
	}
	ans.whole = ans.whole && itm.whole
	return itm.text
}

// drawBody draws how the body is framed and where it ends.
func drawBody(rt *rapid.T, out *bytes.Buffer, ans *rawAnswer) {
	chunked := fmt.Sprintf("%x\r\n%s\r\n", len(ans.body), ans.body)
	cut := ans.body[:len(ans.body)-1]
	framing := rapid.SampledFrom([]string{
		"length", "chunked", "end", "end early", "same length twice", "length and chunked", "length cut", "chunked cut", "chunk cut", "reset",
		"reset early", "size overflows", "negative size", "size in words", "second answer", "1.0 chunked",
	}).Draw(rt, "framing")
	ans.ending = rapid.SampledFrom([]ending{endKeep, endClose}).Draw(rt, "ending")
	switch framing {
	case "length":
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(ans.body), ans.body)
	case "same length twice":
		ans.mayRun = true
		fmt.Fprintf(out, "Content-Length: %d\r\nContent-Length: %[1]d\r\n\r\n%s", len(ans.body), ans.body)
	case "second answer":
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", len(ans.body), ans.body)
	case "chunked":
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunked)
	case "length and chunked":
		ans.mayRun = true
		fmt.Fprintf(out, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunked)
	case "end":
		ans.ending = endClose
		fmt.Fprintf(out, "\r\n%s", ans.body)
	default:
		ans.whole = false
		drawCut(rt, framing, out, ans, chunked, string(cut))
	}
}

// drawCut writes the body of an answer that is not whole.
func drawCut(_ *rapid.T, framing string, out *bytes.Buffer, ans *rawAnswer, chunked, cut string) {
	ans.ending = endClose
	switch framing {
	case "end early":
		ans.early = true
		fmt.Fprintf(out, "\r\n%s", cut)
	case "length cut":
		fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(ans.body), cut)
	case "chunked cut":
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n%s", chunked)
	case "chunk cut":
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n%s", chunked[:len(chunked)-3])
	case "reset":
		ans.ending = endReset
		fmt.Fprintf(out, "\r\n%s", cut)
	case "reset early":
		ans.ending, ans.early = endReset, true
		fmt.Fprintf(out, "\r\n%s", cut)
	case "size overflows":
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n1%016x\r\n%s\r\n0\r\n\r\n", len(ans.body), ans.body)
	case "negative size":
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n-1\r\n%s\r\n0\r\n\r\n", ans.body)
	case "size in words":
		fmt.Fprintf(out, "Transfer-Encoding: chunked\r\n\r\n0x5\r\n%s\r\n0\r\n\r\n", ans.body)
	case "1.0 chunked":
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n" + chunked + "0\r\n\r\n")
		line := bytes.Replace(bytes.Clone(out.Bytes()), []byte("HTTP/1.1"), []byte("HTTP/1.0"), -1)
		out.Reset()
		out.Write(line)
	}
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

// TestAnswersNotWhole guards against answers that end early, are none of HTTP/1.1 or have an odd head, and pass as whole ones, and
// against refusing whole ones.
func TestAnswersNotWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ans := drawAnswer(rt)
		requireTruth(rt, ans, receive(t, ans))
	})
}

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

// TestFieldNameWithBlank guards against answers in which the name of a field holds a blank or a control byte, so that the line is
// passed on or the body is read with the wrong framing.
func TestFieldNameWithBlank(t *testing.T) {
	for name, line := range map[string]string{
		"blank inside":          "Bad Name: v\r\nContent-Length: 2",
		"blank before colon":    "Content-Length : 2",
		"blank before chunked":  "Transfer-Encoding : chunked\r\nContent-Length: 2",
		"control byte":          "X\x01: v\r\nContent-Length: 2",
		"tab before the colon":  "X\t: v\r\nContent-Length: 2",
		"blank, ends with conn": "X : v",
	} {
		t.Run(name, func(t *testing.T) {
			ans := rawAnswer{text: []byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nok"), ending: endClose}
			requireTruth(t, ans, receive(t, ans))
		})
	}
}
