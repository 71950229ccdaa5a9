package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keyCount                              = 1 << 16
	orderWork                             = 250 * time.Millisecond // the mean of approval-file in akf-referat-grown
	slowness                              = 5                      // x of srv_slow in the troubles of that site file
	slowFrom                              = 12 * time.Second       // after the start of the slow upstream, 3 s after the first request
	slowTime                              = 9 * time.Second        // the longest for_s of srv_slow in that site file
	requestCount, firstAdded, secondAdded = 700, 200, 340
	rushAgain                             = 80 * time.Millisecond // the next heartbeat after one that left keys out
	handoverOf                            = "5c0e7a21d94b36f8"
)

// shards are the keys of a backend server that holds them by the answers to its heartbeats. It releases single keys: of a range that
// an answer leaves out, it releases all but the keys on which it is at work, and these when their work has ended.
type shards struct {
	mu       sync.Mutex
	fence    [keyCount]uint64 // of the keys that are held or still worked on, 0 for others
	seen     [keyCount]uint64 // highest fencing token
	until    [keyCount]int64  // end of the hold in Unix microseconds
	leftOut  [keyCount]bool   // no longer to be held, but still worked on
	working  map[int]int      // runs by key
	released [][3]any         // not acknowledged yet
	rush     chan struct{}
}

func newShards() *shards { return &shards{working: map[int]int{}, rush: make(chan struct{}, 1)} }

// event writes an event that the player judges.
func event(format string, args ...any) {
	fmt.Printf("E %d %s\n", time.Now().UnixMicro(), fmt.Sprintf(format, args...))
}

// report returns what a heartbeat says.
func (shs *shards) report() (holds, released [][3]any) {
	shs.mu.Lock()
	defer shs.mu.Unlock()
	now := time.Now().UnixMicro()
	holds = [][3]any{}
	for key := 0; key < keyCount; {
		if shs.fence[key] != 0 && shs.until[key] <= now && shs.working[key] == 0 {
			shs.fence[key], shs.leftOut[key] = 0, false // an expired lease is not reported
		}
		fence := shs.fence[key]
		from := key
		key++
		for key < keyCount && shs.fence[key] == fence && (fence == 0 || shs.until[key] > now || shs.working[key] > 0) {
			key++
		}
		if fence != 0 {
			holds = append(holds, [3]any{from, key - 1, fence})
		}
	}
	return holds, append([][3]any{}, shs.released...)
}

// answer is the answer to a heartbeat.
type answer struct {
	Holds  *[][4]json.RawMessage `json:"holds"`
	HoldMs int64                 `json:"hold-ms"`
}

// apply applies an answer to a heartbeat that was sent at a time, and of whose releases count are acknowledged.
func (shs *shards) apply(raw []byte, sent time.Time, count int) {
	ans := answer{}
	if json.Unmarshal(raw, &ans) != nil {
		return
	}
	shs.mu.Lock()
	defer shs.mu.Unlock()
	shs.released = shs.released[count:]
	if ans.Holds == nil {
		return
	}
	until := sent.UnixMicro() + ans.HoldMs*1000
	var granted [keyCount]bool
	for _, row := range *ans.Holds {
		from, _ := strconv.Atoi(string(row[0]))
		to, _ := strconv.Atoi(string(row[1]))
		fence, _ := strconv.ParseUint(string(row[2]), 10, 64)
		fresh := false
		for key := from; key <= to; key++ {
			if fence < shs.seen[key] {
				continue
			}
			fresh = fresh || shs.fence[key] == 0
			shs.fence[key], shs.seen[key], shs.until[key], shs.leftOut[key], granted[key] = fence, fence, until, false, true
		}
		event("grant %d %d %d %d %t", from, to, fence, until, fresh)
	}
	shs.releaseOthers(granted)
}

