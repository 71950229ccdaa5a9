package agent

import (
	"cmp"
	"time"
)

// Options are the times of the sessions; zero values mean the defaults.
type Options struct {
	Lease        time.Duration // lease of an agent, counted from when it sent its renewal; default 1,400 ms
	ExpireAfter  time.Duration // the lease with a margin of 5% for clock rates and 20 ms, counted from when the renewal arrived; default 1,490 ms
	RenewEvery   time.Duration // between two renewals of an agent; default 250 ms
	Tick         time.Duration // of the assignment policy; default 100 ms
	ConfigLag    time.Duration // a session further behind an accepted configuration is not renewed; default 10 s
	ConfirmDelay time.Duration // renewals that arrive within it share one confirmation; default 5 ms
	Smoothing    time.Duration // time constant of the load figures; default 5 s
	SendTimeout  time.Duration // a stream that takes no message for this long is closed; default 5 s
}

// LeaseOptions returns options for a lease of an agent, the defaults for 0; the wait for its end has a margin of 5% for clock rates and 20 ms, and five renewals fit into it.
func LeaseOptions(lease time.Duration) Options {
	if lease == 0 {
		return Options{}
	}
	return Options{Lease: lease, ExpireAfter: lease + lease/20 + 20*time.Millisecond, RenewEvery: lease / 5}
}

// hooks break single rules, so that tests can prove that they would notice.
type hooks struct {
	skipConfirm  bool // renewals are answered without confirming the leadership
	skipWait     bool // a new leader does not wait for the leases that an earlier one granted
	skipReleases bool // moves complete without the owner's release
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
