package fingerprint

import (
	"hash/maphash"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

var callerHeaders = []string{"Caller"}

func request(change func(req *Request)) uint64 { return Of(changed(change), callerHeaders) }

// changed returns a request with a change.
func changed(change func(req *Request)) Request {
	req := Request{
		Service: "vitrine", Method: "GET", Target: "/items/7?page=2", Body: []byte("body"), Length: 4,
		Headers: []*peerpb.HeaderField{{Name: "Attempt", Values: []string{"1"}}, {Name: "Caller", Values: []string{"shop"}}},
	}
	change(&req)
	return req
}

// TestFingerprint guards against a request that is not recognised when it comes again with another id, and against callers
// who are refused because of a request of another.
func TestFingerprint(t *testing.T) {
	want := request(func(*Request) {})
	seed := maphash.MakeSeed()
	wantLocal := local(changed(func(*Request) {}), callerHeaders, seed)
	for nam, tcs := range map[string]struct {
		change func(req *Request)
		same   bool
	}{
		"other id":        {same: true, change: func(req *Request) { req.Headers[0].Values = []string{"2"} }},
		"order":           {same: true, change: func(req *Request) { req.Headers[0], req.Headers[1] = req.Headers[1], req.Headers[0] }},
		"other caller":    {change: func(req *Request) { req.Headers[1].Values = []string{"office"} }},
		"no caller":       {change: func(req *Request) { req.Headers = nil }},
		"two callers":     {change: func(req *Request) { req.Headers[1].Values = []string{"sh", "op"} }},
		"other service":   {change: func(req *Request) { req.Service = "commande" }},
		"other method":    {change: func(req *Request) { req.Method = "HEAD" }},
		"other query":     {change: func(req *Request) { req.Target = "/items/7?page=3" }},
		"other body":      {change: func(req *Request) { req.Body = []byte("soul") }},
		"longer body":     {change: func(req *Request) { req.Length = 5 }},
		"shifted borders": {change: func(req *Request) { req.Method, req.Target = "GET/", "items/7?page=2" }},
	} {
		t.Run(nam, func(t *testing.T) {
			must.Eq(t, tcs.same, request(tcs.change) == want)
			must.Eq(t, tcs.same, local(changed(tcs.change), callerHeaders, seed) == wantLocal)
		})
	}
}

// TestLongBodies guards against a fingerprint that depends on how much of a body an agent has in memory.
func TestLongBodies(t *testing.T) {
	bdy := make([]byte, 3*MaxBody)
	open := func(num int, end bool) uint64 {
		return OfAttempt(&peerpb.Open{Body: bdy[:num], BodyLength: int64(len(bdy)), BodyEnd: end}, nil)
	}
	must.Eq(t, open(MaxBody, false), open(len(bdy), true))
	must.Eq(t, open(MaxBody, false), open(2*MaxBody, false))
	must.Eq(t, open(MaxBody, false), OfAttempt(&peerpb.Open{Body: bdy[:MaxBody], BodyLength: -1}, nil))
	must.NotEq(t, open(MaxBody, false), OfAttempt(&peerpb.Open{Body: bdy[:MaxBody], BodyLength: MaxBody, BodyEnd: true}, nil))
}
