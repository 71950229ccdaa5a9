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
		switch rapid.IntRange(0, 9).Draw(rt, "fault") {
		case 1:
			flt.undialled = true
		case 2:
			flt.undone, flt.taken = true, rapid.Bool().Draw(rt, "taken")
		case 3:
			flt.lost = true
		case 4:
			flt.late = millis("late") + time.Millisecond
		case 5:
			flt.cut = true
		case 6:
			flt.refuse = rapid.SampledFrom([]siskinrill.Reason{siskinrill.ReasonWrongOwner, siskinrill.ReasonQueueFull, siskinrill.ReasonBackendUnreachable, siskinrill.ReasonMoving}).Draw(rt, "reason")
		case 7:
			flt.wrong = siskinrill.ReasonBackendLost
		case 8:
			flt.moved = true
		case 9:
			flt.lost, flt.frozen = true, true
		}
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
			fix.own.script[fmt.Sprintf("request%d", num)] = ask.faults
		}
		var all sync.WaitGroup
		for num, ask := range reqs {
			rid := fmt.Sprintf("request%d", num)
			all.Go(func() {
				time.Sleep(ask.start)
				tlds[num] = fix.ask(askRequest(t, ask, rid))
			})
		}
		all.Wait()
		time.Sleep(10 * time.Second)
		fix.own.mu.Lock()
		defer fix.own.mu.Unlock()
		for num, ask := range reqs {
			found = append(found, judge(fix, ask, fmt.Sprintf("request%d", num), tlds[num])...)
		}
		if len(fix.han.outstanding.counts) != 0 {
			found = append(found, "requests stay counted as outstanding")
		}
	})
	return found
}

// judge compares what a caller was told with what ran.
func judge(fix *fixture, ask asked, rid string, tld told) (found []string) {
	runs := fix.own.runs[rid]
	say := func(txt string) {
		found = append(found, fmt.Sprintf("%s %s: %s (%+v, %d runs)", ask.method, rid, txt, tld, runs))
	}
	if ask.method != "GET" && runs > 1 {
		say("ran twice")
	}
	switch tld.outcome {
	case "not_run":
		if runs > 0 {
			say("told not_run, but ran")
		}
	case "complete":
		if runs == 0 {
			say("complete, but never ran")
		}
		if !tld.aborted && tld.body != rid {
			say("the answer is not whole or not its own")
		}
		if fix.own.bodies[rid] != ask.size {
			say("the body that ran is not whole")
		}
	case "unknown":
	default:
		say("no outcome")
	}
	if len(ask.faults) == 0 && ask.gone == 0 && tld.outcome != "complete" {
		say("not served though nothing failed")
	}
	if tld.outcome != "complete" && tld.header.Get("Content-Type") != "application/problem+json" {
		say("a refusal without its form")
	}
	if limit := 5*time.Second + 200*time.Millisecond; tld.took > limit {
		say("waited past its deadline")
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

// askRequest returns the request of a property run, whose caller may leave.
func askRequest(t *testing.T, ask asked, rid string) *http.Request {
	req := newRequest(ask.method, rid, make([]byte, ask.size))
	if ask.gone == 0 {
		return req
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(ask.gone, cancel)
	return req.WithContext(ctx)
}
