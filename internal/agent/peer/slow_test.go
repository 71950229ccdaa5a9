package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// slowRelay forwards TCP connections and delivers all bytes after a delay, like a saturated network link.
type slowRelay struct {
	lis    net.Listener
	target string

	mu       sync.Mutex
	delay    time.Duration
	accepted int
	conns    []net.Conn
}

func newSlowRelay(t *testing.T, target string) *slowRelay {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	rel := &slowRelay{lis: lis, target: target}
	t.Cleanup(rel.close)
	go rel.accept()
	return rel
}

func (rel *slowRelay) accept() {
	for {
		inn, err := rel.lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", rel.target)
		if err != nil {
			_ = inn.Close()
			continue
		}
		rel.mu.Lock()
		rel.accepted++
		rel.conns = append(rel.conns, inn, out)
		rel.mu.Unlock()
		go rel.pipe(inn, out)
		go rel.pipe(out, inn)
	}
}

// segment is the data of one read and the time at which it is delivered.
type segment struct {
	data []byte
	due  time.Time
}

func (rel *slowRelay) pipe(from, to net.Conn) {
	segs := make(chan segment, 4096)
	go func() {
		for seg := range segs {
			time.Sleep(time.Until(seg.due))
			if _, err := to.Write(seg.data); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}()
	defer close(segs)
	for {
		buf := make([]byte, 32<<10)
		num, err := from.Read(buf)
		if err != nil {
			return
		}
		segs <- segment{data: buf[:num], due: time.Now().Add(rel.latency())}
	}
}

func (rel *slowRelay) latency() time.Duration {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	return rel.delay
}

// setDelay sets the delay in each direction.
func (rel *slowRelay) setDelay(dly time.Duration) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.delay = dly
}

func (rel *slowRelay) connections() int {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	return rel.accepted
}

func (rel *slowRelay) close() {
	_ = rel.lis.Close()
	rel.mu.Lock()
	defer rel.mu.Unlock()
	for _, con := range rel.conns {
		_ = con.Close()
	}
}

// slowFixture is a server behind a slow relay, and a pool that has a connection to it.
type slowFixture struct {
	own *fakeOwner
	rel *slowRelay
	poo *Pool
	cnt *siskinrill.Counters
}

func newSlowFixture(t *testing.T) *slowFixture {
	own := &fakeOwner{handle: echo}
	fix := &slowFixture{own: own, cnt: siskinrill.NewCounters()}
	fix.rel = newSlowRelay(t, serve(t, func(gsv *grpc.Server) { NewServer(own, nil).Register(gsv) }))
	fix.poo = NewPool(Options{Counters: fix.cnt})
	t.Cleanup(fix.poo.Close)
	must.NoError(t, fix.forward(t.Context()))
	return fix
}

func (fix *slowFixture) address() string { return fix.rel.lis.Addr().String() }

func (fix *slowFixture) forward(ctx context.Context) error {
	ans, err := fix.poo.Forward(ctx, fix.address(), newAttempt(idempotent, []byte("body")))
	if err == nil {
		_, err = readAnswer(ans)
	}
	return err
}

func (fix *slowFixture) events() string { return fix.cnt.Vars()["events"].String() }

// TestSlowPeer guards against requests that fail because a saturated network link delays the answers of a working peer.
func TestSlowPeer(t *testing.T) {
	t.Parallel()
	for name, dly := range map[string]time.Duration{"round trip of 0.5 s": 250 * time.Millisecond, "round trip of 0.9 s": 450 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fix := newSlowFixture(t)
			fix.own.handle = answeringAfter(func() { time.Sleep(400 * time.Millisecond) }, 0)
			fix.rel.setDelay(dly)
			var wtg sync.WaitGroup
			for range 20 {
				wtg.Go(func() { must.NoError(t, fix.forward(t.Context())) })
			}
			wtg.Wait()
		})
	}
}

// TestSlowPeerConnections guards against a new connection for nearly every request to a peer behind a saturated
// network link.
func TestSlowPeerConnections(t *testing.T) {
	t.Parallel()
	fix := newSlowFixture(t)
	fix.own.handle = answeringAfter(func() { time.Sleep(400 * time.Millisecond) }, 0)
	fix.rel.setDelay(300 * time.Millisecond)
	var wtg sync.WaitGroup
	for range 60 {
		wtg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, _ = fix.poo.Forward(ctx, fix.address(), newAttempt(nonIdempotent, nil))
		})
		time.Sleep(50 * time.Millisecond)
	}
	wtg.Wait()
	must.LessEq(t, 4, fix.rel.connections(), must.Sprint(fix.events()))
}

