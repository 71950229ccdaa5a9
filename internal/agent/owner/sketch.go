package owner

import "container/heap"

// Sizes of the hot key figures.
const (
	// sketchCounters is the number of counters: any key with over 1/128 of the requests is among them.
	sketchCounters = 128
	// hotKeys is how many keys a load report carries.
	hotKeys = 16
)

// hotCount is the counter of one key.
type hotCount struct {
	key       string
	partition uint32
	count     uint32
	excess    uint32 // what the counter may have taken over from other keys
	position  int
}

// sketch counts the most frequent keys by Space-Saving.
type sketch struct {
	byKey map[string]*hotCount
	least counts
}

func newSketch() *sketch {
	return &sketch{byKey: make(map[string]*hotCount, sketchCounters), least: make(counts, 0, sketchCounters)}
}

// add counts one request of a key.
func (skt *sketch) add(key string, partition uint32) {
	cnt := skt.byKey[key]
	switch {
	case cnt != nil:
	case len(skt.least) < sketchCounters:
		cnt = &hotCount{key: key, partition: partition}
		skt.byKey[key] = cnt
		heap.Push(&skt.least, cnt)
	default:
		cnt = skt.least[0]
		delete(skt.byKey, cnt.key)
		cnt.key, cnt.partition, cnt.excess = key, partition, cnt.count
		skt.byKey[key] = cnt
	}
	cnt.count++
	heap.Fix(&skt.least, cnt.position)
}

// reset forgets all counts.
func (skt *sketch) reset() {
	clear(skt.byKey)
	skt.least = skt.least[:0]
}

// counts is a heap with the lowest counter first.
type counts []*hotCount

// Len returns the number of counters.
func (cts counts) Len() int { return len(cts) }

// Less orders by count.
func (cts counts) Less(one, two int) bool { return cts[one].count < cts[two].count }

// Swap exchanges two counters.
func (cts counts) Swap(one, two int) {
	cts[one], cts[two] = cts[two], cts[one]
	cts[one].position = one
	cts[two].position = two
}

// Push is used by container/heap.
func (cts *counts) Push(itm any) {
	cnt := itm.(*hotCount)
	cnt.position = len(*cts)
	*cts = append(*cts, cnt)
}

// Pop is used by container/heap.
func (cts *counts) Pop() any {
	old := *cts
	cnt := old[len(old)-1]
	*cts = old[:len(old)-1]
	return cnt
}
