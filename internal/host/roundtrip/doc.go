// Package roundtrip estimates round-trip times and, from them, timeouts for answers.
package roundtrip
