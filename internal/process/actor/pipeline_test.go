package actor

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/siskinrill/siskinrill/internal/fixedseed"
)

var orderedRequests = flag.Int("pipeline.requests", 20_000, "number of requests of TestPipelineOrderedUnderCloses")

// pipelineServer answers /KIND/NUMBER?SIZE with SIZE bytes that begin with the path and the length of the body. Requests of
// the kind once do not run ahead.
type pipelineServer struct {
	cns  *connections
	srv  *http.Server
	lis  net.Listener
	hook func(wri http.ResponseWriter, req *http.Request)

	events eventCounter
}

// eventCounter counts the events of a server by name.
type eventCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (evc *eventCounter) add(name string) {
	evc.mu.Lock()
	defer evc.mu.Unlock()
	if evc.counts == nil {
		evc.counts = map[string]int{}
	}
	evc.counts[name]++
}

func (evc *eventCounter) count(name string) int {
	evc.mu.Lock()
	defer evc.mu.Unlock()
	return evc.counts[name]
}

func newPipelineServer(tb testing.TB, dep int, hook func(http.ResponseWriter, *http.Request)) *pipelineServer {
	tb.Helper()
	pls := &pipelineServer{cns: newConnections(maxKeepAlive), hook: hook}
	pls.cns.event = pls.events.add
	pls.cns.pipelining = Pipelining{
		Depth: dep,
		Aborted: http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			wri.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(wri, padded(req.URL.Path, 0, 0))
		}),
		Ahead: func(req *http.Request) bool { return !strings.HasPrefix(req.URL.Path, "/once/") },
	}
	lis, err := Listen("127.0.0.1:0")
	must.NoError(tb, err)
	pls.lis, pls.srv = lis, pls.cns.newServer(pls)
	go func() { _ = pls.cns.serve(pls.srv, lis) }()
	tb.Cleanup(func() { _ = pls.srv.Close() })
	return pls
}

func (pls *pipelineServer) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	bdy, _ := io.ReadAll(req.Body)
	if pls.hook != nil {
		pls.hook(wri, req)
	}
	siz, _ := strconv.Atoi(req.URL.RawQuery)
	_, _ = io.WriteString(wri, padded(req.URL.Path, len(bdy), siz))
}

func padded(path string, bdy, siz int) string {
	out := fmt.Sprintf("%s %d ", path, bdy)
	return out + strings.Repeat("x", max(siz-len(out), 0))
}

// pipelineCaller is the caller's side of a connection.
type pipelineCaller struct {
	net.Conn
	buf *bufio.Reader
}

func (pls *pipelineServer) dial(tb testing.TB) *pipelineCaller {
	tb.Helper()
	cnn, err := net.Dial("tcp", pls.lis.Addr().String())
	must.NoError(tb, err)
	tb.Cleanup(func() { _ = cnn.Close() })
	_ = cnn.SetDeadline(time.Now().Add(30 * time.Second))
	return &pipelineCaller{Conn: cnn, buf: bufio.NewReader(cnn)}
}

func (plc *pipelineCaller) send(txt ...string) {
	_, _ = io.WriteString(plc.Conn, strings.Join(txt, ""))
}

func (plc *pipelineCaller) receive(mth string) (string, *http.Response, error) {
	rsp, err := http.ReadResponse(plc.buf, &http.Request{Method: mth})
	if err != nil {
		return "", nil, err
	}
	dat, err := io.ReadAll(rsp.Body)
	return string(dat), rsp, err
}

func get(path string, hdr ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + strings.Join(hdr, "") + "\r\n"
}

func post(path string, siz int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, siz, strings.Repeat("G", siz))
}

func chunked(path string, siz int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, siz, strings.Repeat("G", siz))
}

