// Package roundtrip estimates round trips and how long an answer may be waited for.
package roundtrip
