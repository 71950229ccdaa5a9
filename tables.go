package siskinrill

import (
	"time"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// UpstreamRow is one upstream as the assignment policy sees it.
type UpstreamRow struct {
	Session   uint64
	Zone      string
	Slots     uint32
	State     controlpb.UpstreamState // as announced; draining also when an operator drains it
	Age       time.Duration           // since the announcement
	Requests  float64                 // a second, counted by its agent
	Busy      float64                 // slots in use on average, counted by its agent
	ReportAge time.Duration           // since the last load report
}

// ShardRow is the ownership and load of a partition or override.
type ShardRow struct {
	Partition uint32
	Key       string // set: override
	Owner     uint64 // session, 0: none
	Token     uint64
	Phase     controlpb.Phase
	Target    uint64
	Retiring  bool
	Load      float64 // requests a second, smoothed
}

// HotKey is a key that stands out in a load report.
type HotKey struct {
	Key       string
	Partition uint32
	Owner     uint64
	Load      float64 // requests a second, smoothed
}

// ServiceRows are the tables of one service.
type ServiceRows struct {
	Service    *controlpb.Service
	Upstreams  []UpstreamRow // sorted by session
	Partitions []ShardRow    // index is the partition
	Overrides  []ShardRow    // sorted by key
	HotKeys    []HotKey      // highest first
}

// Tables are the entities that the assignment policy reads, sorted by service name.
type Tables struct {
	Services []ServiceRows
}