// TestPipelineOrder guards against responses that are mixed, truncated or out of order, against requests that must wait but
// start before all ahead of them have ended, and against more than 4 that run ahead, for random kinds, sizes, run times and
// packets.
func TestPipelineOrder(t *testing.T) {
	var waits atomic.Pointer[[]time.Duration]
	var ended, running atomic.Int64
	var early atomic.Pointer[string]
	pls := newPipelineServer(t, 4, func(_ http.ResponseWriter, req *http.Request) {
		num, _ := strconv.Atoi(req.URL.Path[strings.LastIndex(req.URL.Path, "/")+1:])
		if don := ended.Load(); !strings.HasPrefix(req.URL.Path, "/get/") && don != int64(num) {
			txt := fmt.Sprintf("%s started after %d had ended", req.URL.Path, don)
			early.Store(&txt)
		}
		if cnt := running.Add(1); cnt > 5 {
			txt := fmt.Sprintf("%d run at once", cnt)
			early.Store(&txt)
		}
		time.Sleep((*waits.Load())[num])
		running.Add(-1)
		ended.Add(1)
	})
	rapid.Check(t, func(rt *rapid.T) {
		cnt := rapid.IntRange(1, 24).Draw(rt, "requests")
		plc, lst := pls.dial(t), make([]time.Duration, cnt)
		defer plc.Close()
		var text strings.Builder
		want, mths := make([]string, cnt), make([]string, cnt)
		for num := range cnt {
			knd := rapid.SampledFrom([]string{"get", "get", "get", "get", "head", "once", "post", "chunked"}).Draw(rt, "kind")
			siz := rapid.SampledFrom([]int{0, 100, 3000, 20_000}).Draw(rt, "size")
			path, bdy := fmt.Sprintf("/%s/%d", knd, num), 0
			mths[num] = http.MethodGet
			switch knd {
			case "post":
				bdy = siz / 3
				text.WriteString(post(path+"?"+strconv.Itoa(siz), bdy))
			case "chunked":
				bdy = siz/3 + 1
				text.WriteString(chunked(path+"?"+strconv.Itoa(siz), bdy))
			case "head":
				path, mths[num] = fmt.Sprintf("/get/%d", num), http.MethodHead
				text.WriteString(strings.Replace(get(path), "GET", "HEAD", 1))
			default:
				text.WriteString(get(path+"?"+strconv.Itoa(siz), "X-Long: "+strings.Repeat("y", rapid.IntRange(0, 900).Draw(rt, "header"))+"\r\n"))
			}
			want[num] = padded(path, bdy, siz)
			lst[num] = time.Duration(rapid.IntRange(0, 2000).Draw(rt, "microseconds")) * time.Microsecond
		}
		waits.Store(&lst)
		ended.Store(0)
		early.Store(nil)
		cuts := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 40).Draw(rt, "packets")
		go func() {
			for rest, pos := text.String(), 0; rest != ""; pos++ {
				num := min(cuts[pos%len(cuts)], len(rest))
				plc.send(rest[:num])
				rest = rest[num:]
				time.Sleep(time.Duration(cuts[pos%len(cuts)]%300) * time.Microsecond)
			}
		}()
		for num := range cnt {
			txt, _, err := plc.receive(mths[num])
			if err != nil || mths[num] == http.MethodGet && txt != want[num] {
				rt.Fatalf("response %d of %d: %.40q, want %.40q: %v", num, cnt, txt, want[num], err)
			}
		}
		if txt := early.Load(); txt != nil {
			rt.Fatal(*txt)
		}
	})
	must.Positive(t, pls.events.count(eventAhead))
}

// TestPipelineConcurrent guards against requests that wait for a slow one ahead of them, in one packet, in packets that split
// heads, and behind bodies.
func TestPipelineConcurrent(t *testing.T) {
	for nam, tcs := range map[string]struct {
		before  string // request that is answered first
		packets []string
	}{
		"one packet":       {packets: []string{get("/get/0") + get("/get/1") + get("/get/2")}},
		"one packet each":  {packets: []string{get("/get/0"), get("/get/1"), get("/get/2")}},
		"split heads":      {packets: []string{get("/get/0")[:9], get("/get/0")[9:] + get("/get/1")[:30], get("/get/1")[30:] + get("/get/2")[:3], get("/get/2")[3:]}},
		"behind a body":    {before: post("/post/9", 5000), packets: []string{get("/get/0") + get("/get/1"), get("/get/2")}},
		"behind a chunked": {before: chunked("/post/9", 5000), packets: []string{get("/get/0") + get("/get/1"), get("/get/2")}},
	} {
		t.Run(nam, func(t *testing.T) {
			started, release := make(chan string, 3), make(chan struct{})
			pls := newPipelineServer(t, 8, func(_ http.ResponseWriter, req *http.Request) {
				if req.Method == http.MethodGet {
					started <- req.URL.Path
					<-release
				}
			})
			plc := pls.dial(t)
			if tcs.before != "" {
				plc.send(tcs.before)
				_, _, err := plc.receive(http.MethodPost)
				must.NoError(t, err)
			}
			for _, dat := range tcs.packets {
				plc.send(dat)
				time.Sleep(10 * time.Millisecond)
			}
			for range 3 {
				select {
				case <-started:
				case <-time.After(5 * time.Second):
					t.Fatal("a request waits for one ahead of it")
				}
			}
			close(release)
			for num := range 3 {
				txt, _, err := plc.receive(http.MethodGet)
				must.NoError(t, err)
				must.StrHasPrefix(t, fmt.Sprintf("/get/%d ", num), txt)
			}
		})
	}
}

