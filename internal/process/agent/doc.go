// Package agent assembles one agent: session, entry for callers, forwarding, owner, backend connection and admin API.
package agent
