package siskinrill

import "github.com/cespare/xxhash/v2"

// MaxKeyBytes is the longest key accepted.
const MaxKeyBytes = 256

// Partition returns the hash partition of a key, in 0 to partitions-1; partitions must not be 0.
func Partition(svc, key string, partitions uint32) uint32 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(svc)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(key)
	return uint32(dig.Sum64() % uint64(partitions))
}