// TestPipelineCloses guards against requests that run behind a response that closes the connection, and started ones that get
// no answer.
func TestPipelineCloses(t *testing.T) {
	for nam, tcs := range map[string]struct {
		text              string
		answered, dropped int
		replaced          int
		started           int64
		abort             string // path of the request whose handler aborts
	}{
		"first":               {text: get("/get/0", "Connection: close\r\n") + get("/get/1") + get("/once/2"), answered: 1, started: 1, dropped: 2},
		"middle":              {text: get("/get/0") + get("/get/1", "Connection: close\r\n") + get("/get/2"), answered: 2, started: 2, dropped: 1},
		"not valid":           {text: get("/get/0") + strings.Replace(get("/get/1"), "Host", "Hos t", 1) + get("/get/2"), answered: 2, started: 1, dropped: 1},
		"middle, no comma":    {text: get("/get/0") + get("/get/1", "Connection: keep-alive close\r\n") + get("/get/2"), answered: 2, started: 2, dropped: 1},
		"first, no comma":     {text: get("/get/0", "Connection: keep-alive close\r\n") + get("/get/1") + get("/get/2"), answered: 1, started: 1, dropped: 2},
		"not supported":       {text: get("/get/0") + strings.Replace(get("/get/1"), "1.1", "2.0", 1) + get("/get/2"), answered: 2, started: 1, dropped: 1},
		"abort, one behind":   {text: get("/get/0") + get("/get/1") + get("/get/2") + get("/once/3"), abort: "/get/1", answered: 4, started: 4, replaced: 1},
		"abort, nothing run":  {text: get("/get/0") + get("/get/1") + get("/once/2"), abort: "/get/1", answered: 1, started: 2, dropped: 1},
		"abort of the first":  {text: get("/get/0") + get("/get/1") + get("/once/2"), abort: "/get/0", answered: 2, started: 2, dropped: 1, replaced: 1},
		"abort, part held":    {text: get("/get/0") + get("/get/1?flush") + get("/get/2"), abort: "/get/1", answered: 3, started: 3, replaced: 1},
		"abort, part written": {text: get("/get/0?flush") + get("/get/1") + get("/once/2"), abort: "/get/0", started: 2, dropped: 1},
	} {
		t.Run(nam, func(t *testing.T) {
			var started atomic.Int64
			pls := newPipelineServer(t, 8, func(wri http.ResponseWriter, req *http.Request) {
				started.Add(1)
				if req.URL.RawQuery == "flush" {
					_ = http.NewResponseController(wri).Flush()
				}
				if req.URL.Path == tcs.abort && tcs.abort != "/get/0" {
					panic(http.ErrAbortHandler)
				}
				time.Sleep(20 * time.Millisecond)
				if req.URL.Path == tcs.abort {
					panic(http.ErrAbortHandler)
				}
			})
			plc := pls.dial(t)
			plc.send(tcs.text)
			for num := range tcs.answered {
				txt, rsp, err := plc.receive(http.MethodGet)
				must.NoError(t, err, must.Sprintf("response %d", num))
				if rsp.StatusCode < http.StatusBadRequest {
					must.StrContains(t, txt, fmt.Sprintf("/%d 0 ", num))
				}
			}
			if tcs.dropped == 0 {
				_ = plc.Conn.(*net.TCPConn).CloseWrite() // The server waits for further requests.
			}
			_, _, err := plc.receive(http.MethodGet)
			must.Error(t, err)
			must.Eq(t, tcs.started, started.Load())
			must.Eq(t, tcs.dropped, pls.events.count(eventDropped))
			must.Eq(t, tcs.replaced, pls.events.count(eventReplaced))
		})
	}
}

// TestPipelineCallerLeaves guards against requests that run on after their caller has closed the connection, as a whole or
// its sending side.
func TestPipelineCallerLeaves(t *testing.T) {
	for nam, leave := range map[string]func(*net.TCPConn) error{"close": (*net.TCPConn).Close, "half-close": (*net.TCPConn).CloseWrite} {
		t.Run(nam, func(t *testing.T) {
			started, cancelled := make(chan bool, 5), make(chan bool, 5)
			pls := newPipelineServer(t, 4, func(_ http.ResponseWriter, req *http.Request) {
				started <- true
				<-req.Context().Done()
				cancelled <- true
			})
			plc := pls.dial(t)
			plc.send(get("/get/0"), get("/get/1"), get("/get/2"), get("/once/3"))
			for range 3 {
				<-started
			}
			must.NoError(t, leave(plc.Conn.(*net.TCPConn)))
			for range 3 {
				<-cancelled
			}
			time.Sleep(20 * time.Millisecond)
			must.Eq(t, 0, len(started), must.Sprint("a request that was not read ran"))
			must.True(t, pls.cns.stopReadsIfIdle(false), must.Sprint("requests still count as running"))
		})
	}
}

