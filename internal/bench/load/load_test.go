package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
)

// fakeRouter simulates an entry agent and its stand-in with a ledger; fault applies to the third non-idempotent request.
type fakeRouter struct {
	mut           sync.Mutex
	rows          []row
	fault         string
	nonIdempotent int
}

func (fak *fakeRouter) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	fak.mut.Lock()
	defer fak.mut.Unlock()
	if req.URL.Path == "/standin/ledger" {
		var aft int
		_, _ = fmt.Sscan(req.URL.Query().Get("after"), &aft)
		_ = json.NewEncoder(wri).Encode(fak.rows[min(aft, len(fak.rows)):])
		return
	}
	bdy, _ := io.ReadAll(req.Body)
	fault := ""
	if req.Method != http.MethodGet {
		if fak.nonIdempotent++; fak.nonIdempotent == 3 {
			fault = fak.fault
		}
	}
	fak.answer(wri, req, bdy, fault)
}

func (fak *fakeRouter) run(req *http.Request, bdy []byte, tok uint64) {
	sum := sha256.Sum256(bdy)
	fak.rows = append(fak.rows, row{
		Sequence: uint64(len(fak.rows) + 1), RequestID: req.Header.Get("X-Request-Id"),
		FencePartition: "any/1", FenceToken: tok, Started: int64(len(fak.rows)), Ended: 1, BodyHash: hex.EncodeToString(sum[:]),
	})
}

func (fak *fakeRouter) answer(wri http.ResponseWriter, req *http.Request, bdy []byte, fault string) {
	requestID, tok := req.Header.Get("X-Request-Id"), uint64(7)
	key := strings.Split(req.URL.Path, "/")[2]
	switch fault {
	case "lost":
	case "doubled":
		fak.run(req, bdy, tok)
		fak.run(req, bdy, tok)
	case "old token":
		fak.run(req, bdy, 6)
	case "other body":
		fak.run(req, []byte("other"), tok)
	default:
		fak.run(req, bdy, tok)
	}
	if fault == "false not_run" {
		wri.Header().Set(siskinrill.HeaderOutcome, "not_run")
		wri.WriteHeader(http.StatusServiceUnavailable)
		_, _ = wri.Write([]byte(`{"reason":"queue_full"}`))
		return
	}
	if fault == "crossed" {
		requestID = "somebody-else"
	}
	wri.Header().Set(siskinrill.HeaderOutcome, "complete")
	siz := DefaultAnswerBytes
	if fault == "short" {
		siz--
	}
	out, _ := json.Marshal(answerFields{Upstream: "up-1", Key: key, RequestID: requestID, Padding: strings.Repeat("x", siz)})
	if fault == "cut" {
		out = out[:len(out)/2]
	}
	_, _ = wri.Write(out)
}

// Guards against a check that cannot fail: each broken promise must be reported with its request.
func TestRunReportsBrokenPromises(t *testing.T) {
	cases := map[string]struct {
		only, fault, promise string
	}{
		"no fault":                  {"", "", ""},
		"payment without a run":     {kindNonIdempotent, "lost", promiseCompleteWasRun},
		"payment run twice":         {kindNonIdempotent, "doubled", promiseRunsAtMostOnce},
		"payment false not_run":     {kindNonIdempotent, "false not_run", promiseNotRunIsTrue},
		"answer of another request": {kindNonIdempotent, "crossed", promiseWholeOwnAnswer},
		"truncated answer":          {kindNonIdempotent, "cut", promiseWholeOwnAnswer},
		"short padding":             {kindNonIdempotent, "short", promiseWholeOwnAnswer},
		"old token":                 {kindNonIdempotent, "old token", promiseOneOwner},
		"upload without a run":      {kindUpload, "lost", promiseCompleteWasRun},
		"upload with another body":  {kindUpload, "other body", promiseUploadKept},
		"upload run twice":          {kindUpload, "doubled", promiseRunsAtMostOnce},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(&fakeRouter{fault: tc.fault})
			defer srv.Close()
			rep, err := Run(t.Context(), Options{
				Targets: []string{srv.URL}, Standins: []string{srv.URL}, Mix: "bassma", OnlyKind: tc.only,
				Rate: 400, Duration: 100 * time.Millisecond, UploadBytes: 2000, Seed: 3,
			})
			must.NoError(t, err)
			must.Greater(t, 5, rep.Requests)
			if tc.promise == "" {
				must.SliceEmpty(t, rep.Violations)
				return
			}
			must.False(t, rep.PromisesKept)
			must.Eq(t, tc.promise, rep.Violations[0].Promise)
			must.StrContains(t, rep.Violations[0].Request, "-")
			var tab bytes.Buffer
			must.NoError(t, rep.WriteTable(&tab))
			must.StrContains(t, tab.String(), rep.Violations[0].Request)
		})
	}
}

// Guards against outages that are missed because a request fails only after a long wait or is served too slowly.
func TestKeyOutages(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	newCall := func(beg, end int, out string) *call {
		return &call{
			plan:       &plan{class: &requestClass{service: "svc"}, key: "k"},
			intendedAt: start.Add(time.Duration(beg) * time.Millisecond), endedAt: start.Add(time.Duration(end) * time.Millisecond),
			outcome: out, status: 200,
		}
	}
	cases := map[string]struct {
		calls []*call
		want  int64
	}{
		"served":                   {[]*call{newCall(0, 5, "complete")}, 0},
		"fails until served":       {[]*call{newCall(0, 5, "complete"), newCall(10, 20, "not_run"), newCall(400, 900, "unknown"), newCall(1500, 1503, "complete")}, 1493},
		"slow answer":              {[]*call{newCall(0, 1400, "complete"), newCall(9000, 9002, "complete")}, 1400},
		"overlapping slow answers": {[]*call{newCall(0, 1400, "complete"), newCall(300, 1650, "complete")}, 1650},
		"never served again":       {[]*call{newCall(0, 10, "no_answer"), newCall(100, 2100, "not_run")}, 2100},
		"later outage longer":      {[]*call{newCall(0, 1, "not_run"), newCall(5, 6, "complete"), newCall(10, 11, "not_run"), newCall(60, 61, "complete")}, 51},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, unavailable(tc.calls).WorstMs)
		})
	}
}

// Guards against workloads that differ between two runs with the same seed, and against hot keys that do not change.
func TestGeneratorRepeatsAndShifts(t *testing.T) {
	opt := Options{Mix: "rangsudhar", Seed: 9, Rate: 1000, ShiftEvery: time.Second}
	opt.setDefaults()
	one, two := newGenerator(&opt, "r"), newGenerator(&opt, "r")
	tops := map[int]map[string]int{0: {}, 1: {}}
	for range 1900 {
		pln := one.next()
		must.Eq(t, *pln.class, *two.next().class)
		if pln.class.zipf && int(pln.due/time.Second) < 2 {
			tops[int(pln.due/time.Second)][pln.key]++
		}
	}
	must.Greater(t, 50, tops[0]["shadefinder-0"])
	must.Greater(t, 50, tops[1]["shadefinder-54"])
	must.Less(t, 20, tops[1]["shadefinder-0"])
}

// Guards against plots that cannot be drawn from an empty or short run.
func TestPlots(t *testing.T) {
	rep := &Report{Seconds: []Second{{Second: 0, P50: 1, P99: 4}, {Second: 1, P50: 2, P99: 9, Unserved: 3}}}
	dir := t.TempDir()
	must.NoError(t, rep.PlotLatency(filepath.Join(dir, "latency.svg")))
	must.NoError(t, rep.PlotUnavailable(filepath.Join(dir, "unavailable.png")))
}
