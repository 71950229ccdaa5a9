// Package agent serves the sessions of agents on the leader: leases, table updates, load reports and the tick
// that runs the assignment policy.
package agent
