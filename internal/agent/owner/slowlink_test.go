package owner

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/peer"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// slowLink is a proxy in front of a host: everything that is sent to it over any connection queues for one link.
type slowLink struct {
	lis    net.Listener
	target string
	rate   int // bytes a second

	mu        sync.Mutex
	busyUntil time.Time
	maxDelay  time.Duration // maximum time for which a short message would have waited on the link
	conns     []net.Conn
}

// packet is a part of a connection's bytes on the link.
type packet struct {
	at    time.Time // time of its arrival
	bytes []byte
}

func newSlowLink(t *testing.T, target string, rate int) *slowLink {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	lnk := &slowLink{lis: lis, target: target, rate: rate}
	go lnk.accept()
	t.Cleanup(func() {
		_ = lis.Close()
		lnk.mu.Lock()
		defer lnk.mu.Unlock()
		for _, con := range lnk.conns {
			_ = con.Close()
		}
	})
	return lnk
}

func (lnk *slowLink) accept() {
	for {
		inn, err := lnk.lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", lnk.target)
		if err != nil {
			_ = inn.Close()
			continue
		}
		lnk.mu.Lock()
		lnk.conns = append(lnk.conns, inn, out)
		lnk.mu.Unlock()
		pkts := make(chan packet, 4096)
		go lnk.read(inn, pkts)
		go deliver(out, pkts)
		go answer(out, inn)
	}
}

// read reads what a connection sends and assigns each part its arrival time.
func (lnk *slowLink) read(con net.Conn, pkts chan<- packet) {
	defer close(pkts)
	for {
		buf := make([]byte, 4<<10)
		num, err := con.Read(buf)
		if err != nil {
			return
		}
		lnk.mu.Lock()
		if now := time.Now(); lnk.busyUntil.Before(now) {
			lnk.busyUntil = now
		}
		lnk.busyUntil = lnk.busyUntil.Add(time.Duration(num) * time.Second / time.Duration(lnk.rate))
		at := lnk.busyUntil
		lnk.maxDelay = max(lnk.maxDelay, time.Until(at))
		lnk.mu.Unlock()
		pkts <- packet{at: at, bytes: buf[:num]}
	}
}

func deliver(con net.Conn, pkts <-chan packet) {
	defer func() { _ = con.Close() }()
	for pkt := range pkts {
		time.Sleep(time.Until(pkt.at))
		if _, err := con.Write(pkt.bytes); err != nil {
			return
		}
	}
}

// answer forwards the other direction without delay.
func answer(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		num, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buf[:num]); err != nil {
			return
		}
	}
}

// serveOwner serves an owner to other agents and returns its address.
func serveOwner(t *testing.T, own *Owner) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	gsv := grpc.NewServer(peer.ServerOptions()...)
	peer.NewServer(own, nil).Register(gsv)
	go func() { _ = gsv.Serve(lis) }()
	t.Cleanup(gsv.Stop)
	return lis.Addr().String()
}

// linkLoad sends uploads and short calls from several agents to one owner.
type linkLoad struct {
	pools []*peer.Pool
	addr  string

	wait  sync.WaitGroup
	mu    sync.Mutex
	calls []time.Duration // durations of the short calls
	errs  map[string]int
}

func (lod *linkLoad) send(num uint64, att *siskinrill.Attempt, short bool) {
	beg := time.Now()
	ans, err := lod.pools[int(num)%len(lod.pools)].Forward(context.Background(), lod.addr, att)
	if err == nil {
		_ = ans.Close()
	}
	lod.mu.Lock()
	defer lod.mu.Unlock()
	if short {
		lod.calls = append(lod.calls, time.Since(beg))
	}
	if err != nil {
		lod.errs[fmt.Sprintf("short %v: %s", short, reasonOf(err))]++
	}
}

// uploadAttempt returns an upload whose entry holds the complete body.
func uploadAttempt(num uint64, size int) *siskinrill.Attempt {
	opn := open(num, "ab")
	opn.Kind, opn.TimeoutMs = uint32(controlpb.RequestKind_REQUEST_KIND_UPLOAD), 30_000
	opn.Body, opn.BodyLength = bytes.Repeat([]byte("x"), size), int64(size)
	return siskinrill.NewAttempt(opn, nil)
}

func shortAttempt(num uint64) *siskinrill.Attempt {
	opn := open(num, "ab")
	opn.Kind, opn.Method, opn.TimeoutMs = uint32(controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT), "GET", 12_000
	return siskinrill.NewAttempt(opn, nil)
}

// TestShortCallsBesideUploads guards against short calls that wait behind the bodies of uploads on their host's
// link.
func TestShortCallsBesideUploads(t *testing.T) {
	const (
		agents   = 20
		uploads  = 75
		size     = 60_000
		interval = 40 * time.Millisecond // 1.2 times the capacity of the link
		shorts   = 2                     // per upload
		limit    = 250 * time.Millisecond
		wait     = 30 * time.Second
	)
	// Long timeouts, so that no connection counts as unresponsive on a busy machine.
	longTimeouts := peer.Options{ConnectTimeout: wait, VerifyTimeout: wait, PingTimeout: wait}
	bnc := newBench(t.Context(), 18)
	bnc.ses.svc.QueueLimit = uploads
	var runs atomic.Int32
	bnc.bck.do = runAfterBody(20*time.Millisecond, &runs)
	lnk := newSlowLink(t, serveOwner(t, bnc.own), linkRate)
	lod := &linkLoad{addr: lnk.lis.Addr().String(), errs: map[string]int{}}
	for range agents {
		lod.pools = append(lod.pools, peer.NewPool(longTimeouts))
		t.Cleanup(lod.pools[len(lod.pools)-1].Close)
	}
	for num := range uint64(uploads) {
		lod.wait.Go(func() { lod.send(num, uploadAttempt(1+num, size), false) })
		for part := range uint64(shorts) {
			time.Sleep(interval / shorts)
			cnt := 1000 + num*shorts + part
			lod.wait.Go(func() { lod.send(cnt, shortAttempt(cnt), true) })
		}
	}
	lod.wait.Wait()
	must.MapEmpty(t, lod.errs)
	must.Eq(t, uploads*(1+shorts), runs.Load())
	slices.Sort(lod.calls)
	median, slow := lod.calls[len(lod.calls)/2], lod.calls[len(lod.calls)*95/100]
	t.Logf("short calls: median %v, 95th percentile %v, queue on the link %v", median, slow, lnk.maxDelay)
	// The durations of the calls include delays of a busy machine; the queue on the link does not.
	must.Less(t, limit, lnk.maxDelay)
}
