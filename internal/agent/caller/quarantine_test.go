package caller

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/agent/fingerprint"
)

// TestQuarantinedRequest guards against a request in quarantine that is sent to an owner, is not refused at once and as not
// run, or takes requests beside it along, and against one that is retried when the first attempt has led to its quarantine.
func TestQuarantinedRequest(t *testing.T) {
	bubble(t, "requests", func(t *testing.T, fix *fixture) {
		quarantine := func(method, rid string, bdy []byte) {
			req := newRequest(method, rid, bdy)
			fpr := fingerprint.Of(fingerprint.Request{
				Service: "checkout", Method: method, Target: req.URL.RequestURI(), Body: bdy, Length: int64(len(bdy)),
			}, nil)
			fix.ses.quarantined.Store(&map[uint64]bool{fpr: true})
		}
		for _, method := range []string{"GET", "POST", "PUT"} {
			bdy := []byte("deadly")
			if method == "GET" {
				bdy = nil
			}
			quarantine(method, "r1", bdy)
			res := fix.send(newRequest(method, "r1", bdy))
			must.Eq(t, 503, res.status)
			must.Eq(t, "not_run", res.outcome)
			must.StrContains(t, res.body, `"reason":"quarantined"`)
			must.Eq(t, "60", res.header.Get("Retry-After"))
			must.Zero(t, res.latency)
			must.Eq(t, 200, fix.send(newRequest(method, "r2", bdy)).status)
			if bdy != nil {
				must.Eq(t, 200, fix.send(newRequest(method, "r1", []byte("other"))).status)
			}
		}
		fix.own.script["r3"] = []fault{{unknown: siskinrill.ReasonBackendLost, runTime: 100 * time.Millisecond}}
		time.AfterFunc(50*time.Millisecond, func() { quarantine("GET", "r3", nil) })
		res := fix.send(newRequest("GET", "r3", nil))
		must.Eq(t, "unknown", res.outcome)
		must.StrContains(t, res.body, `"reason":"quarantined"`)
	})
}
