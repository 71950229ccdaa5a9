package agent

import "time"

// Options are the times of the sessions; zero values mean the defaults.
type Options struct {
	Lease         time.Duration // lease of an agent, counted from when it sent its renewal; default 1,400 ms
	Wait          time.Duration // the lease with a margin of 5% for clock rates and 20 ms, counted from when the renewal arrived; default 1,490 ms
	RenewEvery    time.Duration // between two renewals of an agent; default 250 ms
	Tick          time.Duration // of the assignment policy; default 100 ms
	ConfigLag     time.Duration // a session further behind an accepted configuration is not renewed; default 10 s
	ConfirmGather time.Duration // renewals that arrive within it share one confirmation; default 5 ms
	SendTimeout   time.Duration // a stream that takes no message for this long is closed; default 5 s
}

// hooks break single rules, so that tests can prove that they would notice.
type hooks struct {
	skipConfirm  bool // renewals are answered without confirming the leadership
	skipWait     bool // a new leader does not wait for the leases that an earlier one granted
	skipReleases bool // moves complete without the owner's release
}

func (opt Options) withDefaults() Options {
	opt.Lease = defaultTime(opt.Lease, 1400*time.Millisecond)
	opt.Wait = defaultTime(opt.Wait, 1490*time.Millisecond)
	opt.RenewEvery = defaultTime(opt.RenewEvery, 250*time.Millisecond)
	opt.Tick = defaultTime(opt.Tick, 100*time.Millisecond)
	opt.ConfigLag = defaultTime(opt.ConfigLag, 10*time.Second)
	opt.ConfirmGather = defaultTime(opt.ConfirmGather, 5*time.Millisecond)
	opt.SendTimeout = defaultTime(opt.SendTimeout, 5*time.Second)
	return opt
}

func defaultTime(val, def time.Duration) time.Duration {
	if val == 0 {
		return def
	}
	return val
}
