// Package backend speaks HTTP with the backend server on this host: announcements, grants, requests,
// and the detection of its failure.
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