// TestSuspectIsAvoided guards against a new request on a connection that has left a ping unanswered.
func TestSuspectIsAvoided(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	resume := make(chan struct{})
	blocked := answeringAfter(func() { fix.rel.blackhole(); <-resume }, 0)
	fix.own.handle = func(ctx context.Context, att *siskinrill.Attempt) (*siskinrill.Answer, error) {
		if fix.own.arrived.Load() == 1 {
			return blocked(ctx, att)
		}
		return echo(ctx, att)
	}
	first := make(chan error, 1)
	go func() {
		_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
		first <- err
	}()
	// The ping is sent after 250 ms without received data, and its answer is awaited for at least 250 ms.
	time.Sleep(300 * time.Millisecond)
	fix.awaitEvent(t, "peer_suspected")
	beg := time.Now()
	_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
	must.NoError(t, err)
	must.Less(t, 150*time.Millisecond, time.Since(beg))
	must.Eq(t, 0, len(first))
	close(resume)
	must.Error(t, <-first)
}

// TestSuspectRecovers guards against failed requests, and a second connection for later ones, if the answer to
// a ping is delayed.
func TestSuspectRecovers(t *testing.T) {
	t.Parallel()
	fix := newSlowFixture(t)
	fix.own.handle = answeringAfter(func() { time.Sleep(10 * time.Millisecond) }, 0)
	fix.rel.setDelay(350 * time.Millisecond)
	must.NoError(t, fix.forward(t.Context()))
	fix.rel.setDelay(0)
	must.NoError(t, fix.forward(t.Context()))
	must.StrNotContains(t, fix.events(), "peer_ping_failed")
}

// TestConnectStorm guards against a new connection for each request while a peer refuses connections or does not respond.
func TestConnectStorm(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*fixture){"refuses": func(fix *fixture) { fix.rel.refuseAll() }, "unresponsive": func(fix *fixture) { fix.rel.blackholeAll() }} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fault(fix)
			var wtg sync.WaitGroup
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				wtg.Go(func() {
					_, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
					must.Error(t, err)
				})
			}
			wtg.Wait()
			must.LessEq(t, 14, fix.rel.connections())
			// A returned peer must be reached soon.
			fix.rel.refuse.Store(false)
			fix.rel.blackholeNew.Store(false)
			returned := time.Now()
			for {
				if _, err := fix.poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil)); err == nil {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
			must.Less(t, 900*time.Millisecond, time.Since(returned))
		})
	}
}

// TestSlowRunIsNotPinged guards against a ping for each request that runs as long as usual on its backend server.
func TestSlowRunIsNotPinged(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	pngs := &pingCounter{Server: fix.srv}
	adr := serve(t, func(gsv *grpc.Server) { peerpb.RegisterPeerServiceServer(gsv, pngs) })
	fix.own.handle = answeringAfter(func() { time.Sleep(400 * time.Millisecond) }, 0)
	for range 10 {
		_, err := fix.poo.Forward(t.Context(), adr, newAttempt(idempotent, nil))
		must.NoError(t, err)
	}
	must.LessEq(t, 4, pngs.count.Load())
}

// TestDrainingLink guards against closing a suspect connection while the peer still receives its bytes, and
// against one that is never closed.
func TestDrainingLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		poo := NewPool(Options{})
		defer poo.Close()
		near, far := net.Pipe()
		lnk := &link{address: "1.2.3.4:1", socket: &socket{Conn: near, born: time.Now()}, outstanding: 1}
		lnk.suspectedAt, lnk.replacedAt = time.Now(), time.Now()
		classify := func() linkState {
			poo.mu.Lock()
			defer poo.mu.Unlock()
			return poo.classify(lnk, time.Now())
		}
		for range 20 {
			go func() {
				time.Sleep(200 * time.Millisecond)
				_, _ = far.Read(make([]byte, 1))
			}()
			_, err := lnk.socket.Write([]byte("x"))
			must.NoError(t, err)
			must.Eq(t, healthy, classify())
		}
		time.Sleep(minReplacedTimeout + time.Millisecond)
		must.Eq(t, dead, classify())
		_ = near.Close()
	})
}

// TestUnusedRemotesAreEvicted guards against a memory leak in a long-running agent through records of addresses
// that are no longer used.
func TestUnusedRemotesAreEvicted(t *testing.T) {
	t.Parallel()
	fix := newFixture(t)
	poo := NewPool(Options{IdleTimeout: 50 * time.Millisecond})
	t.Cleanup(poo.Close)
	_, err := poo.Forward(t.Context(), fix.rel.address(), newAttempt(idempotent, nil))
	must.NoError(t, err)
	fix.rel.refuseAll()
	_, err = poo.Forward(t.Context(), fix.rel.address(), newAttempt(nonIdempotent, nil))
	must.Error(t, err)
	time.Sleep(500 * time.Millisecond)
	poo.mu.Lock()
	defer poo.mu.Unlock()
	must.MapEmpty(t, poo.remotes)
}
