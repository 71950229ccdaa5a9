package standin

import (
	"cmp"
	"time"
)

const (
	defaultSlots       = 18
	defaultConnections = 120
	defaultLedgerRows  = 100_000
	defaultWarmKeys    = 100_000
	defaultListen      = "127.0.0.1:0"
	// maxTimeFactor bounds a drawn service time, as a multiple of the median.
	maxTimeFactor = 20
)

// Options configure a stand-in backend server.
type Options struct {
	// ID is the upstream's id in the announcement.
	ID string
	// Service is the service that the upstream announces.
	Service string
	// Listen is the IP:port for requests; default 127.0.0.1:0.
	Listen string
	// Agent is the IP:port to which the server announces itself; no announcements if empty.
	Agent string
	// Slots is the maximum number of concurrently running requests; default 18.
	Slots int
	// Connections is the number of connections to announce; default 120.
	Connections int
	// Backlog is the maximum number of requests that wait for a slot, further ones are shed; default: Slots.
	Backlog int
	// CheckFence makes the server refuse requests with an outdated fencing token or an expired lease.
	CheckFence bool
	// HoldsKeys makes the server serve only numeric keys that its agent granted through /keys/grant.
	HoldsKeys bool
	// HeartbeatHolds makes the server serve only numeric keys that the answers to its announcements grant.
	HeartbeatHolds bool
	// KeepsSingleKeys makes a server with HeartbeatHolds release the keys that an answer leaves out one by one: it keeps, and announces,
	// only those that requests run for. Otherwise it releases whole ranges.
	KeepsSingleKeys bool
	// Numbered makes the server announce an incarnation, which increases with each start.
	Numbered bool
	// NoGrants disables the /grants endpoint.
	NoGrants bool
	// Median is the median of the log-normal service time; 0 answers without delay.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// ColdTime is the length of the cold start after the server's start.
	ColdTime time.Duration
	// ColdFactor multiplies the service time at the start, and decreases linearly to 1 over ColdTime.
	ColdFactor float64
	// ColdRate is how many requests a second the server tolerates while it is cold, which it then states in announcements
	// and answers of its health path; 0: no limit.
	ColdRate float64
	// ColdCrash closes the server when it gets more than it tolerates; otherwise it counts an overrun.
	ColdCrash bool
	// CrashPath is the start of the paths of requests that close the server while they run; default: none.
	CrashPath string
	// ColdKey is the extra service time of a request for a key that is not cached; 0: none.
	ColdKey time.Duration
	// WarmKeys is the maximum number of cached keys; default 100,000.
	WarmKeys int
	// Lag is the age of the samples that the health and load endpoints report.
	Lag time.Duration
	// LedgerRows is the maximum number of ledger rows in memory; default 100,000.
	LedgerRows int
	// LedgerFile is a file to which ledger rows are appended, one JSON object per line; no file if empty.
	LedgerFile string
	// Seed seeds the random numbers; 0 uses the clock.
	Seed uint64
}

func (opt Options) withDefaults() Options {
	opt.Slots = cmp.Or(opt.Slots, defaultSlots)
	opt.Connections = cmp.Or(opt.Connections, defaultConnections)
	opt.Backlog = cmp.Or(opt.Backlog, opt.Slots)
	opt.LedgerRows = cmp.Or(opt.LedgerRows, defaultLedgerRows)
	opt.WarmKeys = cmp.Or(opt.WarmKeys, defaultWarmKeys)
	if opt.Listen == "" {
		opt.Listen = defaultListen
	}
	if opt.Seed == 0 {
		opt.Seed = uint64(time.Now().UnixNano())
	}
	return opt
}
