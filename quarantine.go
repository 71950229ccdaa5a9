package siskinrill

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

const (
	// QuarantineCrashes is the number of crashes of backend servers after which a request that ran during each of them is put
	// in quarantine. Two may be a coincidence: a request that is retried after a crash can run at the next server that ends.
	QuarantineCrashes = 3
	// MaxCrashSuspects is the maximum number of requests that one crash report names.
	MaxCrashSuspects = 64
	// SuspicionTime is how long after its last crash a request is remembered, and how long it stays in quarantine.
	SuspicionTime = 10 * time.Minute
)

// InQuarantine reports whether a request must not be run because of the crashes counted for it.
func InQuarantine(sus *controlpb.Suspect) bool { return len(sus.GetServers()) >= QuarantineCrashes }

// Quarantine knows the requests that crash backend servers.
type Quarantine interface {
	// AnyQuarantined reports whether any request is in quarantine.
	AnyQuarantined() bool
	// Quarantined reports whether the request with a fingerprint must not be run.
	Quarantined(fingerprint uint64) bool
}
