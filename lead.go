package siskinrill

import "time"

const (
	// maxRefusalLead covers the way of a refusal to a caller 8 ms away and one scheduling delay of a host that is
	// limited to a sixth of a core.
	maxRefusalLead = 40 * time.Millisecond
	// refusalLeadShare: the timeout divided by it is the longest lead, so that short requests lose little of their time.
	refusalLeadShare = 10
)

// RefusalLead returns how long before its deadline a request that has not started is refused, given its timeout. At the
// deadline itself its caller has stopped waiting, and would not learn that nothing ran.
func RefusalLead(timeout time.Duration) time.Duration {
	return min(maxRefusalLead, timeout/refusalLeadShare)
}
