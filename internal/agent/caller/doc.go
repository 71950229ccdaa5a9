// Package caller accepts the requests of callers over HTTP and carries each to the owner of its key.
package caller
