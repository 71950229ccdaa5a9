// Package agent assembles an agent process from its session with control, the entry for callers, forwarding to other
// agents, the owner, the connection to the backend server and the admin API.
package agent
