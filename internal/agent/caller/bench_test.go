package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// quickOwner answers at once with 200 bytes.
type quickOwner struct{ *fakeOwners }

var quickHeaders = []*peerpb.HeaderField{
	{Name: "Content-Type", Values: []string{"application/json"}},
	{Name: "Siskinrill-Upstream", Values: []string{"checkout-1"}},
}

func (quickOwner) Handle(context.Context, *siskinrill.Attempt) (*siskinrill.Answer, error) {
	bdy := []byte(strings.Repeat("x", 200))
	return siskinrill.NewAnswer(&peerpb.Response{Status: 200, Headers: quickHeaders, BodyLength: 200, Body: bdy, BodyEnd: true}, nil), nil
}

// newBench returns a handler whose owner is this agent or one behind loopback gRPC.
func newBench(b *testing.B, remote bool) *Handler {
	han, ses := newStack(b, quickOwner{})
	if !remote {
		ses.move(entrySession, controlpb.Phase_PHASE_OWNED)
	}
	return han
}

var variants = map[string]struct {
	remote bool
	method string
}{
	"local": {false, "GET"}, "forwarded": {true, "GET"}, "forwarded_once": {true, "POST"},
}

// BenchmarkHandler measures one request after the other without HTTP.
func BenchmarkHandler(b *testing.B) {
	for name, vrt := range variants {
		b.Run(name, func(b *testing.B) {
			han := newBench(b, vrt.remote)
			req := newRequest(vrt.method, "order1", nil)
			req.Body = http.NoBody
			b.ReportAllocs()
			for b.Loop() {
				rec := httptest.NewRecorder()
				han.ServeHTTP(rec, req)
				if rec.Code != http.StatusOK {
					b.Fatal(rec.Code, rec.Body.String())
				}
			}
		})
	}
}

// BenchmarkRate sends 3,600 requests a second over HTTP to a handler and as many to one that answers itself, in turn, and reports both latencies from the intended send time.
func BenchmarkRate(b *testing.B) {
	direct := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		wri.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(wri, strings.Repeat("x", 200))
	}))
	defer direct.Close()
	for _, name := range []string{"local", "forwarded"} {
		b.Run(name, func(b *testing.B) {
			srv := httptest.NewServer(newBench(b, variants[name].remote))
			defer srv.Close()
			urls := []string{direct.URL, srv.URL}
			tooks := make([][]time.Duration, 2)
			for num := range tooks {
				tooks[num] = make([]time.Duration, b.N)
			}
			atRate(b, urls, tooks)
			report(b, "direct-", tooks[0])
			report(b, "", tooks[1])
		})
	}
}

func atRate(b *testing.B, urls []string, tooks [][]time.Duration) {
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, MaxConnsPerHost: 200}}
	var all sync.WaitGroup
	beg := time.Now()
	for num := range len(urls) * b.N {
		due := beg.Add(time.Duration(num) * time.Second / time.Duration(3600*len(urls)))
		time.Sleep(time.Until(due))
		all.Go(func() {
			rsp, err := cli.Get(urls[num%len(urls)] + "/orders/order1")
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, rsp.Body)
			_ = rsp.Body.Close()
			tooks[num%len(urls)][num/len(urls)] = time.Since(due)
		})
	}
	all.Wait()
}

func report(b *testing.B, name string, took []time.Duration) {
	sort.Slice(took, func(one, two int) bool { return took[one] < took[two] })
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), name+"p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), name+"p99-us")
}
