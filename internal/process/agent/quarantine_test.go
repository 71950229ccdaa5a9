package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// crashPath is the path of requests that crash the stand-ins.
	crashPath = "/tested/deadly/"
	// crashDown is how long a crashed stand-in is down.
	crashDown = 700 * time.Millisecond
	// crashRetries is how many requests may reach stand-ins once the third has crashed, for those that were on their way.
	crashRetries = 3
)

// crashingServers are the stand-ins of the tested service, which are started again after each crash.
type crashingServers struct {
	mu   sync.Mutex
	srvs []*standin.Server // all that were ever started
}

// startCrashing replaces the stand-ins of the tested service by such that requests can crash.
func startCrashing(t *testing.T, flt *fleet, svc *controlpb.Service) *crashingServers {
	csv := &crashingServers{}
	for pos, mem := range flt.members[:2] {
		mem.standin.Close()
		opt := mem.standinOptions(pos+1, svc.GetName(), svc)
		opt.Numbered, opt.CrashPath = true, crashPath
		csv.start(t.Context(), mem, opt)
	}
	return csv
}

// start runs the stand-in of a member until the context ends, and starts it again after each crash.
func (csv *crashingServers) start(ctx context.Context, mem *member, opt standin.Options) {
	go func() {
		for num := 0; ctx.Err() == nil; num++ {
			srv, err := standin.New(opt)
			if err != nil {
				return
			}
			csv.mu.Lock()
			csv.srvs = append(csv.srvs, srv)
			mem.standin = srv
			csv.mu.Unlock()
			_ = srv.Run(ctx)
			srv.Close()
			time.Sleep(crashDown)
		}
	}()
}

// runs returns how many runs of a path all stand-ins have begun.
func (csv *crashingServers) runs(path string) int {
	csv.mu.Lock()
	defer csv.mu.Unlock()
	num := 0
	for _, srv := range csv.srvs {
		for _, row := range srv.Ledger(0, 100_000) {
			if strings.HasPrefix(row.Path, path) {
				num++
			}
		}
	}
	return num
}

// ask sends a request and returns the status and the reason of its refusal.
func ask(t *testing.T, url, path, caller string, key int) (int, string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+path, nil)
	must.NoError(t, err)
	req.Host = testedHost
	req.Header.Set(siskinrill.HeaderKey, fmt.Sprint(key))
	req.Header.Set("Authorization", caller)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var pro struct {
		Reason string `json:"reason"`
	}
	_ = json.NewDecoder(res.Body).Decode(&pro)
	return res.StatusCode, pro.Reason
}

// TestRequestThatCrashesServers guards against a request that crashes one backend server after the other, at whichever agent
// it arrives, also when agents and control have been restarted since, and against the refusal of requests of other callers
// and of other requests beside it.
func TestRequestThatCrashesServers(t *testing.T) {
	for svcName, svc := range testedServices() {
		t.Run(svcName, func(t *testing.T) {
			t.Parallel()
			flt := startFleet(t, svc)
			csv := startCrashing(t, flt, svc)
			quarantined := func(mem *member) bool {
				sts, rsn := ask(t, mem.url, crashPath+"1", "mallory", 7)
				return sts == http.StatusServiceUnavailable && rsn == string(siskinrill.ReasonQuarantined)
			}
			awaitWithin(t, setupTimeout, func() bool {
				all := true
				for _, mem := range flt.members {
					all = quarantined(mem) && all
				}
				return all
			})
			crashes := csv.runs(crashPath)
			t.Logf("%d runs until it was refused everywhere", crashes)
			must.LessEq(t, siskinrill.QuarantineCrashes+crashRetries, crashes)
			for _, mem := range flt.members {
				mem.restart(t)
			}
			for _, mem := range flt.members {
				awaitWithin(t, setupTimeout, func() bool {
					sts, _ := ask(t, mem.url, "/tested/healthy/1", "mallory", 7)
					return sts == http.StatusOK
				})
				must.True(t, quarantined(mem), must.Sprint("after a restart of all agents"))
			}
			must.Eq(t, crashes, csv.runs(crashPath))
		})
	}
}

// TestQuarantineOfOneCaller guards against callers who get the requests of others refused: the same request of another
// caller is run.
func TestQuarantineOfOneCaller(t *testing.T) {
	t.Parallel()
	svc := testedServices()["without keys"]
	flt := startFleet(t, svc)
	csv := startCrashing(t, flt, svc)
	awaitWithin(t, setupTimeout, func() bool {
		_, rsn := ask(t, flt.members[2].url, crashPath+"1", "mallory", 7)
		return rsn == string(siskinrill.ReasonQuarantined)
	})
	before := csv.runs(crashPath)
	awaitWithin(t, setupTimeout, func() bool {
		_, rsn := ask(t, flt.members[2].url, crashPath+"1", "alice", 7)
		must.NotEq(t, string(siskinrill.ReasonQuarantined), rsn)
		return csv.runs(crashPath) > before
	})
}
