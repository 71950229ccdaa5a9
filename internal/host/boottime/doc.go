// Package boottime reads the clock of the host that counts the time since boot, including suspensions, and cannot be set.
package boottime
