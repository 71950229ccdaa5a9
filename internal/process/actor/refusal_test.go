package actor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// limitedServer is an HTTP server with low limits that counts its events.
type limitedServer struct {
	cns *connections
	lis net.Listener

	opened atomic.Int32
	events eventCounter
}

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	count *atomic.Int32
}

func (lis *countingListener) Accept() (net.Conn, error) {
	cnn, err := lis.Listener.Accept()
	if err == nil {
		lis.count.Add(1)
	}
	return cnn, err
}

func (lms *limitedServer) accepted() int { return int(lms.opened.Load()) }

func newLimitedServer(t *testing.T, lim Limits, pip Pipelining, hdl http.HandlerFunc) *limitedServer {
	lms := &limitedServer{cns: newConnections(maxKeepAlive)}
	lms.cns.limits, lms.cns.pipelining, lms.cns.event = lim.withDefaults(), pip, lms.events.add
	lis, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	srv := lms.cns.newServer(hdl)
	lms.lis = lis
	go func() { _ = lms.cns.serve(srv, &countingListener{Listener: lis, count: &lms.opened}) }()
	t.Cleanup(func() { _ = srv.Close() })
	return lms
}

// dial opens a connection and sends a text.
func (lms *limitedServer) dial(t *testing.T, txt string) net.Conn {
	cnn, err := net.Dial("tcp", lms.lis.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = cnn.Close() })
	_, err = io.WriteString(cnn, txt)
	must.NoError(t, err)
	return cnn
}

// await waits until an event was counted a number of times.
func (lms *limitedServer) await(t *testing.T, name string, num int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); lms.events.count(name) < num; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("%s was counted %d times of %d", name, lms.events.count(name), num))
	}
}

func noContent(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusNoContent) }

const plainHead = "GET / HTTP/1.1\r\nHost: a\r\n"

// TestRefusedHeads guards against a refusal with a wrong status, one that is not counted by its reason, log lines at the rate of
// refusals, and a handler that runs all the same.
func TestRefusedHeads(t *testing.T) {
	const tries = 20
	for name, tcs := range map[string]struct {
		lim    Limits
		sent   string
		status int
		event  string
	}{
		"lines":   {Limits{HeadLines: 5}, plainHead + strings.Repeat("a:\r\n", 5) + "\r\n", 431, ingress.ReasonLines},
		"bytes":   {Limits{HeadBytes: func() int { return 50 }}, plainHead + "A: " + strings.Repeat("b", 50) + "\r\n\r\n", 431, ingress.ReasonBytes},
		"memory":  {Limits{Memory: ingress.NewMemory(1)}, plainHead + strings.Repeat("a:\r\n", 100) + "\r\n", 503, ingress.ReasonMemory},
		"invalid": {Limits{}, plainHead + "a b: c\r\n\r\n", 400, eventInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			hook := logtest.NewGlobal()
			defer logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
			lms := newLimitedServer(t, tcs.lim, Pipelining{}, func(http.ResponseWriter, *http.Request) { t.Error("the handler was called") })
			for range tries {
				buf := bufio.NewReader(lms.dial(t, tcs.sent))
				res, err := http.ReadResponse(buf, nil)
				must.NoError(t, err)
				must.Eq(t, tcs.status, res.StatusCode)
				must.Eq(t, tcs.status == 503, res.Header.Get("Retry-After") != "")
				_, err = io.Copy(io.Discard, res.Body)
				must.NoError(t, err)
				_, err = buf.ReadByte()
				must.ErrorIs(t, err, io.EOF)
			}
			must.Eq(t, tries, lms.events.count(tcs.event))
			must.Len(t, 1, hook.AllEntries())
			must.Eq(t, 0, lms.cns.limits.Memory.Used())
		})
	}
}