// releaseOthers releases the keys that an answer leaves out, but for those that are worked on.
func (shs *shards) releaseOthers(granted [keyCount]bool) {
	for key := 0; key < keyCount; key++ {
		if granted[key] || shs.fence[key] == 0 || shs.leftOut[key] {
			continue
		}
		if shs.working[key] > 0 {
			shs.leftOut[key] = true
			event("keeps %d %d", key, shs.until[key])
			continue
		}
		from, fence := key, shs.fence[key]
		for ; key < keyCount && !granted[key] && shs.fence[key] == fence && shs.working[key] == 0 && !shs.leftOut[key]; key++ {
			shs.fence[key] = 0
		}
		key--
		shs.released = append(shs.released, [3]any{from, key, handoverOf})
	}
	if len(shs.released) > 0 {
		shs.wake()
	}
}

func (shs *shards) wake() {
	select {
	case shs.rush <- struct{}{}:
	default:
	}
}

// begin begins a run on a key and reports whether the key is held.
func (shs *shards) begin(key int) bool {
	shs.mu.Lock()
	defer shs.mu.Unlock()
	if shs.fence[key] == 0 || shs.leftOut[key] || shs.until[key] <= time.Now().UnixMicro() {
		return false
	}
	shs.working[key]++
	event("begin %d", key)
	return true
}

// end ends a run on a key and reports whether the hold lasted until then.
func (shs *shards) end(key int) bool {
	shs.mu.Lock()
	defer shs.mu.Unlock()
	event("end %d", key)
	if shs.working[key]--; shs.working[key] > 0 {
		return true
	}
	delete(shs.working, key)
	inTime := shs.until[key] > time.Now().UnixMicro()
	if shs.leftOut[key] {
		shs.leftOut[key], shs.fence[key] = false, 0
		if inTime {
			shs.released = append(shs.released, [3]any{key, key, handoverOf})
			shs.wake()
		}
	}
	return inTime
}

// playSingleKeys adds two empty backend servers to three that hold all keys, one of which is slow, and judges whether a key is given to
// one while another is at work on it.
func playSingleKeys(dep *deployment, trouble bool) (bool, error) {
	const svc = "moedeportal"
	if err := dep.start(svc, svc, svc, svc, svc); err != nil {
		return false, err
	}
	sts, err := dep.order(http.MethodPut, map[string]any{
		"version": 1, "base-version": 0, "limits": limits,
		"routes": table{Columns: routeColumns, Rows: [][]any{
			{"r-approval", "shop.example", "/order/", "non_idempotent", 3000, 800, 1, svc, 2, nil},
		}},
		"services": table{Columns: serviceColumns, Rows: [][]any{{svc, "/health", 120, "h1", false, true, 5.0, "heartbeat"}}},
	})
	if err != nil || sts != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", sts, err)
	}
	for num, hst := range dep.sidecars[:3] {
		flags := []string{"-sharded"}
		if num == 0 && trouble {
			flags = append(flags, "-slow-from", slowFrom.String())
			dep.rec.printf("i-1 turns slow in %s for %s, its work takes %d times as long then (srv_slow)", slowFrom, slowTime, slowness)
		}
		if _, err := dep.startUpstream(hst, fmt.Sprintf("i-%d", num+1), flags...); err != nil {
			return false, err
		}
	}
	if err := dep.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var clients sync.WaitGroup
	begin, served := time.Now(), make(chan bool, 4096)
	for num := range requestCount {
		time.Sleep(time.Until(begin.Add(time.Duration(num) * 25 * time.Millisecond)))
		hst := dep.sidecars[num%3]
		clients.Go(func() { served <- dep.keyedRequest(hst, fmt.Sprintf("%016x", num+1), rand.IntN(keyCount)) })
		if trouble && (num == firstAdded || num == secondAdded) {
			pos := 3 + num/secondAdded
			dep.rec.printf("an empty upstream is added (scale_out)")
			if _, err := dep.startUpstream(dep.sidecars[pos], fmt.Sprintf("i-%d", pos+1), "-sharded"); err != nil {
				return false, err
			}
		}
	}
	clients.Wait()
	close(served)
	count := 0
	for good := range served {
		if good {
			count++
		}
	}
	dep.rec.printf("%d of %d requests were answered with 200", count, requestCount)
	return dep.judgeKeys() > 0, nil
}