// TestPipelineSlowReader guards against responses that fill the memory while their caller reads slowly or one ahead is slow.
func TestPipelineSlowReader(t *testing.T) {
	const siz = 100 << 10
	pls := newPipelineServer(t, 8, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/get/0" {
			time.Sleep(200 * time.Millisecond)
		}
	})
	var most atomic.Int64
	end := make(chan struct{})
	var wgr sync.WaitGroup
	wgr.Go(func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Millisecond):
				most.Store(max(most.Load(), pls.cns.held.Load()))
			}
		}
	})
	plc := pls.dial(t)
	go func() {
		for num := range 60 {
			plc.send(get(fmt.Sprintf("/get/%d?%d", num, siz)))
		}
	}()
	time.Sleep(500 * time.Millisecond)
	for num := range 60 {
		txt, _, err := plc.receive(http.MethodGet)
		must.NoError(t, err)
		must.Eq(t, padded(fmt.Sprintf("/get/%d", num), 0, siz), txt)
	}
	close(end)
	wgr.Wait()
	must.Between(t, siz, most.Load(), maxHeld)
	must.Positive(t, pls.events.count(eventLimit))
	must.Eq(t, 0, pls.cns.held.Load())
}

// TestPipelineStop guards against a planned stop that leaves a started request without an answer, closes a connection without
// telling its caller, or answers on after that.
func TestPipelineStop(t *testing.T) {
	for range 3 {
		var started, received sync.Map
		pls := newPipelineServer(t, 8, func(_ http.ResponseWriter, req *http.Request) {
			started.Store(req.URL.Path, true)
			time.Sleep(time.Duration(rand.IntN(8000)) * time.Microsecond)
		})
		var wgr sync.WaitGroup
		var wrong atomic.Int64
		for cal := range 16 {
			plc, closes := pls.dial(t), false
			wgr.Go(func() {
				defer plc.Close()
				for next := 0; ; next++ {
					if next%6 == 0 {
						var text string
						for num := range 6 {
							text += get(orderedPath(cal, next+num))
						}
						plc.send(text)
					}
					txt, rsp, err := plc.receive(http.MethodGet)
					if err != nil {
						// As ever, an idle connection is closed without notice.
						if !closes && next%6 > 0 {
							t.Logf("request %d of %d ended without notice: %v", next, cal, err)
							wrong.Add(1)
						}
						return
					}
					if closes || txt != padded(orderedPath(cal, next), 0, 0) {
						wrong.Add(1)
					}
					received.Store(orderedPath(cal, next), true)
					closes = rsp.Close
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		shutdown(pls.srv, pls.lis, pls.cns, time.Second)
		wgr.Wait()
		must.Eq(t, 0, wrong.Load())
		started.Range(func(path, _ any) bool {
			_, ok := received.Load(path)
			must.True(t, ok, must.Sprint(path, " was started and not answered"))
			return true
		})
	}
}

// TestPipelineOrderedUnderCloses guards against lost, mixed or repeated responses when handlers close connections at random.
func TestPipelineOrderedUnderCloses(t *testing.T) {
	const callers, depth = 16, 16
	pls := newPipelineServer(t, 8, func(wri http.ResponseWriter, req *http.Request) {
		switch rnd := rand.IntN(1000); {
		case rnd < 2:
			panic(http.ErrAbortHandler)
		case rnd < 100:
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Microsecond)
		}
		if strings.HasPrefix(req.URL.Path, "/once/") && rand.IntN(100) == 0 {
			wri.Header().Set("Connection", "close")
		}
	})
	var wgr sync.WaitGroup
	var received, conns, wrong atomic.Int64
	for cal := range callers {
		wgr.Go(func() {
			for next, last := 0, *orderedRequests/callers; next < last; conns.Add(1) {
				plc := pls.dial(t)
				for sent, open := next, true; open && next < last; {
					var text strings.Builder
					for ; sent < min(next+depth, last); sent++ {
						text.WriteString(get(orderedPath(cal, sent) + "?300"))
					}
					plc.send(text.String())
					txt, rsp, err := plc.receive(http.MethodGet)
					open = err == nil && !rsp.Close
					if err != nil {
						continue // An aborted response; the request is sent again.
					}
					siz := 300
					if rsp.StatusCode == http.StatusBadGateway {
						siz = 0 // The handler aborted before its turn.
					}
					if txt != padded(orderedPath(cal, next), 0, siz) {
						wrong.Add(1)
					}
					received.Add(1)
					next++
				}
				_ = plc.Close()
			}
		})
	}
	wgr.Wait()
	must.Eq(t, 0, wrong.Load())
	must.Eq(t, 0, pls.events.count(eventLost), must.Sprint("started requests without an answer"))
	t.Logf("%d responses on %d connections, %d out of order; %v", received.Load(), conns.Load(), wrong.Load(), pls.events.counts)
}

func orderedPath(cal, num int) string {
	if num%7 == 3 {
		return fmt.Sprintf("/once/%d-%d", cal, num)
	}
	return fmt.Sprintf("/get/%d-%d", cal, num)
}
