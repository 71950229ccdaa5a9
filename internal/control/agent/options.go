package agent

import (
	"cmp"
	"time"
)

// Options are the time parameters of sessions; zero values take the defaults.
type Options struct {
	Lease        time.Duration // lease of an agent, counted from when it sent its renewal; default 1,400 ms
	ExpireAfter  time.Duration // lease plus a margin of 5% for clock rates and 20 ms, counted from receipt of the renewal; default 1,490 ms
	RenewEvery   time.Duration // interval between renewals of an agent; default 250 ms
	Tick         time.Duration // interval of the assignment policy; default 100 ms
	ConfigLag    time.Duration // sessions that lag further behind an accepted configuration are not renewed; default 10 s
	ConfirmDelay time.Duration // delay before a leadership confirmation, so that renewals share it; default 5 ms
	Smoothing    time.Duration // time constant of the load averages; default 5 s
	SendTimeout  time.Duration // a stream whose send blocks for longer is closed; default 5 s
}

// LeaseOptions returns options for a lease duration, the defaults for 0: ExpireAfter adds a margin of 5% for
// clock rates and 20 ms, and five renewals fit into one lease.
func LeaseOptions(lease time.Duration) Options {
	if lease == 0 {
		return Options{}
	}
	return Options{Lease: lease, ExpireAfter: lease + lease/20 + 20*time.Millisecond, RenewEvery: lease / 5}
}

// hooks disable single safety rules, so that tests can prove that they would detect a violation.
type hooks struct {
	skipConfirm  bool // answer renewals without confirming leadership
	skipWait     bool // a new leader does not wait for leases granted by an earlier one
	skipReleases bool // complete moves without the owner's release
}

func (opt Options) withDefaults() Options {
	opt.Lease = cmp.Or(opt.Lease, 1400*time.Millisecond)
	opt.ExpireAfter = cmp.Or(opt.ExpireAfter, 1490*time.Millisecond)
	opt.RenewEvery = cmp.Or(opt.RenewEvery, 250*time.Millisecond)
	opt.Tick = cmp.Or(opt.Tick, 100*time.Millisecond)
	opt.ConfigLag = cmp.Or(opt.ConfigLag, 10*time.Second)
	opt.ConfirmDelay = cmp.Or(opt.ConfirmDelay, 5*time.Millisecond)
	opt.Smoothing = cmp.Or(opt.Smoothing, 5*time.Second)
	opt.SendTimeout = cmp.Or(opt.SendTimeout, 5*time.Second)
	return opt
}
