package control

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/backend"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	powerService    = "vitrine"
	powerPartitions = 16
	powerLease      = 3500 * time.Millisecond
	// powerWait is how long a leader waits for the end of a lease, including its margin for clock rates.
	powerWait = powerLease + powerLease/20 + 20*time.Millisecond
	// powerSettle is the time after the last fault in which all keys must be served again.
	powerSettle = 20 * time.Second
)

// powerSeeds is the number of series of faults; the first one has the seed powerFirst.
var (
	powerSeeds = flag.Int64("power.seeds", 60, "number of series of faults")
	powerFirst = flag.Int64("power.first", 0, "seed of the first series of faults")
)

// host is an agent process and the backend server beside it, which keeps running when the agent stops.
type host struct {
	name   string
	pip    *pipeListener
	pln    *controlPlane
	clu    *powerCluster
	cancel context.CancelFunc
	ended  sync.WaitGroup

	mu          sync.Mutex
	cli         *backend.Client // nil while no agent runs
	incarnation uint64
	sequence    uint64
	held        map[uint32]uint64 // tokens by partition
	heldUntil   time.Time
	silentUntil time.Time // the server sends no heartbeats until then
	sent        []*backend.Announcement
}

// pipeListener connects the agents to the health endpoints of their servers in memory, so that the connections
// belong to the synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (pip *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	one, two := net.Pipe()
	select {
	case pip.conns <- two:
		return one, nil
	case <-pip.closed:
	case <-ctx.Done():
	}
	return nil, net.ErrClosed
}

func (pip *pipeListener) Accept() (net.Conn, error) {
	select {
	case cnn := <-pip.conns:
		return cnn, nil
	case <-pip.closed:
		return nil, net.ErrClosed
	}
}

func (pip *pipeListener) Close() error   { return nil }
func (pip *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// powerCluster runs the hosts and checks which keys their servers hold.
type powerCluster struct {
	rnd    *rand.Rand
	hosts  []*host
	began  time.Time
	mu     sync.Mutex
	tokens map[uint32]uint64 // highest token with which a server held a partition
	last   map[uint32]string // host and incarnation of the server that held it last
	trace  []string          // faults so far, with the time since the start and the host
	err    error
}

// start starts an agent process.
func (hst *host) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ses := New(Options{Control: []string{"c1"}, Node: &controlpb.Node{Name: hst.name}, Logger: log})
	ses.dial = hst.pln.dial
	cli := backend.New(backend.Options{
		OnUpstream: ses.SetUpstream, Owned: ses.Owned, Lease: ses.Expires, Service: ses.Service, Incoming: ses.Incoming, Dial: hst.pip.dial,
	}, siskinrill.NewCounters())
	ctx, cancel := context.WithCancel(context.Background())
	hst.cancel = cancel
	hst.ended.Go(func() { _ = ses.Run(ctx) })
	hst.ended.Go(func() { _ = cli.Run(ctx) })
	hst.ended.Go(func() { hst.release(ctx, ses, cli) })
	hst.mu.Lock()
	defer hst.mu.Unlock()
	hst.cli = cli
}

func (hst *host) stop() {
	hst.mu.Lock()
	hst.cli = nil
	hst.mu.Unlock()
	hst.cancel()
	hst.ended.Wait()
}

