package rawclient_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/bench/memory"
)

const (
	// startTimeout limits the start of a deployment.
	startTimeout = 30 * time.Second
	// answerTimeout limits the time until an ordinary request is answered, its tries included.
	answerTimeout = 60 * time.Second
	// tryTimeout limits one try.
	tryTimeout = 10 * time.Second
	// tryPause is the pause between two tries.
	tryPause = 100 * time.Millisecond
)

// binary is the built program.
var binary string

// TestMain builds the program, without the race detector, which takes memory of its own.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "siskinrill-rawclient-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "siskinrill")
	if out, err := exec.Command("go", "build", "-C", "../../..", "-o", binary, "./cmd/siskinrill").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// process is a deployment in one process, with the built-in example.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // of Wait, once exited is closed

	mu        sync.Mutex
	addresses map[string]string // by the name of the listener
}

// start runs siskinrill dev with a limit of open descriptors, 0 for none of its own, and waits until it is ready.
func start(t *testing.T, descriptors int) *process {
	prc := &process{exited: make(chan struct{}), addresses: map[string]string{}}
	args := []string{"dev", "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0", "--log-level", "info"}
	prc.cmd = exec.Command(binary, args...)
	if descriptors > 0 {
		shell := append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), binary}, args...)
		prc.cmd = exec.Command("/bin/sh", shell...)
	}
	out, err := prc.cmd.StdoutPipe()
	must.NoError(t, err)
	prc.cmd.Stderr = prc.cmd.Stdout
	must.NoError(t, prc.cmd.Start())
	ready := make(chan struct{})
	go prc.readLog(out, ready)
	t.Cleanup(func() { prc.stop(t) })
	select {
	case <-ready:
	case <-prc.exited:
		t.Fatalf("the process has ended: %v", prc.err)
	case <-time.After(startTimeout):
		t.Fatal("the process is not ready")
	}
	return prc
}

var (
	readyRegexp   = regexp.MustCompile(`^ready listen=(\S+) admin=(\S+)`)
	agentRegexp   = regexp.MustCompile(`"agent: Started\." admin="(\S+)" backend="(\S+)" callers="(\S+)" name=\S+ peers="(\S+)"`)
	controlRegexp = regexp.MustCompile(`"control: Started\." admin="(\S+)" .*listen="(\S+)"`)
	standinRegexp = regexp.MustCompile(`"standin: Started\." .*url="http://(\S+)"`)
)

// readLog reads the addresses of the listeners from the output until the process ends.
func (prc *process) readLog(out io.Reader, ready chan<- struct{}) {
	agents := map[string][]string{}
	scn := bufio.NewScanner(out)
	for scn.Scan() {
		prc.mu.Lock()
		if fnd := agentRegexp.FindStringSubmatch(scn.Text()); fnd != nil {
			agents[fnd[3]] = fnd
		}
		if fnd := controlRegexp.FindStringSubmatch(scn.Text()); fnd != nil {
			prc.addresses["control"], prc.addresses["control admin"] = fnd[2], fnd[1]
		}
		if fnd := standinRegexp.FindStringSubmatch(scn.Text()); fnd != nil {
			prc.addresses["stand-in"] = fnd[1]
		}
		fnd := readyRegexp.FindStringSubmatch(scn.Text())
		if fnd != nil {
			agt := agents[fnd[1]]
			prc.addresses["callers"], prc.addresses["admin"] = fnd[1], fnd[2]
			prc.addresses["backend"], prc.addresses["peers"] = agt[2], agt[4]
		}
		prc.mu.Unlock()
		if fnd != nil {
			close(ready)
		}
	}
	prc.err = prc.cmd.Wait()
	close(prc.exited)
}

// address returns the address of a listener.
func (prc *process) address(name string) string {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.addresses[name]
}

// stop ends the process, which must still run.
func (prc *process) stop(t *testing.T) {
	prc.requireAlive(t)
	_ = prc.cmd.Process.Signal(syscall.SIGKILL)
	<-prc.exited
}

func (prc *process) requireAlive(t *testing.T) {
	select {
	case <-prc.exited:
		t.Errorf("the process has ended by itself: %v", prc.err)
	default:
	}
}

// requirePeak requires that the process has never had more resident memory.
func (prc *process) requirePeak(t *testing.T, limit uint64) {
	peak, err := memory.ProcessPeak(prc.cmd.Process.Pid)
	must.NoError(t, err)
	t.Logf("%d MB at the peak", peak>>20)
	must.Less(t, limit, peak)
}

// requireAnswer requires that an ordinary caller, which tries again when it is refused, gets its answer.
func (prc *process) requireAnswer(t *testing.T) {
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: tryTimeout}
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	last := "none"
	for tries := 1; ctx.Err() == nil; tries++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+prc.address("callers")+"/shades/RS-1042", nil)
		must.NoError(t, err)
		res, err := cli.Do(req)
		if err != nil {
			last = err.Error()
			time.Sleep(tryPause)
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil && res.StatusCode == http.StatusOK && strings.Contains(string(body), "RS-1042") {
			t.Logf("an ordinary request was answered at try %d", tries)
			return
		}
		last = res.Status
		time.Sleep(tryPause)
	}
	t.Fatalf("no ordinary request was answered; the last try: %s", last)
}
