package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keyCount = 65536
	// shortWork and longWork are the run times of requests. The latter is the longest work of trend-read on lgf-mesh-grown.
	shortWork = 65 * time.Millisecond
	longWork  = 4200 * time.Millisecond
)

// keyRange is a range of keys under one fencing token.
type keyRange struct {
	from, to int
	fence    uint64
}

// upstream is one incarnation of a backend server as PROTOCOL.md describes it: it runs a request only while it holds its key,
// holds keys for the time that an answer to a heartbeat states, counted from when the heartbeat was sent, and releases what an
// answer leaves out once its work on it has ended.
type upstream struct {
	rec            *record
	id, service    string
	zone           string
	adr, control   string
	born           int64
	srv            *http.Server
	stop           chan struct{}
	beatNow        chan struct{}
	mu             sync.Mutex
	sequence       int
	fence          [keyCount]uint64 // 0: not held
	seen           [keyCount]uint64 // highest fencing token that was taken
	working        map[int]int      // runs by key
	leaving        map[int]bool     // keys to be released once the work on them has ended
	released       []any            // since the last acknowledged heartbeat
	until          time.Time
	running        int
	waiting        int
	slots          chan struct{}
	lastBeat       []byte // body of the last heartbeat
	down           bool
	quiet          bool // sends no more heartbeats
	acknowledgedAt time.Time
}

