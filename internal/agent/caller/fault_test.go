package caller

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestFaults guards against a wrong outcome, a second run and a missing counter for each fault of an owner or connection.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		method  string
		faults  []fault
		status  int
		outcome string
		runs    int
		kind    string // of the counter that rises
		counter string
		least   time.Duration // that the caller waits
	}{
		"served":                            {method: "POST", status: 200, outcome: "complete", runs: 1},
		"refused connection is asked again": {method: "POST", faults: []fault{{undialled: true}}, status: 200, outcome: "complete", runs: 1, kind: "retries", counter: "unreachable"},
		"lost before the owner, withdrawn":  {method: "POST", faults: []fault{{undone: true}}, status: 200, outcome: "complete", runs: 1, kind: "retries", counter: "withdrawn"},
		"lost answer is recorded":           {method: "POST", faults: []fault{{lost: true}}, status: 200, outcome: "complete", runs: 1, kind: "events", counter: "withdraw"},
		"late attempt finds a tombstone":    {method: "POST", faults: []fault{{late: time.Second}}, status: 200, outcome: "complete", runs: 1, kind: "retries", counter: "withdrawn"},
		"lost answer of a frozen owner":     {method: "POST", faults: []fault{{lost: true, frozen: true}}, status: 502, outcome: "unknown", runs: 1, kind: "refusals", counter: "connection_lost", least: 5 * time.Second},
		"idempotent is retried":             {method: "GET", faults: []fault{{lost: true}}, status: 200, outcome: "complete", runs: 2, kind: "retries", counter: "connection_lost"},
		"idempotent gives up":               {method: "GET", faults: []fault{{lost: true}, {lost: true}, {lost: true}}, status: 502, outcome: "unknown", runs: 3, kind: "refusals", counter: "connection_lost"},
		"earlier run is not denied":         {method: "GET", faults: []fault{{lost: true}, {refuse: siskinrill.ReasonQueueFull}}, status: 503, outcome: "unknown", runs: 1, kind: "refusals", counter: "queue_full"},
		"shed":                              {method: "POST", faults: []fault{{refuse: siskinrill.ReasonQueueFull}}, status: 503, outcome: "not_run", kind: "refusals", counter: "queue_full"},
		"moving owner":                      {method: "POST", faults: []fault{{refuse: siskinrill.ReasonMoving, moved: true}}, status: 200, outcome: "complete", runs: 1, kind: "retries", counter: "moving", least: 50 * time.Millisecond},
		"wrong owner":                       {method: "POST", faults: []fault{{refuse: siskinrill.ReasonWrongOwner, moved: true}}, status: 200, outcome: "complete", runs: 1, kind: "retries", counter: "wrong_owner", least: 50 * time.Millisecond},
		"backend server lost":               {method: "POST", faults: []fault{{wrong: siskinrill.ReasonBackendLost}}, status: 502, outcome: "unknown", runs: 1, kind: "refusals", counter: "backend_lost"},
		"deadline in the queue":             {method: "POST", faults: []fault{{queued: time.Minute}}, status: 504, outcome: "not_run", kind: "refusals", counter: "deadline_in_queue", least: 5 * time.Second},
		"deadline while running":            {method: "POST", faults: []fault{{busy: 6 * time.Second}}, status: 504, outcome: "unknown", runs: 1, kind: "refusals", counter: "deadline", least: 5 * time.Second},
		"answer after a lost connection":    {method: "POST", faults: []fault{{lost: true, busy: 2 * time.Second}}, status: 200, outcome: "complete", runs: 1},
		"upload lost before the owner":      {method: "PUT", faults: []fault{{undone: true}}, status: 200, outcome: "complete", runs: 1, kind: "retries", counter: "withdrawn"},
	}
	for name, cse := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fix := newFixture()
				fix.own.script["r1"] = cse.faults
				tld := fix.ask(newRequest(cse.method, "r1", []byte("body")))
				must.Eq(t, cse.status, tld.status)
				must.Eq(t, cse.outcome, tld.outcome)
				must.GreaterEq(t, cse.least, tld.took)
				time.Sleep(2 * time.Second)
				fix.own.mu.Lock()
				defer fix.own.mu.Unlock()
				must.Eq(t, cse.runs, fix.own.runs["r1"])
				if cse.counter != "" {
					must.NotEq(t, "0", fix.count(cse.kind, cse.counter))
				}
				if cse.status == 200 {
					must.Eq(t, "r1", tld.body)
				}
			})
		})
	}
}

// TestHold guards against requests that fail while their shard has no owner for a moment, or wait for ever.
func TestHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fix := newFixture()
		fix.ses.move(0, controlpb.Phase_PHASE_ORPHAN)
		time.AfterFunc(time.Second, func() { fix.ses.move(2, controlpb.Phase_PHASE_OWNED) })
		tld := fix.ask(newRequest("POST", "r1", nil))
		must.Eq(t, http.StatusOK, tld.status)
		must.Eq(t, time.Second, tld.took)
		fix.ses.move(1, controlpb.Phase_PHASE_RELEASING)
		tld = fix.ask(newRequest("POST", "r2", nil))
		must.Eq(t, http.StatusServiceUnavailable, tld.status)
		must.Eq(t, defaultHold, tld.took)
		must.Eq(t, "1", tld.header.Get("Retry-After"))
		must.Eq(t, "1", fix.count("refusals", "moving"))
	})
}
