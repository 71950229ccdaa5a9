package siskinrill

import "expvar"

// Counters counts the refusals, retries and other events of one process by reason, for the admin API.
type Counters struct {
	refusals expvar.Map
	retries  expvar.Map
	events   expvar.Map
}

// NewCounters returns counters with all values at zero.
func NewCounters() *Counters {
	cnt := &Counters{}
	cnt.refusals.Init()
	cnt.retries.Init()
	cnt.events.Init()
	return cnt
}

// Refused increments the refusal counter of a reason.
func (cnt *Counters) Refused(rsn Reason) { cnt.refusals.Add(string(rsn), 1) }

// Retried increments the retry counter of the reason for which the previous attempt failed.
func (cnt *Counters) Retried(rsn Reason) { cnt.retries.Add(string(rsn), 1) }

// Event increments the counter of any other event, whose name is in snake case.
func (cnt *Counters) Event(name string) { cnt.events.Add(name, 1) }

// Vars returns the counter maps by the name under which the admin API publishes them.
func (cnt *Counters) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{"refusals": &cnt.refusals, "retries": &cnt.retries, "events": &cnt.events}
}
