package backend

import (
	"testing"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// BenchmarkRecordAnswer measures what the search for requests that crash the server adds to each answer.
func BenchmarkRecordAnswer(ben *testing.B) {
	crs := newCrashes(Options{OnCrash: func(*controlpb.CrashReport) {}, CallerHeaders: []string{"Caller"}})
	att := siskinrill.NewAttempt(&peerpb.Open{
		Method: "GET", Target: "/shades/RS-1042", BodyEnd: true,
		Headers: []*peerpb.HeaderField{{Name: "Accept", Values: []string{"*/*"}}, {Name: "Caller", Values: []string{"shop"}}},
	}, nil)
	for ben.Loop() {
		crs.recordAnswer(att)
	}
}
