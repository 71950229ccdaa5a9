// Package agent serves the sessions of the agents at the leader: leases, the watch, load reports and the tick that runs the assignment policy.
package agent