// release revokes and releases the rows that control moves.
func (hst *host) release(ctx context.Context, ses *Session, cli *backend.Client) {
	began := map[string]bool{}
	for ctx.Err() == nil {
		for _, row := range ses.Owned() {
			ref := &controlpb.ShardRef{Service: powerService, Partition: row.GetPartition(), Token: row.GetToken()}
			if row.GetPhase() != controlpb.Phase_PHASE_RELEASING || began[ref.String()] {
				continue
			}
			began[ref.String()] = true
			hst.ended.Go(func() {
				for refs := range cli.Revoke(ctx, []*controlpb.ShardRef{ref}) {
					ses.Release(refs)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heartbeat sends a heartbeat and holds the keys granted in its answer.
func (hst *host) heartbeat() {
	hst.mu.Lock()
	cli := hst.cli
	if cli == nil || time.Now().Before(hst.silentUntil) {
		hst.mu.Unlock()
		return
	}
	hst.sequence++
	ann := &backend.Announcement{ID: hst.name, Service: powerService, URL: "http://127.0.0.1:9", Slots: 2, Incarnation: hst.incarnation, Sequence: hst.sequence, HoldsKeys: true}
	if time.Now().Before(hst.heldUntil) {
		for par, tok := range hst.held {
			fst, lst := siskinrill.KeyRange(par, powerPartitions)
			ann.Holds = append(ann.Holds, backend.HeldRange{First: fst, Last: lst, Token: tok})
		}
	}
	sentCopy := *ann // Announce completes the one that it gets
	hst.sent = append(hst.sent, &sentCopy)
	hst.mu.Unlock()
	sent := time.Now()
	std, err := cli.Announce(context.Background(), ann)
	if err != nil || std.HoldMs == 0 || time.Since(sent) > time.Second {
		return
	}
	hst.mu.Lock()
	defer hst.mu.Unlock()
	if ann.Incarnation != hst.incarnation || ann.Sequence != hst.sequence {
		return
	}
	old := hst.held
	hst.held = map[uint32]uint64{}
	hst.heldUntil = sent.Add(time.Duration(float64(std.HoldMs) * 1.02 * float64(time.Millisecond)))
	for _, rng := range std.Holds {
		for par := range uint32(powerPartitions) {
			if fst, lst := siskinrill.KeyRange(par, powerPartitions); fst >= rng.First && lst <= rng.Last {
				hst.held[par] = rng.Token
				hst.clu.checkHold(hst, par, rng.Token, old[par] == rng.Token)
			}
		}
	}
}

// holds reports whether the server holds a partition.
func (hst *host) holds(par uint32) bool {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	return hst.held[par] != 0 && time.Now().Before(hst.heldUntil)
}

// checkHolders records a partition that two servers that are up hold.
func (clu *powerCluster) checkHolders() {
	for par := range uint32(powerPartitions) {
		var holders []string
		for _, hst := range clu.hosts {
			if hst.holds(par) {
				holders = append(holders, hst.name)
			}
		}
		if len(holders) > 1 {
			clu.fail(fmt.Errorf("partition %d is held by %v", par, holders))
		}
	}
}

// checkServed records a partition that no server holds although all are up.
func (clu *powerCluster) checkServed() {
	for par := range uint32(powerPartitions) {
		if !slices.ContainsFunc(clu.hosts, func(hst *host) bool { return hst.holds(par) }) {
			clu.fail(fmt.Errorf("partition %d is not served", par))
		}
	}
}

// fail records the first violation.
func (clu *powerCluster) fail(err error) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	if clu.err == nil {
		clu.err = err
	}
}

// checkHold checks that a key which a server has acquired or renewed has not been granted to another since.
func (clu *powerCluster) checkHold(hst *host, par uint32, tok uint64, renewed bool) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	start := fmt.Sprintf("%s/%d", hst.name, hst.incarnation)
	if clu.err == nil && (tok < clu.tokens[par] || tok == clu.tokens[par] && clu.last[par] != start) {
		clu.err = fmt.Errorf("partition %d is held by %s with token %d (renewed: %t), but was held by %s with token %d", par, start, tok, renewed, clu.last[par], clu.tokens[par])
	}
	clu.tokens[par], clu.last[par] = max(tok, clu.tokens[par]), start
}

// runPowerLoss runs three hosts and the leader through random faults, and returns the first violation.
func runPowerLoss(seed int64) error {
	pip := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	srv := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(pip) }()
	clu := &powerCluster{began: time.Now(), rnd: rand.New(rand.NewSource(seed)), tokens: map[uint32]uint64{}, last: map[uint32]string{}}
	pln := newPlane(rand.New(rand.NewSource(seed + 1)))
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	for num := range 3 {
		hst := &host{name: fmt.Sprintf("v%d", num), pip: pip, pln: pln, clu: clu, incarnation: 1, held: map[uint32]uint64{}}
		clu.hosts = append(clu.hosts, hst)
		hst.start()
		pause := 750*time.Millisecond + time.Duration(num)*40*time.Millisecond
		ended.Go(func() {
			for ctx.Err() == nil {
				hst.heartbeat()
				time.Sleep(pause)
			}
		})
	}
	ended.Go(func() {
		for ctx.Err() == nil {
			pln.tick()
			time.Sleep(100 * time.Millisecond)
			clu.checkHolders()
		}
	})
	time.Sleep(3 * time.Second)
	for range 8 {
		clu.injectFault()
		clu.pause(6000)
	}
	pln.mu.Lock()
	pln.calm = true
	pln.mu.Unlock()
	time.Sleep(powerSettle)
	clu.checkServed()
	for _, hst := range clu.hosts {
		hst.stop()
	}
	pln.setDown(true)
	cancel()
	ended.Wait()
	close(pip.closed)
	_ = srv.Close()
	time.Sleep(5 * time.Second) // until the connections' goroutines have ended
	if clu.err == nil {
		return nil
	}
	return errors.Wrap(clu.err, strings.Join(clu.trace, "; "))
}

// TestPowerLoss guards against a key that two servers hold, or that returns to a server with an old token,
// while the agents' tables are delayed, and against one that is not served again: after all processes have lost power, after an
// agent, a server or the leader has restarted, after a server sent no heartbeats, with late announcements and those of another writer.
func TestPowerLoss(t *testing.T) {
	for seed := *powerFirst; seed < *powerFirst+*powerSeeds; seed++ {
		var err error
		synctest.Test(t, func(*testing.T) { err = runPowerLoss(seed) })
		must.NoError(t, err, must.Sprintf("seed %d", seed))
	}
}
