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

// faultDrawer draws a fault; none is as likely as any other.
func faultDrawer() *rapid.Generator[fault] {
	return rapid.Custom(func(rt *rapid.T) fault {
		millis := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(rt, label)) * time.Millisecond
		}
		flt := fault{queued: millis("queued") / 10, busy: millis("busy") / 2}
		rsn := rapid.SampledFrom([]siskinrill.Reason{siskinrill.ReasonWrongOwner, siskinrill.ReasonQueueFull, siskinrill.ReasonBackendUnreachable, siskinrill.ReasonMoving}).Draw(rt, "reason")
		variants := []func(){
			func() {},
			func() { flt.undialled = true },
			func() { flt.undone, flt.taken = true, rapid.Bool().Draw(rt, "taken") },
			func() { flt.lost = true },
			func() { flt.late = millis("late") + time.Millisecond },
			func() { flt.cut = true },
			func() { flt.refuse = rsn },
			func() { flt.wrong = siskinrill.ReasonBackendLost },
			func() { flt.moved = true },
			func() { flt.lost, flt.frozen = true, true },
		}
		variants[rapid.IntRange(0, len(variants)-1).Draw(rt, "fault")]()
		return flt
	})
}

// asked is one request of a property run.
type asked struct {
	method string
	faults []fault
	start  time.Duration
	size   int
	gone   time.Duration // 0: the caller stays
}

func drawAsked(rt *rapid.T) asked {
	return asked{
		method: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(rt, "method"),
		faults: rapid.SliceOfN(faultDrawer(), 0, 4).Draw(rt, "faults"),
		start:  time.Duration(rapid.IntRange(0, 500).Draw(rt, "start")) * time.Millisecond,
		size:   rapid.SampledFrom([]int{0, 10, heldBody, heldBody + 1, 200 << 10}).Draw(rt, "size"),
		gone:   time.Duration(rapid.SampledFrom([]int{0, 0, 0, 20, 700}).Draw(rt, "gone")) * time.Millisecond,
	}
}

// violations runs the requests side by side and returns what broke a promise.
func violations(t *testing.T, hks hooks, hedge uint32, reqs []asked) (found []string) {
	synctest.Test(t, func(t *testing.T) {
		fix := newFixture()
		fix.han.hooks = hks
		fix.ses.service = &controlpb.Service{Name: "checkout", HedgeAfterMs: hedge}
		tlds := make([]told, len(reqs))
		for num, ask := range reqs {
			fix.own.script[fmt.Sprint("request", num)] = ask.faults
		}
		var all sync.WaitGroup
		for num, ask := range reqs {
			all.Go(func() { tlds[num] = fix.ask(askRequest(t, ask, fmt.Sprint("request", num))) })
		}
		all.Wait()
		time.Sleep(10 * time.Second)
		fix.own.mu.Lock()
		defer fix.own.mu.Unlock()
		for num, ask := range reqs {
			found = append(found, judge(fix, ask, fmt.Sprint("request", num), tlds[num])...)
		}
		if len(fix.han.outstanding.counts) != 0 {
			found = append(found, "requests stay counted as outstanding")
		}
	})
	return found
}

// judge compares what a caller was told with what ran.
func judge(fix *fixture, ask asked, rid string, tld told) (found []string) {
	runs, complete := fix.own.runs[rid], tld.outcome == "complete"
	for txt, broken := range map[string]bool{
		"ran twice":                       ask.method != "GET" && runs > 1,
		"told not_run, but ran":           tld.outcome == "not_run" && runs > 0,
		"complete, but never ran":         complete && runs == 0,
		"answer not whole or not its own": complete && !tld.aborted && tld.body != rid,
		"body that ran is not whole":      complete && fix.own.bodies[rid] != ask.size,
		"no outcome":                      !complete && tld.outcome != "not_run" && tld.outcome != "unknown",
		"not served, nothing failed":      len(ask.faults) == 0 && ask.gone == 0 && !complete,
		"refusal without its form":        !complete && tld.header.Get("Content-Type") != "application/problem+json",
		"waited past its deadline":        tld.took > 5200*time.Millisecond,
	} {
		if broken {
			found = append(found, fmt.Sprintf("%s %s: %s (%+v, %d runs)", ask.method, rid, txt, tld, runs))
		}
	}
	return found
}

// TestPromises guards against orders of faults that run a request twice, deny a run or pass on a cut or foreign answer.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reqs := rapid.SliceOfN(rapid.Custom(drawAsked), 1, 5).Draw(rt, "requests")
		hedge := rapid.SampledFrom([]uint32{0, 0, 100}).Draw(rt, "hedge")
		if found := violations(t, hooks{}, hedge, reqs); len(found) > 0 {
			rt.Fatal(found)
		}
	})
}

// TestPromisesSeeRetryWithoutWithdraw guards against a property test that misses a second run.
func TestPromisesSeeRetryWithoutWithdraw(t *testing.T) {
	gen := rapid.SliceOfN(rapid.Custom(drawAsked), 1, 5)
	seen := 0
	for seed := range 100 {
		if len(violations(t, hooks{skipWithdraw: true}, 0, gen.Example(seed))) > 0 {
			seen++
		}
	}
	must.Positive(t, seen)
}

// askRequest returns the request of a property run once it is due; its caller may leave.
func askRequest(t *testing.T, ask asked, rid string) *http.Request {
	time.Sleep(ask.start)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	if ask.gone > 0 {
		time.AfterFunc(ask.gone, cancel)
	}
	return newRequest(ask.method, rid, make([]byte, ask.size)).WithContext(ctx)
}