func startUpstream(rec *record, id, service, zone, adr, control string) (*upstream, error) {
	ups := &upstream{
		rec: rec, id: id, service: service, zone: zone, adr: adr, control: control, born: time.Now().UnixMilli(),
		stop: make(chan struct{}), beatNow: make(chan struct{}, 1), working: map[int]int{}, leaving: map[int]bool{}, slots: make(chan struct{}, 13),
	}
	lis, err := net.Listen("tcp", adr)
	if err != nil {
		return nil, err
	}
	ups.srv = &http.Server{Handler: http.HandlerFunc(ups.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = ups.srv.Serve(lis) }()
	rec.add("server %s of %s starts at %s, born %d", id, service, adr, ups.born)
	go ups.beats()
	return ups, nil
}

// crash ends the server: its port refuses connections and it says nothing more.
func (ups *upstream) crash() {
	ups.mu.Lock()
	ups.down = true
	ups.dropAll(time.Now())
	ups.mu.Unlock()
	close(ups.stop)
	_ = ups.srv.Close()
	ups.rec.add("server %s crashes", ups.id)
}

// dropAll ends all holds; the lock is held.
func (ups *upstream) dropAll(at time.Time) {
	for key := range ups.fence {
		ups.drop(key, at)
	}
}

func (ups *upstream) drop(key int, at time.Time) {
	if ups.fence[key] != 0 {
		ups.fence[key] = 0
		ups.rec.endHold(key, ups.id, at)
	}
	delete(ups.leaving, key)
}

// expire ends the holds whose time is over; the lock is held.
func (ups *upstream) expire() {
	if now := time.Now(); !now.Before(ups.until) {
		ups.dropAll(ups.until)
	}
}

func (ups *upstream) serve(wri http.ResponseWriter, req *http.Request) {
	wri.Header().Set("X-Siskinrill-Instance-Load", fmt.Sprintf("%d,%d,%d", ups.count(&ups.running, 0), ups.count(&ups.waiting, 0), cap(ups.slots)))
	if req.URL.Path == "/health" {
		wri.Header().Set("X-Siskinrill-Instance-Id", ups.id)
		return
	}
	id := req.Header.Get("X-Siskinrill-Attempt-Id")
	wri.Header().Set("X-Siskinrill-Attempt-Id", id)
	refuse := func(sts int) {
		wri.Header().Set("X-Siskinrill-Not-Executed", "1")
		wri.WriteHeader(sts)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Siskinrill-Expect-Instance"); want != "" && want != ups.id {
		wri.Header().Set("X-Siskinrill-Instance-Id", ups.id)
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if ups.count(&ups.waiting, 1) > 52 {
		ups.count(&ups.waiting, -1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	ups.slots <- struct{}{}
	defer func() { <-ups.slots }()
	ups.count(&ups.waiting, -1)
	key := noKey
	if ups.service == service {
		var err error
		if key, err = strconv.Atoi(req.Header.Get("X-Siskinrill-Shard-Key")); err != nil || key < 0 || key >= keyCount {
			refuse(http.StatusMisdirectedRequest)
			return
		}
	}
	if !ups.begin(key, id) {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	work := shortWork
	if req.URL.Path == longPath {
		work = longWork
	}
	ups.count(&ups.running, 1)
	whole := true
	select {
	case <-time.After(work):
	case <-req.Context().Done(): // its connection was closed
		whole = false
	}
	ups.count(&ups.running, -1)
	ups.end(key, id, whole)
	if !whole {
		return
	}
	body := "answer of " + ups.id + " to " + id + "\n"
	wri.Header().Set("X-Siskinrill-Server-Stamp", ups.id+"."+id)
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(wri, body)
}

func (ups *upstream) count(num *int, add int) int {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	*num += add
	return *num
}

// noKey is the key of requests to a service that is not divided by key.
const noKey = -1

// begin begins a run if the key is held.
func (ups *upstream) begin(key int, id string) bool {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.expire()
	if ups.down || key != noKey && (ups.fence[key] == 0 || ups.leaving[key]) {
		return false
	}
	ups.working[key]++
	ups.rec.beginRun(key, ups.id, id)
	return true
}

func (ups *upstream) end(key int, id string, whole bool) {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	if ups.working[key]--; ups.working[key] == 0 {
		delete(ups.working, key)
		if ups.leaving[key] {
			ups.release(key)
		}
	}
	ups.rec.endRun(ups.id, id, whole)
}

// release gives a key back; the lock is held.
func (ups *upstream) release(key int) {
	ups.released = append(ups.released, []any{key, key, fmt.Sprintf("%016x", uint64(key)*2654435761+uint64(ups.born))})
	ups.drop(key, time.Now())
	ups.beatSoon()
}

func (ups *upstream) beatSoon() {
	select {
	case ups.beatNow <- struct{}{}:
	default:
	}
}

func (ups *upstream) beats() {
	tmr := time.NewTimer(0)
	for {
		select {
		case <-ups.stop:
			return
		case <-tmr.C:
		case <-ups.beatNow:
			time.Sleep(50 * time.Millisecond)
		}
		if !ups.isQuiet() {
			ups.beat()
		}
		tmr.Reset(1500 * time.Millisecond)
	}
}

// body returns the next heartbeat, with the lists of held and released keys.
func (ups *upstream) body() ([]byte, int) {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.expire()
	ups.sequence++
	holds := [][3]uint64{}
	for key, fen := range ups.fence {
		if num := len(holds); fen != 0 && num > 0 && holds[num-1][1]+1 == uint64(key) && holds[num-1][2] == fen {
			holds[num-1][1] = uint64(key)
		} else if fen != 0 {
			holds = append(holds, [3]uint64{uint64(key), uint64(key), fen})
		}
	}
	msg := map[string]any{
		"service": ups.service, "address": ups.adr, "zone": ups.zone, "version": "v1", "slots": cap(ups.slots), "state": "ready",
		"warmup-left-ms": 0, "sequence": ups.sequence, "born": ups.born,
	}
	if ups.service == service {
		msg["holds"], msg["released"] = holds, mergeReleased(ups.released)
	}
	raw, _ := json.Marshal(msg)
	ups.lastBeat = raw
	return raw, len(ups.released)
}

// mergeReleased joins neighbouring keys; the handover of a range is that of its first key.
func mergeReleased(rows []any) []any {
	out := []any{}
	for _, row := range rows {
		cur := row.([]any)
		if num := len(out); num > 0 && out[num-1].([]any)[1].(int)+1 == cur[0].(int) {
			old := out[num-1].([]any)
			out[num-1] = []any{old[0], cur[1], old[2]}
			continue
		}
		out = append(out, cur)
	}
	return out
}

func (ups *upstream) beat() {
	raw, reported := ups.body()
	sent := time.Now()
	sts, ans, err := put(ups.control, ups.id, raw)
	if err != nil || sts != http.StatusOK || len(ans) > 4096 {
		ups.rec.add("heartbeat of %s: status %d, %d bytes, %v", ups.id, sts, len(ans), err)
		return
	}
	ups.take(ans, sent, reported)
}

// put sends a heartbeat; an answer counts within a second.
func put(control, id string, raw []byte) (int, []byte, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/siskinrill/instances/"+id, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	res, err := cli.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	ans, err := io.ReadAll(res.Body)
	return res.StatusCode, ans, err
}

func (ups *upstream) isQuiet() bool {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	return ups.quiet
}

// deregister sends the DELETE of a server that leaves, and returns when it was acknowledged. It sends no more heartbeats, and
// goes on serving.
func (ups *upstream) deregister() (time.Time, error) {
	ups.mu.Lock()
	ups.quiet = true
	ups.mu.Unlock()
	req, err := http.NewRequest(http.MethodDelete, "http://"+ups.control+"/siskinrill/instances/"+ups.id, nil)
	if err != nil {
		return time.Time{}, err
	}
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return time.Time{}, err
	}
	_ = res.Body.Close()
	ups.rec.add("server %s leaves with DELETE: %s", ups.id, res.Status)
	if res.StatusCode/100 != 2 {
		return time.Time{}, fmt.Errorf("DELETE: %s", res.Status)
	}
	return time.Now(), nil
}

// take takes over the keys of an answer; one without a list renews nothing.
func (ups *upstream) take(ans []byte, sent time.Time, reported int) {
	var msg struct {
		Holds *[]([]any) `json:"holds"`
		Hold  int64      `json:"hold-ms"`
	}
	dec := json.NewDecoder(bytes.NewReader(ans))
	dec.UseNumber()
	if err := dec.Decode(&msg); err != nil {
		ups.rec.add("heartbeat of %s: answer %q", ups.id, ans)
		return
	}
	ups.mu.Lock()
	defer ups.mu.Unlock()
	if ups.down {
		return
	}
	ups.released = ups.released[min(reported, len(ups.released)):]
	ups.acknowledgedAt = time.Now()
	ups.expire()
	if msg.Holds == nil {
		if ups.service == service {
			ups.rec.add("heartbeat of %s: the answer renews nothing", ups.id)
		}
		return
	}
	var granted [keyCount]uint64
	for _, row := range *msg.Holds {
		from, _ := row[0].(json.Number).Int64()
		last, _ := row[1].(json.Number).Int64()
		fen, _ := strconv.ParseUint(row[2].(json.Number).String(), 10, 64)
		accepted := true
		for key := from; key <= last; key++ {
			accepted = accepted && fen >= ups.seen[key]
		}
		for key := from; accepted && key <= last; key++ {
			granted[key] = fen
		}
	}
	now := time.Now()
	gained, lost := 0, 0
	for key, fen := range granted {
		switch {
		case fen != 0:
			if ups.fence[key] == 0 {
				gained++
				ups.rec.beginHold(key, ups.id, fen, now)
			}
			ups.fence[key], ups.seen[key] = fen, fen
			delete(ups.leaving, key)
		case ups.fence[key] == 0:
		case ups.working[key] > 0:
			ups.leaving[key] = true
		default:
			lost++
			ups.release(key)
		}
	}
	ups.until = sent.Add(time.Duration(msg.Hold) * time.Millisecond)
	if gained+lost > 0 {
		ups.rec.add("heartbeat of %s: %d keys gained, %d released, held for %d ms", ups.id, gained, lost, msg.Hold)
	}
}

// awaitBeat waits for the next heartbeat that is acknowledged.
func (ups *upstream) awaitBeat() {
	begin := time.Now()
	for end := begin.Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		ups.mu.Lock()
		acknowledged := ups.acknowledgedAt.After(begin)
		ups.mu.Unlock()
		if acknowledged {
			return
		}
	}
}

// held returns the number of keys that are held now.
func (ups *upstream) held() int {
	ups.mu.Lock()
	defer ups.mu.Unlock()
	ups.expire()
	num := 0
	for _, fen := range ups.fence {
		if fen != 0 {
			num++
		}
	}
	return num
}
