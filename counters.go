package siskinrill

import "expvar"

// Counters counts refusals, retries and other events of one process by reason; the admin address shows them.
type Counters struct {
	refusals expvar.Map
	retries  expvar.Map
	events   expvar.Map
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	cnt := &Counters{}
	cnt.refusals.Init()
	cnt.retries.Init()
	cnt.events.Init()
	return cnt
}

// Refused counts a refusal.
func (cnt *Counters) Refused(rsn Reason) { cnt.refusals.Add(string(rsn), 1) }

// Retried counts a further attempt by the reason why the one before it failed.
func (cnt *Counters) Retried(rsn Reason) { cnt.retries.Add(string(rsn), 1) }

// Event counts any other event, named in snake case.
func (cnt *Counters) Event(name string) { cnt.events.Add(name, 1) }

// Vars returns the maps by the name under which the admin address shows them.
func (cnt *Counters) Vars() map[string]expvar.Var {
	return map[string]expvar.Var{"refusals": &cnt.refusals, "retries": &cnt.retries, "events": &cnt.events}
}
