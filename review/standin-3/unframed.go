package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	clientDeadline = 1500 * time.Millisecond
	// crashAfter is how long after its drain began the backend server crashes, well within drain-ms.
	crashAfter = 400 * time.Millisecond
)

// playUnframed plays backend servers whose answers have no length; one of them drains as planned, and crashes meanwhile.
func playUnframed(dep *deployment, trouble bool) (bool, error) {
	const svc = "checkout"
	if err := dep.start(svc, svc, svc); err != nil {
		return false, err
	}
	sts, err := dep.order(http.MethodPut, map[string]any{
		"version": 1, "base-version": 0, "limits": limits,
		"routes": table{Columns: routeColumns, Rows: [][]any{
			{"r-order", "shop.example", "/order/", "non_idempotent", 1500, 600, 1, svc, 2, nil},
		}},
		"services": table{Columns: serviceColumns, Rows: [][]any{{svc, "/health", 120, "h1", false, nil, nil, nil}}},
	})
	if err != nil || sts != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", sts, err)
	}
	dep.rec.printf("the first configuration is acknowledged")
	var second *os.Process
	for num, hst := range dep.sidecars {
		cmd, err := dep.startUpstream(hst, fmt.Sprintf("i-%d", num+1))
		if err != nil {
			return false, err
		}
		if num == 1 {
			second = cmd.Process
		}
	}
	if err := dep.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var broken atomic.Int64
	var clients sync.WaitGroup
	begin := time.Now()
	for num := range 240 {
		hst := dep.sidecars[num%len(dep.sidecars)]
		time.Sleep(time.Until(begin.Add(time.Duration(num) * 25 * time.Millisecond)))
		clients.Go(func() {
			if !dep.request(hst, fmt.Sprintf("%016x", num+1)) {
				broken.Add(1)
			}
		})
		if num == 80 {
			dep.rec.printf("i-2 is told to leave (planned work)")
			_ = second.Signal(syscall.SIGTERM)
			if trouble {
				time.AfterFunc(crashAfter, func() {
					dep.rec.printf("i-2 crashes (SIGKILL)")
					_ = second.Signal(syscall.SIGKILL)
				})
			}
		}
	}
	clients.Wait()
	dep.rec.printf("%d answers of 240 ended early and looked complete", broken.Load())
	return broken.Load() > 0, nil
}

// request sends one request of a client and returns false if its answer ended early and looked complete.
func (dep *deployment) request(hst *host, attempt string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+dep.address(hst, portOutbound)+"/order/"+attempt, strings.NewReader("kit"))
	if err != nil {
		return true
	}
	req.Host = "shop.example"
	req.Header.Set("X-Siskinrill-Attempt-Id", attempt)
	req.Header.Set("X-Siskinrill-Deadline-Ms", "1500")
	cli := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := cli.Do(req)
	if err != nil {
		dep.rec.printf("client: %s got no answer: %v", attempt, err)
		return true
	}
	defer res.Body.Close()
	dat, err := io.ReadAll(res.Body)
	stamp, whole := res.Header.Get("X-Siskinrill-Server-Stamp"), wholeBody(attempt)
	switch {
	case err != nil:
		dep.rec.printf("client: %s got status %d and a cut body: %v", attempt, res.StatusCode, err)
	case res.StatusCode == http.StatusOK && string(dat) != whole:
		dep.rec.printf("client: %s got status 200, stamp %s, and a body that ends as if complete after %d of %d bytes", attempt, stamp, len(dat), len(whole))
		return false
	default:
		dep.rec.printf("client: %s got status %d, stamp %s, %d bytes", attempt, res.StatusCode, stamp, len(dat))
	}
	return true
}
