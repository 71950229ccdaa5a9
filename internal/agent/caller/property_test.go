package caller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// faultDrawer generates faults; no fault is as likely as each kind of fault.
func faultDrawer() *rapid.Generator[fault] {
	return rapid.Custom(func(rt *rapid.T) fault {
		millis := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(rt, label)) * time.Millisecond
		}
		flt := fault{queueTime: millis("queue time") / 10, runTime: millis("run time") / 2}
		rsn := rapid.SampledFrom([]siskinrill.Reason{siskinrill.ReasonWrongOwner, siskinrill.ReasonQueueFull, siskinrill.ReasonBackendUnreachable, siskinrill.ReasonMoving}).Draw(rt, "reason")
		variants := []func(){
			func() {},
			func() { flt.noConnection = true },
			func() { flt.lostBeforeOwner, flt.bodyRead = true, rapid.Bool().Draw(rt, "body read") },
			func() { flt.answerLost = true },
			func() { flt.delay = millis("delay") + time.Millisecond },
			func() { flt.truncated = true },
			func() { flt.refuse = rsn },
			func() { flt.unknown = siskinrill.ReasonBackendLost },
			func() { flt.moves = true },
			func() { flt.answerLost, flt.frozen = true, true },
		}
		variants[rapid.IntRange(0, len(variants)-1).Draw(rt, "fault")]()
		return flt
	})
}

// requestCase is one request of a property test.
type requestCase struct {
	method     string
	faults     []fault
	start      time.Duration
	size       int
	leaveAfter time.Duration // 0 if the caller does not disconnect
}

func drawRequestCase(rt *rapid.T) requestCase {
	return requestCase{
		method:     rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(rt, "method"),
		faults:     rapid.SliceOfN(faultDrawer(), 0, 4).Draw(rt, "faults"),
		start:      time.Duration(rapid.IntRange(0, 500).Draw(rt, "start")) * time.Millisecond,
		size:       rapid.SampledFrom([]int{0, 10, maxBufferedBody, maxBufferedBody + 1, 200 << 10}).Draw(rt, "size"),
		leaveAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 0, 20, 700}).Draw(rt, "leave after")) * time.Millisecond,
	}
}

// violations runs the requests concurrently and returns the guarantees that were violated.
func violations(t *testing.T, hks hooks, hedge uint32, reqs []requestCase) (found []string) {
	synctest.Test(t, func(t *testing.T) {
		fix := newFixture()
		fix.han.hooks = hks
		fix.ses.service = &controlpb.Service{Name: "checkout", HedgeAfterMs: hedge}
		results := make([]callerResult, len(reqs))
		for num, cse := range reqs {
			fix.own.script[fmt.Sprint("request", num)] = cse.faults
		}
		var all sync.WaitGroup
		for num, cse := range reqs {
			all.Go(func() { results[num] = fix.send(dueRequest(t, cse, fmt.Sprint("request", num))) })
		}
		all.Wait()
		time.Sleep(10 * time.Second)
		fix.own.mu.Lock()
		defer fix.own.mu.Unlock()
		for num, cse := range reqs {
			found = append(found, brokenPromises(fix, cse, fmt.Sprint("request", num), results[num])...)
		}
		if len(fix.han.outstanding.counts) != 0 {
			found = append(found, "requests are still counted as outstanding")
		}
	})
	return found
}

// brokenPromises compares the caller's result with what actually ran.
func brokenPromises(fix *fixture, cse requestCase, rid string, res callerResult) (found []string) {
	runs, complete := fix.own.runs[rid], res.outcome == "complete"
	for txt, broken := range map[string]bool{
		"ran twice":                               cse.method != "GET" && runs > 1,
		"reported not_run but ran":                res.outcome == "not_run" && runs > 0,
		"reported complete but never ran":         complete && runs == 0,
		"answer incomplete or of another request": complete && !res.aborted && res.body != rid,
		"owner received an incomplete body":       complete && fix.own.bodies[rid] != cse.size,
		"no outcome":                              !complete && res.outcome != "not_run" && res.outcome != "unknown",
		"not served without a fault":              len(cse.faults) == 0 && cse.leaveAfter == 0 && !complete,
		"refusal is not a problem object":         !complete && res.header.Get("Content-Type") != "application/problem+json",
		"answered after its deadline":             res.latency > 5200*time.Millisecond,
	} {
		if broken {
			found = append(found, fmt.Sprintf("%s %s: %s (%+v, %d runs)", cse.method, rid, txt, res, runs))
		}
	}
	return found
}

// TestPromises guards against sequences of faults that run a request twice, report a run as not_run, or return
// a truncated answer or that of another request.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reqs := rapid.SliceOfN(rapid.Custom(drawRequestCase), 1, 5).Draw(rt, "requests")
		hedge := rapid.SampledFrom([]uint32{0, 0, 100}).Draw(rt, "hedge")
		if found := violations(t, hooks{}, hedge, reqs); len(found) > 0 {
			rt.Fatal(found)
		}
	})
}

// TestPromisesDetectRetryWithoutWithdraw guards against a property test that does not detect a second run.
func TestPromisesDetectRetryWithoutWithdraw(t *testing.T) {
	gen := rapid.SliceOfN(rapid.Custom(drawRequestCase), 1, 5)
	detected := 0
	for seed := range 100 {
		if len(violations(t, hooks{skipWithdraw: true}, 0, gen.Example(seed))) > 0 {
			detected++
		}
	}
	must.Positive(t, detected)
}

// dueRequest waits until a request is due and returns it; its caller may disconnect later.
func dueRequest(t *testing.T, cse requestCase, rid string) *http.Request {
	time.Sleep(cse.start)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	if cse.leaveAfter > 0 {
		time.AfterFunc(cse.leaveAfter, cancel)
	}
	return newRequest(cse.method, rid, make([]byte, cse.size)).WithContext(ctx)
}
