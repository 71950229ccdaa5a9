package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// sampled reports whether a key is judged and gets requests: one of 256 neighbours.
func sampled(key int) bool { return key%256 == 7 }

// hold is the time in which a server held a key.
type hold struct {
	key        int
	server     string
	fence      uint64
	begin, end time.Time // end is zero while it lasts
}

// runOf is one run of a request.
type runOf struct {
	key        int
	server, id string
	begin, end time.Time
	cut        bool // the server's connection was closed while it was at work
}

// sentRequest is a client attempt.
type sentRequest struct {
	id, to string
	sent   time.Time
	status string
}

// record holds what the stand-ins have seen.
type record struct {
	begin time.Time
	mu    sync.Mutex
	lines []string
	holds []*hold
	open  map[string]*hold
	runs  []*runOf
	byID  map[string]*runOf
	sent  []*sentRequest
}

func newRecord() *record {
	return &record{begin: time.Now(), open: map[string]*hold{}, byID: map[string]*runOf{}}
}

func (rec *record) at(tim time.Time) string {
	return fmt.Sprintf("%8.3f", tim.Sub(rec.begin).Seconds())
}

func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.lines = append(rec.lines, rec.at(time.Now())+"  "+fmt.Sprintf(format, args...))
}

func (rec *record) beginHold(key int, server string, fence uint64, at time.Time) {
	if !sampled(key) {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	hld := &hold{key: key, server: server, fence: fence, begin: at}
	rec.holds = append(rec.holds, hld)
	rec.open[fmt.Sprint(key, " ", server)] = hld
}

func (rec *record) endHold(key int, server string, at time.Time) {
	if !sampled(key) {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	name := fmt.Sprint(key, " ", server)
	if hld := rec.open[name]; hld != nil {
		hld.end = at
		delete(rec.open, name)
	}
}

func (rec *record) beginRun(key int, server, id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	run := &runOf{key: key, server: server, id: id, begin: time.Now()}
	rec.runs = append(rec.runs, run)
	rec.byID[server+" "+id] = run
}

func (rec *record) endRun(server, id string, whole bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if run := rec.byID[server+" "+id]; run != nil {
		run.end, run.cut = time.Now(), !whole
	}
}

func (rec *record) request(id, to string) *sentRequest {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req := &sentRequest{id: id, to: to, sent: time.Now()}
	rec.sent = append(rec.sent, req)
	return req
}

func (rec *record) answered(req *sentRequest, status string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	req.status = status
}

// overlap is a time in which two servers that are up held the same key.
type overlap struct {
	key        int
	one, two   *hold
	begin, end time.Time
	runs       map[string]int // requests that each began on the key in that time
}

// overlaps returns the times of over half a second in which two servers held the same key, longest first.
func (rec *record) overlaps() []overlap {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	byKey := map[int][]*hold{}
	for _, hld := range rec.holds {
		if hld.end.IsZero() {
			hld.end = time.Now()
		}
		byKey[hld.key] = append(byKey[hld.key], hld)
	}
	var out []overlap
	for key, all := range byKey {
		for pos, one := range all {
			for _, two := range all[pos+1:] {
				ovl := overlap{key: key, one: one, two: two, begin: later(one.begin, two.begin), end: earlier(one.end, two.end), runs: map[string]int{}}
				if one.server == two.server || ovl.end.Sub(ovl.begin) <= 500*time.Millisecond {
					continue
				}
				for _, run := range rec.runs {
					if run.key == key && !run.begin.Before(ovl.begin) && run.begin.Before(ovl.end) {
						ovl.runs[run.server]++
					}
				}
				out = append(out, ovl)
			}
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].end.Sub(out[one].begin) > out[two].end.Sub(out[two].begin) })
	return out
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

func earlier(one, two time.Time) time.Time {
	if one.Before(two) {
		return one
	}
	return two
}

// runsAfter counts the requests that were sent after a time and run by a server.
func (rec *record) runsAfter(server string, after time.Time) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	num := 0
	for _, req := range rec.sent {
		if req.sent.After(after) && rec.byID[server+" "+req.id] != nil {
			num++
		}
	}
	return num
}

// brokenOff returns the requests sent to a machine that were cut at the server while it was at work, and that got no answer of a
// server.
func (rec *record) brokenOff(to, server string) []*sentRequest {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out []*sentRequest
	for _, req := range rec.sent {
		if run := rec.byID[server+" "+req.id]; req.to == to && run != nil && run.cut && req.status != "200" {
			out = append(out, req)
		}
	}
	return out
}

// statuses counts how the client attempts ended.
func (rec *record) statuses() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	nums := map[string]int{}
	for _, req := range rec.sent {
		nums[req.status]++
	}
	var out []string
	for sts, num := range nums {
		out = append(out, fmt.Sprintf("%s: %d", sts, num))
	}
	sort.Strings(out)
	return strings.Join(out, "; ")
}

// write writes what was sent, answered and run.
func (rec *record) write(path string) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out strings.Builder
	for _, lin := range rec.lines {
		fmt.Fprintln(&out, lin)
	}
	fmt.Fprintln(&out, "\nsent and answered (time, id, machine, status)")
	for _, req := range rec.sent {
		fmt.Fprintln(&out, rec.at(req.sent), req.id, req.to, req.status)
	}
	fmt.Fprintln(&out, "\nrun (time of begin and end, id, server, key)")
	for _, run := range rec.runs {
		fmt.Fprintln(&out, rec.at(run.begin), rec.at(run.end), run.id, run.server, run.key, map[bool]string{true: "cut"}[run.cut])
	}
	return os.WriteFile(path, []byte(out.String()), 0o644)
}
