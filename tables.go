package siskinrill

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// UpstreamRow is one upstream in the input of the assignment policy.
type UpstreamRow struct {
	Session   uint64
	Zone      string
	Slots     uint32
	State     controlpb.UpstreamState // as announced, or draining at an operator's request
	Age       time.Duration           // since the announcement
	Requests  float64                 // per second, counted by its agent
	Busy      float64                 // average number of slots in use, counted by its agent
	ReportAge time.Duration           // since the last load report
	// RateLimited states that the backend server accepts at most RateLimit requests a second.
	RateLimited bool
	RateLimit   float64
	Cold        time.Duration // the limit applies for this long because the server is cold, 0: until further notice
}

// ShardRow is the ownership and load of a partition or override.
type ShardRow struct {
	Partition uint32
	Key       string // empty: partition, else override
	Owner     uint64 // session, 0: none
	Token     uint64
	Phase     controlpb.Phase
	Target    uint64
	Retiring  bool
	Load      float64 // requests per second, smoothed
}

// HotKey is a key with an exceptionally high load in the reports of its owner.
type HotKey struct {
	Key       string
	Partition uint32
	Owner     uint64
	Load      float64 // requests per second, smoothed
}

// ServiceRows is the part of the assignment policy's input that belongs to one service.
type ServiceRows struct {
	Service    *controlpb.Service
	Upstreams  []UpstreamRow // sorted by session
	Partitions []ShardRow    // index is the partition
	Overrides  []ShardRow    // sorted by key
	HotKeys    []HotKey      // in descending order of load
}

// Tables is the input of the assignment policy, sorted by service name.
type Tables struct {
	Services []ServiceRows
}
