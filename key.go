package siskinrill

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// MaxKeyBytes is the maximum length of a key; requests with a longer one are refused.
const MaxKeyBytes = 256

// NumericKeyCount is how many keys a service with numeric keys has; they are 0 to 65535.
const NumericKeyCount = 1 << 16

// HashPartition returns the partition of a text key, 0 to partitions-1, by the xxHash of service and key; partitions must not be 0.
func HashPartition(svc, key string, partitions uint32) uint32 {
	var dig xxhash.Digest
	dig.Reset()
	_, _ = dig.WriteString(svc)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(key)
	return uint32(dig.Sum64() % uint64(partitions))
}

// PartitionOf returns the partition of a key by the key mode of its service, always 0 for a service without keys, and
// false for a key that is not valid in that mode.
func PartitionOf(svc *controlpb.Service, key string) (uint32, bool) {
	num := svc.GetPartitions()
	switch svc.GetKeyMode() {
	case controlpb.KeyMode_KEY_MODE_NONE:
		return 0, true
	case controlpb.KeyMode_KEY_MODE_NUMBER:
		val, err := strconv.ParseUint(key, 10, 32)
		if err != nil || val >= NumericKeyCount || num == 0 {
			return 0, false
		}
		return NumericPartition(uint32(val), num), true
	default:
		if num == 0 {
			return 0, false
		}
		return HashPartition(svc.GetName(), key, num), true
	}
}

// NumericPartition returns the partition of a numeric key; partitions must not be 0.
func NumericPartition(key, partitions uint32) uint32 {
	return uint32(uint64(key) * uint64(partitions) / NumericKeyCount)
}

// KeyRange returns the first and the last key of a partition of a service with numeric keys.
func KeyRange(par, partitions uint32) (first, last uint32) {
	return rangeStart(par, partitions), rangeStart(par+1, partitions) - 1
}

// ValidKeyRange reports whether a range, both ends included, is one of numeric keys.
func ValidKeyRange(first, last uint32) bool { return first <= last && last < NumericKeyCount }

// rangeStart returns the lowest key whose partition is par or above, which rounds par*65536/partitions up.
func rangeStart(par, partitions uint32) uint32 {
	num := uint64(partitions)
	return uint32((uint64(par)*NumericKeyCount + num - 1) / num)
}
