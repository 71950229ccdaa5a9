// Package backend is the HTTP client of the backend server on this host: announcements, grants, requests
// and failure detection.
//
// # Time-limited holds
//
// Some servers hold their keys only for a limited time, granted in the answers to their heartbeats or by
// calls from this package. keys.go has the state that both carriers share, hold.go the handling of
// heartbeats, direct.go the handling of calls, revoke.go the conditions under which a key is free, and
// grantloop.go sends the calls.
//
// # Write tracking
//
// Each connection asks the gate of its current request before it writes. The gate refuses the first
// write after the end of the lease, after the end of the request, and after the server was reported
// as failed, and it records whether a write was started. A request counts as not run only if none was,
// or if the server proves it with Siskinrill-Not-Run and a status of 409, 412, 421, 429 or 503,
// where the refusal on a connection that was used before must repeat Siskinrill-Attempt.
//
// # Retries by net/http
//
// net/http retries a request by itself if it can read the body again. Bodies here have no GetBody,
// and http.NoBody is used only where neither the method nor an Idempotency-Key lets net/http retry
// the request, or where the request is idempotent. Connections close after 200 ms of idle time by default, and
// the pool does not reuse older ones, so that no request is sent over a connection that has stopped responding.
package backend
