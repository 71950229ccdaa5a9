package fingerprint

import (
	"testing"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// BenchmarkOfAttempt measures the fingerprints of a request without a body and of one with a body of 64 KiB.
func BenchmarkOfAttempt(ben *testing.B) {
	for name, size := range map[string]int{"no_body": 0, "64_KiB": MaxBody} {
		opn := &peerpb.Open{
			Service: "checkout", Method: "POST", Target: "/orders/RS-1042/payment", Body: make([]byte, size), BodyEnd: true,
			Headers: []*peerpb.HeaderField{{Name: "Accept", Values: []string{"*/*"}}, {Name: "Caller", Values: []string{"shop"}}},
		}
		ben.Run(name, func(ben *testing.B) {
			for ben.Loop() {
				OfAttempt(opn, callerHeaders)
			}
		})
	}
}