// keyedRequest sends a request with a key and reports whether it was served.
func (dep *deployment) keyedRequest(hst *host, attempt string, key int) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+dep.address(hst, portOutbound)+"/order/"+attempt, nil)
	if err != nil {
		return false
	}
	req.Host = "shop.example"
	req.Header.Set("X-Siskinrill-Attempt-Id", attempt)
	req.Header.Set("X-Siskinrill-Deadline-Ms", "3000")
	req.Header.Set("X-Siskinrill-Shard-Key", strconv.Itoa(key))
	cli := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := cli.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// work is a run on a key; end is 0 while it goes on.
type work struct{ begin, end int64 }

// judgeKeys counts the keys that a backend server was given while another was at work on them and held them.
func (dep *deployment) judgeKeys() int {
	dep.mu.Lock()
	events := append([]judged{}, dep.events...)
	dep.mu.Unlock()
	runs, until := map[string]map[int][]work{}, map[string][]grant{}
	for _, evt := range events {
		switch evt.kind {
		case "begin":
			if runs[evt.id] == nil {
				runs[evt.id] = map[int][]work{}
			}
			runs[evt.id][evt.num[0]] = append(runs[evt.id][evt.num[0]], work{begin: evt.at})
		case "end":
			all := runs[evt.id][evt.num[0]]
			for pos := range all {
				if all[pos].end == 0 {
					all[pos].end = evt.at
					break
				}
			}
		case "grant":
			until[evt.id] = append(until[evt.id], grant{at: evt.at, from: evt.num[0], to: evt.num[1], until: int64(evt.num[3])})
		}
	}
	kept := 0
	for _, evt := range events {
		if evt.kind == "keeps" {
			kept++
		}
	}
	dep.rec.printf("%d keys were left out of an answer while their holder was at work on them", kept)
	found := 0
	for _, evt := range events {
		if evt.kind != "grant" || !evt.fresh {
			continue
		}
		for id, byKey := range runs {
			for key, all := range byKey {
				if id == evt.id || key < evt.num[0] || key > evt.num[1] {
					continue
				}
				for _, wrk := range all {
					end := holdEnd(until[id], key, evt.at)
					if wrk.begin < evt.at && (wrk.end == 0 || evt.at < wrk.end) && evt.at < end {
						found++
						dep.rec.printf("key %d is given to %s while %s is at work on it, for %d ms more; its hold ends %d ms later",
							key, evt.id, id, (wrk.end-evt.at)/1000, (end-evt.at)/1000)
					}
				}
			}
		}
	}
	dep.rec.printf("%d keys were given to an upstream while another was at work on them", found)
	return found
}

// grant is what one answer granted.
type grant struct {
	at       int64
	from, to int
	until    int64
}

// holdEnd returns the end of the latest hold of a key that was granted before a time.
func holdEnd(all []grant, key int, before int64) int64 {
	end := int64(0)
	for _, grt := range all {
		if grt.at <= before && key >= grt.from && key <= grt.to {
			end = max(end, grt.until)
		}
	}
	return end
}

// judged is an event of an upstream.
type judged struct {
	id, kind string
	at       int64
	num      [4]int
	fresh    bool
	attempt  string
}

// recordEvent keeps an event that an upstream has written, and reports whether the line is one.
func (dep *deployment) recordEvent(id, line string) bool {
	evt := judged{id: id}
	var fence uint64
	if num, _ := fmt.Sscanf(line, "E %d %s", &evt.at, &evt.kind); num != 2 {
		return false
	}
	switch evt.kind {
	case "grant":
		_, _ = fmt.Sscanf(line, "E %d grant %d %d %d %d %t", &evt.at, &evt.num[0], &evt.num[1], &fence, &evt.num[3], &evt.fresh)
	case "run":
		_, _ = fmt.Sscanf(line, "E %d run %s", &evt.at, &evt.attempt)
	default:
		_, _ = fmt.Sscanf(line, "E %d %s %d", &evt.at, &evt.kind, &evt.num[0])
	}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.events = append(dep.events, evt)
	return true
}