// TestSlowHeads guards against connections that are never closed although their caller does not finish a head, be it of empty lines or
// behind a response, sends nothing at all or for longer than it may be idle, and against closing them earlier.
func TestSlowHeads(t *testing.T) {
	answered := plainHead + "\r\n"
	for name, tcs := range map[string]struct{ sent, later, event string }{
		"first line":                 {"GET / HT", "", eventHeadTimeout},
		"lines":                      {plainHead, "", eventHeadTimeout},
		"one byte behind a response": {answered, "G", eventHeadTimeout},
		"blank behind a response":    {answered, "\r\n", eventHeadTimeout},
		"idle":                       {answered, "", eventIdleTimeout},
		"nothing sent":               {"", "", eventHeadTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			lim := Limits{HeadTime: func() time.Duration { return time.Minute }, IdleTime: func() time.Duration { return time.Minute }}
			lms := newLimitedServer(t, lim, Pipelining{}, noContent)
			cnn := lms.dial(t, tcs.sent)
			if tcs.later != "" {
				_, err := http.ReadResponse(bufio.NewReader(cnn), nil)
				must.NoError(t, err)
				lms.awaitWait(t, waitIdle)
				_, err = io.WriteString(cnn, tcs.later)
				must.NoError(t, err)
			}
			kind := waitHead
			switch {
			case tcs.event == eventIdleTimeout:
				kind = waitIdle
			case tcs.sent == "":
				kind = waitFirst
			}
			lms.awaitWait(t, kind)
			lms.cns.sweepOnce(time.Now().Add(30 * time.Second))
			must.Eq(t, 0, lms.events.count(tcs.event))
			lms.cns.sweepOnce(time.Now().Add(2 * time.Minute))
			must.Eq(t, 1, lms.events.count(tcs.event))
			_, err := io.Copy(io.Discard, cnn)
			must.NoError(t, err)
		})
	}
}

// awaitWait waits until the only connection waits for something.
func (lms *limitedServer) awaitWait(t *testing.T, kind waitKind) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if all := lms.cns.waiting(); len(all) == 1 && all[0].wait.kind == kind {
			return
		}
		must.True(t, time.Now().Before(end), must.Sprint("the connection does not wait"))
	}
}

// TestRoomForCallers guards against connections that are not used and keep others out, and against closing one with a request.
func TestRoomForCallers(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{}, 3)
	lms := newLimitedServer(t, Limits{Connections: 8}, Pipelining{}, func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/slow" {
			begun <- struct{}{}
			<-release
		}
		wri.WriteHeader(http.StatusNoContent)
	})
	var slow []net.Conn
	for range cap(begun) {
		slow = append(slow, lms.dial(t, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
		<-begun
	}
	for range 40 {
		lms.dial(t, plainHead)
		lms.dial(t, "")
	}
	lms.await(t, eventEvicted, 60)
	must.LessEq(t, 11, lms.cns.count())
	rdr := bufio.NewReader(lms.dial(t, plainHead+"\r\n"))
	res, err := http.ReadResponse(rdr, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, res.StatusCode)
	close(release)
	for _, cnn := range slow {
		res, err := http.ReadResponse(bufio.NewReader(cnn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusNoContent, res.StatusCode)
	}
}

// TestUnreadAnswers guards against callers that never read their answers and keep connections and requests forever, also with requests
// that run ahead.
func TestUnreadAnswers(t *testing.T) {
	const clients, answerBytes = 20, 8 << 20
	for name, depth := range map[string]int{"one by one": 0, "sent ahead": 4} {
		t.Run(name, func(t *testing.T) {
			pip := Pipelining{Depth: depth, Ahead: func(*http.Request) bool { return true }}
			lms := newLimitedServer(t, Limits{WriteTime: 50 * time.Millisecond}, pip, func(wri http.ResponseWriter, _ *http.Request) {
				_, _ = wri.Write(make([]byte, answerBytes))
			})
			for range clients {
				cnn := lms.dial(t, strings.Repeat(plainHead+"\r\n", 3))
				_ = cnn.(*net.TCPConn).SetReadBuffer(1)
			}
			for end := time.Now().Add(20 * time.Second); lms.accepted() < clients || lms.cns.count() > 0; time.Sleep(5 * time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprintf("%d connections are open", lms.cns.count()))
			}
			for end := time.Now().Add(20 * time.Second); lms.cns.held.Load() > 0; time.Sleep(5 * time.Millisecond) {
				must.True(t, time.Now().Before(end), must.Sprintf("%d bytes are held", lms.cns.held.Load()))
			}
		})
	}
}
