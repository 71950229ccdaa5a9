package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keyCount = 65536

// upstream is a stand-in for an application upstream, as PROTOCOL.md describes it.
type upstream struct {
	wld     *world
	mac     *machine
	id      string
	born    int64
	slots   int
	sharded bool
	work    time.Duration // time of a request
	size    int           // length of its answers, 0 for a short text
	spread  bool          // work differs from request to request
	late    time.Duration // by how much its heartbeats arrive late

	mu       sync.Mutex
	state    string
	sequence int
	held     [keyCount]holding
	highest  [keyCount]uint64 // highest fencing token seen
	working  map[int]int      // running requests by key
	released [][3]any
	pending  []span // left out of an answer, released once their work is done
	ran      []runRecord
	server   *http.Server
	stopped  chan struct{}
	wake     chan struct{}
}

// holding is the right to a key.
type holding struct {
	fence uint64
	until time.Time
}

type span struct{ first, last int }

// runRecord is one request that ran.
type runRecord struct {
	attempt, method, path, body string
	key                         int
	began, ended                time.Time
}

func newUpstream(mac *machine, id string, sharded bool) *upstream {
	return &upstream{
		wld: mac.wld, mac: mac, id: id, born: time.Now().UnixMilli(), slots: 13, sharded: sharded, work: 65 * time.Millisecond,
		state: "ready", working: map[int]int{}, stopped: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// run serves requests and sends heartbeats until the end.
func (ups *upstream) run(firstBeat time.Duration) error {
	lis, err := net.Listen("tcp", addr(ups.mac.ip, ups.wld.prt.app))
	if err != nil {
		return err
	}
	ups.server = &http.Server{Handler: ups}
	go func() { _ = ups.server.Serve(lis) }()
	ups.wld.onEnd(ups.stop)
	go ups.beats(firstBeat)
	ups.wld.logf("%s: upstream %s started at %s", ups.mac.name, ups.id, lis.Addr())
	return nil
}

func (ups *upstream) stop() {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	select {
	case <-ups.stopped:
	default:
		close(ups.stopped)
		_ = ups.server.Close()
	}
}

func (ups *upstream) beats(wait time.Duration) {
	for {
		select {
		case <-ups.stopped:
			return
		case <-time.After(wait):
		case <-ups.wake:
		}
		ups.beat()
		wait = time.Duration(float64(ups.wld.beatMs)*(0.9+0.2*rand.Float64())) * time.Millisecond
		if ups.releasing() {
			wait = 100 * time.Millisecond
		}
	}
}

// drain announces that the upstream is leaving, at once.
func (ups *upstream) drain() {
	ups.mu.Lock()
	ups.state = "draining"
	ups.mu.Unlock()
	ups.wld.logf("%s: upstream %s is draining", ups.mac.name, ups.id)
	select {
	case ups.wake <- struct{}{}:
	default:
	}
}

// releasing reports whether keys that an answer left out are not released and reported yet.
func (ups *upstream) releasing() bool {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	return len(ups.pending) > 0 || len(ups.released) > 0
}

type beatAnswer struct {
	Holds  *[][4]any `json:"holds"`
	HoldMs int64     `json:"hold-ms"`
}

func (ups *upstream) beat() {
	sent := time.Now()
	ups.mu.Lock()
	ups.finishPending(sent)
	ups.sequence++
	reported := ups.released
	msg := map[string]any{
		"service": ups.mac.service, "address": addr(ups.mac.ip, ups.wld.prt.app), "zone": ups.mac.zone, "version": "v1", "slots": ups.slots,
		"state": ups.state, "warmup-left-ms": 0, "sequence": ups.sequence, "born": ups.born,
	}
	if ups.sharded {
		msg["holds"], msg["released"] = ups.holds(sent), reported
	}
	ups.mu.Unlock()
	raw, _ := json.Marshal(msg)
	ups.mu.Lock()
	late := ups.late
	ups.mu.Unlock()
	if late > 0 {
		// It is on its way for so long, and its sender waits for 1 s.
		ups.wld.logf("%s: heartbeat %d of %s (%s) is under way for %d ms", ups.mac.name, ups.sequence, ups.id, ups.state, late.Milliseconds())
		url, seq := "http://"+addr(ups.mac.ip, ups.wld.prt.control)+"/siskinrill/instances/"+ups.id, ups.sequence
		time.AfterFunc(late, func() {
			req, _ := http.NewRequest("PUT", url, bytes.NewReader(raw))
			req.Header.Set("Content-Type", "application/json")
			if rsp, err := operatorClient.Do(req); err == nil {
				rsp.Body.Close()
				ups.wld.logf("%s: heartbeat %d of %s arrived late: %d", ups.mac.name, seq, ups.id, rsp.StatusCode)
			}
		})
		time.Sleep(time.Second)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "PUT", "http://"+addr(ups.mac.ip, ups.wld.prt.control)+"/siskinrill/instances/"+ups.id, bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	rsp, err := operatorClient.Do(req)
	if err != nil {
		ups.wld.logf("%s: heartbeat %d of %s: %v", ups.mac.name, ups.sequence, ups.id, err)
		return
	}
	defer rsp.Body.Close()
	dat, err := io.ReadAll(rsp.Body)
	if err != nil || rsp.StatusCode/100 != 2 || len(dat) > 4096 {
		ups.wld.logf("%s: heartbeat %d of %s: status %d %.100s", ups.mac.name, ups.sequence, ups.id, rsp.StatusCode, dat)
		return
	}
	ans := &beatAnswer{}
	if json.Unmarshal(dat, ans) != nil {
		return
	}
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.released = ups.released[len(reported):]
	if ans.Holds != nil {
		ups.take(ans, sent)
	}
	num := 0
	now := time.Now()
	for key := range ups.held {
		if ups.holdsNow(key, now) {
			num++
		}
	}
	if ups.sharded {
		ups.wld.logf("%s: heartbeat %d of %s (%s) with %d rows held and %d released, answered after %d ms: %.200s; it holds %d keys now", ups.mac.name,
			ups.sequence, ups.id, ups.state, len(msg["holds"].([][3]any)), len(reported), time.Since(sent).Milliseconds(), bytes.TrimSpace(dat), num)
	}
}

// holds returns the rows that are held or worked on; the lock is held.
func (ups *upstream) holds(now time.Time) [][3]any {
	out := [][3]any{}
	for key := 0; key < keyCount; key++ {
		if !ups.holdsNow(key, now) && ups.working[key] == 0 {
			continue
		}
		num := len(out) - 1
		if num >= 0 && out[num][1] == key-1 && out[num][2] == ups.held[key].fence {
			out[num][1] = key
			continue
		}
		out = append(out, [3]any{key, key, ups.held[key].fence})
	}
	return out
}

func (ups *upstream) holdsNow(key int, now time.Time) bool {
	return ups.held[key].fence != 0 && now.Before(ups.held[key].until)
}

// take applies an answer: everything that is to be held, counted from when the heartbeat was sent; the lock is held.
func (ups *upstream) take(ans *beatAnswer, sent time.Time) {
	until := sent.Add(time.Duration(ans.HoldMs) * time.Millisecond)
	var granted [keyCount]uint64
	for _, row := range *ans.Holds {
		first, last, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		ok := true
		for key := first; key <= last; key++ {
			ok = ok && fence >= ups.highest[key]
		}
		if !ok {
			continue
		}
		for key := first; key <= last; key++ {
			granted[key] = fence
		}
	}
	now := time.Now()
	for key := range granted {
		switch {
		case granted[key] != 0:
			ups.held[key] = holding{fence: granted[key], until: until}
			ups.highest[key] = granted[key]
		case ups.holdsNow(key, now):
			num := len(ups.pending) - 1
			if num >= 0 && ups.pending[num].last == key-1 {
				ups.pending[num].last = key
			} else {
				ups.pending = append(ups.pending, span{first: key, last: key})
			}
		}
	}
	ups.finishPending(now)
}

// finishPending releases the rows that were left out of an answer and on which no work runs; the lock is held.
func (ups *upstream) finishPending(now time.Time) {
	var rest []span
	for _, spn := range ups.pending {
		if ups.busy(spn) {
			rest = append(rest, spn)
			continue
		}
		if ups.holdsNow(spn.first, now) {
			ups.released = append(ups.released, [3]any{spn.first, spn.last, fmt.Sprintf("%016x", spn.first)})
		}
		for key := spn.first; key <= spn.last; key++ {
			ups.held[key] = holding{}
		}
	}
	ups.pending = rest
}

func (ups *upstream) busy(spn span) bool {
	for key := spn.first; key <= spn.last; key++ {
		if ups.working[key] > 0 {
			return true
		}
	}
	return false
}

// ServeHTTP runs a request, or rejects it as not executed.
func (ups *upstream) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	hdr := wri.Header()
	hdr.Set("X-Siskinrill-Instance-Id", ups.id)
	if req.URL.Path == "/health" {
		wri.WriteHeader(200)
		return
	}
	attempt := req.Header.Get("X-Siskinrill-Attempt-Id")
	hdr.Set("X-Siskinrill-Attempt-Id", attempt)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if exp := req.Header.Get("X-Siskinrill-Expect-Instance"); exp != "" && exp != ups.id {
		ups.reject(wri, 421)
		return
	}
	key := -1
	if ups.sharded {
		if key, err = strconv.Atoi(req.Header.Get("X-Siskinrill-Shard-Key")); err != nil || key < 0 || key >= keyCount {
			ups.reject(wri, 400)
			return
		}
	}
	began := time.Now()
	ups.mu.Lock()
	if ups.sharded && !ups.holdsNow(key, began) {
		ups.mu.Unlock()
		ups.reject(wri, 421)
		return
	}
	ups.working[key]++
	ups.mu.Unlock()
	ups.wld.logf("%s: %s begins %s %s, key %d, %d bytes", ups.mac.name, ups.id, attempt, req.Method, key, len(body))
	time.Sleep(ups.workTime())
	ups.mu.Lock()
	ups.working[key]--
	if ups.working[key] == 0 {
		delete(ups.working, key)
	}
	ups.ran = append(ups.ran, runRecord{attempt: attempt, method: req.Method, path: req.URL.RequestURI(), body: string(body), key: key, began: began, ended: time.Now()})
	load := len(ups.working)
	ups.mu.Unlock()
	hdr.Set("X-Siskinrill-Instance-Load", fmt.Sprintf("%d,0,%d", load, ups.slots))
	hdr.Set("X-Siskinrill-Server-Stamp", ups.id+"."+attempt)
	hdr.Set("Content-Type", "text/plain")
	if ups.size == 0 {
		fmt.Fprintf(wri, "%s ran %s", ups.id, attempt)
		return
	}
	hdr.Set("Content-Length", strconv.Itoa(ups.size))
	_, _ = wri.Write(bytes.Repeat([]byte{'z'}, ups.size))
}

// workTime returns the time of a request, as approval-file of akf-referat-grown.toml has it if it is spread.
func (ups *upstream) workTime() time.Duration {
	if !ups.spread {
		return ups.work
	}
	took := float64(ups.work) * math.Exp(0.8*rand.NormFloat64()-0.32)
	if rand.IntN(100) < 3 {
		took *= 7
	}
	return min(time.Duration(took), 2600*time.Millisecond)
}

// exit ends the upstream as a server does that is asked to: it accepts no more connections, finishes what it runs and is gone.
func (ups *upstream) exit() {
	ups.wld.logf("%s: upstream %s accepts no more connections and finishes its work", ups.mac.name, ups.id)
	_ = ups.server.Shutdown(context.Background())
	ups.stop()
	ups.mu.Lock()
	defer ups.mu.Unlock()
	clear(ups.held[:])
	ups.wld.logf("%s: upstream %s has ended", ups.mac.name, ups.id)
}

func (ups *upstream) reject(wri http.ResponseWriter, status int) {
	wri.Header().Set("X-Siskinrill-Not-Executed", "1")
	wri.WriteHeader(status)
}
