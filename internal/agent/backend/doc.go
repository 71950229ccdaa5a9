// Package backend speaks HTTP with the backend server on this host: announcements, grants, requests,
// and the detection of its failure.
//
// # Keys that are held for a limited time
//
// Some servers hold their keys only while they are granted, by the answers to their heartbeats or by
// calls of this package. keys.go has the state that both share, hold.go what heartbeats change,
// direct.go what calls change, revoke.go when a key is free, and grantloop.go the calls themselves.
//
// # What was written
//
// Each connection asks the gate of its current request before it writes. The gate refuses the first
// write after the end of the lease, after the end of the request, and after the server was reported
// as failed; and it knows whether a write was begun. A request counts as not run only if none was,
// or if the server proves it with Siskinrill-Not-Run and a status of 409, 412, 429 or 503.
//
// # Repetition
//
// net/http repeats a request by itself if it can read the body again. Bodies here have no GetBody,
// and http.NoBody is used only where neither the method nor an Idempotency-Key lets net/http repeat
// the request, or where the request is idempotent. All connections close after 200 ms without use,
// and the pool does not hand out older ones, so that no request uses a connection that has gone silent.
package backend
