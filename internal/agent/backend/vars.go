package backend

import "expvar"

// Vars returns the backend server's gauges by the names under which the admin address shows them.
func (cli *Client) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"backend_state":         expvar.Func(func() any { return cli.State().String() }),
		"backend_slots":         expvar.Func(func() any { return cli.Slots() }),
		"backend_answered":      expvar.Func(func() any { return cli.Stats().Answered() }),
		"backend_failed":        expvar.Func(func() any { return cli.Stats().Failed() }),
		"backend_running":       expvar.Func(func() any { return cli.Stats().Running() }),
		"backend_failed_in_row": expvar.Func(func() any { return cli.Stats().ConsecutiveFailures() }),
		"backend_keys_held":     expvar.Func(func() any { return cli.keys.counts().held }),
		"backend_keys_partly":   expvar.Func(func() any { return cli.keys.counts().partly }),
		"backend_keys_late":     expvar.Func(func() any { return cli.keys.counts().unacknowledged }),
		"backend_keys_left_ms":  expvar.Func(func() any { return cli.keys.counts().minRemaining.Milliseconds() }),
		"backend_rate_limit":    expvar.Func(func() any { lmt, _ := cli.RateLimit(); return lmt }),
		"backend_cold_ms":       expvar.Func(func() any { return cli.StartLimit().Cold.Milliseconds() }),
		"backend_leaving":       expvar.Func(func() any { return cli.statesLeaving() }),
		"backend_latency_us":    expvar.Func(func() any { return cli.Stats().Latency().Microseconds() }),
	}
}
