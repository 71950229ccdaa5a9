package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// ledger is a registry that keeps the change ids of its commands in order.
type ledger struct {
	siskinrill.Registry // panics on methods that the log does not use
	mu                  sync.Mutex
	idx                 uint64
	ids                 []string
}

func (led *ledger) Apply(idx uint64, cmd *controlpb.Command) *siskinrill.Result {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.idx = idx
	led.ids = append(led.ids, cmd.GetApplyConfiguration().GetChangeId())
	return siskinrill.NewResult(idx, nil, 0)
}

func (led *ledger) Save() ([]byte, error) { return json.Marshal(led.list()) }

func (led *ledger) Restore(data []byte) error {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.ids = nil
	return json.Unmarshal(data, &led.ids)
}

func (led *ledger) list() []string {
	led.mu.Lock()
	defer led.mu.Unlock()
	return append([]string(nil), led.ids...)
}

func command(chg string) *controlpb.Command {
	return &controlpb.Command{Kind: &controlpb.Command_ApplyConfiguration{ApplyConfiguration: &controlpb.ApplyConfiguration{ChangeId: chg}}}
}

// process is one control process on loopback.
type process struct {
	*Group
	led    *ledger
	srv    *grpc.Server
	cancel context.CancelFunc
	err    chan error
}

// kill ends the process without a hand-over.
func (prc *process) kill() error {
	prc.srv.Stop()
	prc.cancel()
	return <-prc.err
}

// cluster is a set of control processes on loopback.
type cluster struct {
	tst   testing.TB
	dir   string
	peers []Peer
	prcs  map[string]*process
}

func freePort(tst testing.TB) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(tst, err)
	defer lis.Close()
	return lis.Addr().String()
}

func newCluster(tst testing.TB, size int) *cluster {
	clu := &cluster{tst: tst, dir: tst.TempDir(), prcs: map[string]*process{}}
	for num := range size {
		clu.peers = append(clu.peers, Peer{Name: fmt.Sprintf("c%d", num+1), Address: freePort(tst)})
	}
	for _, per := range clu.peers {
		clu.start(per.Name, per.Address, per.Name, nil)
	}
	tst.Cleanup(func() {
		for _, prc := range clu.prcs {
			_ = prc.kill()
		}
	})
	return clu
}

// start runs a process on a data directory of the given name.
func (clu *cluster) start(name, addr, dir string, adjust func(*Options)) *process {
	logger := logrus.New()
	logger.SetOutput(clu.tst.Output())
	led := &ledger{}
	opt := Options{Name: name, Address: addr, DataDir: filepath.Join(clu.dir, dir), InitialMembers: clu.peers, Registry: led, Logger: logger}
	if adjust != nil {
		adjust(&opt)
	}
	grp, err := New(opt)
	must.NoError(clu.tst, err)
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(MaxMessageBytes))
	grp.Register(srv)
	lis, err := net.Listen("tcp", addr)
	must.NoError(clu.tst, err)
	go func() { _ = srv.Serve(lis) }()
	ctx, cancel := context.WithCancel(context.Background())
	prc := &process{Group: grp, led: led, srv: srv, cancel: cancel, err: make(chan error, 1)}
	go func() { prc.err <- grp.Run(ctx); prc.err <- nil }()
	clu.prcs[name] = prc
	return prc
}

// leader waits for a process that serves as the leader.
func (clu *cluster) leader(within time.Duration) *process {
	clu.tst.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, prc := range clu.prcs {
			if ldr, _ := prc.Leadership(); ldr.Leading() {
				return prc
			}
		}
	}
	clu.tst.Fatalf("no process leads within %s", within)
	return nil
}

// converge waits until every process has applied exactly the wanted commands in the leader's order.
func (clu *cluster) converge(want int, within time.Duration) {
	clu.tst.Helper()
	ref := clu.leader(within).led
	for end := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		lagging := ""
		ids := ref.list()
		for name, prc := range clu.prcs {
			if got := prc.led.list(); len(got) != want || fmt.Sprint(got) != fmt.Sprint(ids) {
				lagging = fmt.Sprintf("%s has %d of %d commands", name, len(got), want)
			}
		}
		if lagging == "" {
			return
		}
		if time.Now().After(end) {
			clu.tst.Fatalf("no convergence within %s: %s", within, lagging)
		}
	}
}

// run proposes commands one after the other at the leader.
func (clu *cluster) run(ldr *process, prefix string, num int) {
	clu.tst.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for pos := range num {
		res, err := ldr.Propose(ctx, command(fmt.Sprintf("%s%d", prefix, pos)))
		must.NoError(clu.tst, err)
		must.Positive(clu.tst, res.Index())
	}
}
