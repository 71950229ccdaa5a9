// Package assign decides which upstream owns each partition and hot key; it has no I/O and runs once per tick
// on the leader.
package assign
