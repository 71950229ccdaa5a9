package standin

import (
	"cmp"
	"time"
)

// Defaults of the options.
const (
	defaultSlots       = 18
	defaultConnections = 120
	defaultLedgerRows  = 100_000
	defaultWarmKeys    = 100_000
	defaultListen      = "127.0.0.1:0"
	// maxTimeFactor bounds a drawn service time, in medians.
	maxTimeFactor = 20
)

// Options configure a stand-in backend server.
type Options struct {
	// ID names the upstream.
	ID string
	// Service is the service that the upstream announces.
	Service string
	// Listen is the IP:port for requests; default 127.0.0.1:0.
	Listen string
	// Agent is the IP:port to which the server announces itself; empty: it does not.
	Agent string
	// Slots is how many requests run at once; default 18.
	Slots int
	// Connections is announced as the number of connections; default 120.
	Connections int
	// Backlog is how many requests wait for a slot before the server sheds; default: the number of slots.
	Backlog int
	// CheckFence makes the server refuse old fencing tokens and expired leases.
	CheckFence bool
	// HoldsKeys makes the server take numeric keys from calls of its agent and serve no others.
	HoldsKeys bool
	// NoGrants leaves out the endpoint for grants.
	NoGrants bool
	// Median is the median of the service time, which is log-normal; 0: none.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm of the service time.
	Sigma float64
	// ColdTime is how long the server is slow after its start.
	ColdTime time.Duration
	// ColdFactor multiplies the service time at the start; it falls to 1 over ColdTime.
	ColdFactor float64
	// ColdKey is added to the first request for a key since its shard was granted; 0: none.
	ColdKey time.Duration
	// WarmKeys bounds the keys whose data the server has at hand; default 100,000.
	WarmKeys int
	// Lag is the age of the figures that health and load endpoints give.
	Lag time.Duration
	// LedgerRows bounds the rows kept in memory; default 100,000.
	LedgerRows int
	// LedgerFile also takes the ledger's rows, one JSON object a line, if set.
	LedgerFile string
	// Seed seeds the random numbers; 0: from the clock.
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
