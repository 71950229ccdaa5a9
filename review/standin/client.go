package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Names on the wire.
const (
	service      = "huvo11a" // divided by key
	keyless      = "kafi81c"
	host         = "jepu9.example"
	prefix       = "/lepu270/"
	keylessRoute = "/xapu221/"
	longPath     = keylessRoute + "long" // a request whose run takes longWork
)

// configuration has a route to a service that is divided by key and one to a service that is not; each version builds on the
// one before.
func configuration(version int) []byte {
	raw, _ := json.Marshal(map[string]any{
		"version": version, "base-version": version - 1,
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "service", "max-attempts"},
			"rows":    [][]any{{"r-xd9dnn2", host, prefix, "idempotent", 1200, 200, 2, service, 2}, {"r-ctnfzs9", host, keylessRoute, "idempotent", 6000, 4000, 2, keyless, 1}},
		},
		"services": map[string]any{
			"columns": []string{"name", "health-path", "max-connections", "protocol", "tls", "sharded", "warm-s", "grants"},
			"rows":    [][]any{{service, "/health", 120, "h1", false, true, 5.0, "heartbeat"}, {keyless, "/health", 120, "h1", false, nil, nil, nil}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	return raw
}

// configure sends a configuration until it is acknowledged.
func (dep *deployment) configure(version int, limit time.Duration) error {
	cli := &http.Client{Timeout: time.Second}
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		cor := dep.cores[rand.IntN(len(dep.cores))]
		req, err := http.NewRequest(http.MethodPut, "http://"+dep.address(cor, dep.prt.control)+"/siskinrill/config", bytes.NewReader(configuration(version)))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := cli.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
		last = res.Status
	}
	return fmt.Errorf("the configuration was not acknowledged: %s", last)
}

// readBack reads the configuration at all machines of the core in turn until it has a version, and returns the one last read.
func (dep *deployment) readBack(want int, limit time.Duration) int {
	cli := &http.Client{Timeout: time.Second}
	last := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, cor := range dep.cores {
			res, err := cli.Get("http://" + dep.address(cor, dep.prt.control) + "/siskinrill/config")
			if err != nil {
				continue
			}
			var doc struct {
				Version int `json:"version"`
			}
			err = json.NewDecoder(res.Body).Decode(&doc)
			_ = res.Body.Close()
			if err != nil || res.StatusCode != http.StatusOK {
				continue
			}
			if last = doc.Version; last == want {
				return last
			}
		}
	}
	return last
}

// awaitReady waits until all machines beside servers are ready for clients.
func (dep *deployment) awaitReady(limit time.Duration) error {
	cli := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, mac := range dep.sides {
		for {
			res, err := cli.Get("http://" + dep.address(mac, dep.prt.ready) + "/siskinrill/ready")
			if err == nil {
				_ = res.Body.Close()
			}
			if err == nil && res.StatusCode == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", mac.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// clients send requests on the judged keys, evenly over time and machines, until the context ends.
func (dep *deployment) clients(ctx context.Context, rec *record, perSecond int) {
	var group sync.WaitGroup
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}
	tck := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tck.Stop()
	for num := 0; ; num++ {
		select {
		case <-ctx.Done():
			group.Wait()
			return
		case <-tck.C:
		}
		mac, key := dep.sides[num%len(dep.sides)], rand.IntN(keyCount/256)*256+7
		path := prefix + "2f"
		if mac.service == keyless {
			path = keylessRoute + "2f"
		}
		group.Go(func() { dep.request(cli, rec, mac, path, key, 1200*time.Millisecond) })
	}
}

func (dep *deployment) request(cli *http.Client, rec *record, mac *machine, path string, key int, deadline time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	sent := rec.request(id, mac.name)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dep.address(mac, dep.prt.outbound)+path, nil)
	if err != nil {
		rec.answered(sent, err.Error())
		return
	}
	req.Host = host
	req.Header.Set("X-Siskinrill-Attempt-Id", id)
	req.Header.Set("X-Siskinrill-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if mac.service == service {
		req.Header.Set("X-Siskinrill-Shard-Key", fmt.Sprint(key))
	}
	res, err := cli.Do(req)
	if err != nil {
		rec.answered(sent, "no answer")
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		rec.answered(sent, "cut")
	case res.StatusCode == http.StatusOK && !strings.HasSuffix(string(body), " to "+id+"\n"):
		rec.answered(sent, "200, foreign")
	default:
		rec.answered(sent, fmt.Sprint(res.StatusCode))
	}
}
