// Package boottime reads the host's clock that counts suspensions and is never set.
package boottime
