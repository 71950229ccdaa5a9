// Package assign decides which upstream owns which partition and hot key; it is pure and runs on each tick of the leader.
package assign
