package dev_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	adminhttp "github.com/siskinrill/siskinrill/internal/admin/http"
	"github.com/siskinrill/siskinrill/internal/process/dev"
)

// Upstreams in zone in-west-a; checkout-2, checkout-3, tints-2 and draw-2 are in others.
const upstreamsOfZone = "checkout-1 checkout-4 tints-1 draw-1"

// inForce is the time from the acknowledgement of a drain until no request reaches the zone.
const inForce = 5 * time.Second

// zoneTraffic sends requests with text keys, with numeric keys and without keys, and keeps the faults.
type zoneTraffic struct {
	base string
	wait sync.WaitGroup
	end  chan struct{}
	once sync.Once

	mu       sync.Mutex
	since    time.Time // order to drain the zone
	free     time.Time // from when on no request may reach the zone, zero for never
	lastZone time.Time // when the last request was sent that an upstream of the zone answered
	zone     int       // answers of upstreams of the zone
	count    int
	longest  time.Duration // of a request
	slowest  time.Time     // when that request was sent
	faults   []string
}

func (trf *zoneTraffic) run(t *testing.T, callers int) {
	for num := range callers {
		trf.wait.Go(func() {
			for seq := 0; ; seq++ {
				select {
				case <-trf.end:
					return
				default:
				}
				beg := time.Now()
				mth, pth := http.MethodGet, fmt.Sprintf("/tints/%d-%d", num, seq)
				if seq%2 == 0 {
					mth, pth = http.MethodPost, fmt.Sprintf("/orders/%d-%d/payment", num, seq)
				}
				if seq%3 == 2 {
					mth, pth = http.MethodPut, fmt.Sprintf("/draw/%d", (seq*977+num*8191)%65536)
				}
				res, ans := send(t, mth, trf.base+pth, nil)
				trf.record(beg, res, ans)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

func (trf *zoneTraffic) stop() {
	trf.once.Do(func() { close(trf.end) })
	trf.wait.Wait()
}

func (trf *zoneTraffic) record(beg time.Time, res *http.Response, ans answer) {
	trf.mu.Lock()
	defer trf.mu.Unlock()
	trf.count++
	if took := time.Since(beg); took > trf.longest {
		trf.longest, trf.slowest = took, beg
	}
	if res.StatusCode != http.StatusOK {
		trf.faults = append(trf.faults, fmt.Sprintf("%s %s after the order: status %d, %s", res.Request.URL.Path, beg.Sub(trf.since), res.StatusCode, ans.Reason))
		return
	}
	if !strings.Contains(upstreamsOfZone, ans.Upstream) {
		return
	}
	trf.zone++
	if trf.lastZone.Before(beg) {
		trf.lastZone = beg
	}
	if !trf.free.IsZero() && beg.After(trf.free) {
		trf.faults = append(trf.faults, fmt.Sprintf("%s was sent to %s %s after the order", res.Request.URL.Path, ans.Upstream, beg.Sub(trf.since)))
	}
}

// TestZoneDrain guards against requests that reach a drained zone 5 s after the acknowledgement, requests that are refused
// while other zones have room, an agent of the zone that accepts no callers, a withdrawal without effect, and requests that
// wait although all upstreams of their service are in drained zones.
func TestZoneDrain(t *testing.T) {
	cfg := t.TempDir()
	must.NoError(t, os.WriteFile(cfg+"/one.toml", []byte(`
[service.checkout]
partitions = 256
[service.tints]
keys = "none"
[service.draw]
keys = "number"
grants = "direct"
[route.draw]
method = "PUT"
path = "/draw/{k}"
service = "draw"
kind = "idempotent"
[route.payment]
method = "POST"
path = "/orders/{order}/payment"
service = "checkout"
kind = "non_idempotent"
[route.tint]
method = "GET"
path = "/tints/{code}"
service = "tints"
kind = "idempotent"
`), 0o600))
	prc, stop := start(t, dev.Options{Config: cfg})
	adm := adminhttp.NewClient(prc.Admin(), "")
	drain := func(zon string, undo bool) {
		ans, err := adm.DrainZone(t.Context(), zon, undo)
		must.NoError(t, err)
		must.Eq(t, !undo, ans.GetZone().GetDrained())
	}
	trf := &zoneTraffic{base: "http://" + prc.Listen(), end: make(chan struct{})}
	t.Cleanup(trf.stop)
	trf.run(t, 8)
	time.Sleep(time.Second)
	drain("in-west-a", false)
	trf.mu.Lock()
	must.Positive(t, trf.zone)
	trf.since, trf.free = time.Now(), time.Now().Add(inForce)
	trf.mu.Unlock()
	time.Sleep(inForce + 2*time.Second)
	trf.mu.Lock()
	t.Logf("the last request reached the zone %s after the acknowledgement; %d requests", trf.lastZone.Sub(trf.since), trf.count)
	trf.free, trf.zone = time.Time{}, 0
	trf.mu.Unlock()
	drain("in-west-a", true)
	time.Sleep(3 * time.Second)
	trf.stop()
	t.Logf("the longest request took %s, sent %s after the acknowledgement", trf.longest, trf.slowest.Sub(trf.since))
	must.SliceEmpty(t, trf.faults, must.Sprint(strings.Join(trf.faults[:min(len(trf.faults), 5)], "\n")))
	must.Positive(t, trf.zone)

	for _, zon := range []string{"in-west-a", "in-west-b", "in-west-c"} {
		drain(zon, false)
	}
	checkAllDrained(t, trf.base)
	must.NoError(t, stop())
}

// checkAllDrained checks that requests are refused at once, in much less than the 3 s that they would wait for an owner, from
// the time on that the order is in force. Until then they may be served.
func checkAllDrained(t *testing.T, base string) {
	t.Helper()
	end := time.Now().Add(inForce)
	for _, pth := range []string{"/tints/a", "/orders/a/payment"} {
		mth := http.MethodGet
		if strings.HasPrefix(pth, "/orders") {
			mth = http.MethodPost
		}
		beg := time.Now()
		res, ans := send(t, mth, base+pth, nil)
		for res.StatusCode == http.StatusOK && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
			beg = time.Now()
			res, ans = send(t, mth, base+pth, nil)
		}
		must.Less(t, 500*time.Millisecond, time.Since(beg))
		must.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
		must.Eq(t, "zone_drained", ans.Reason)
		must.Eq(t, "not_run", res.Header.Get(siskinrill.HeaderOutcome))
		must.NotEq(t, "", res.Header.Get("Retry-After"))
	}
}
