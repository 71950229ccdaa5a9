package owner

import "container/heap"

// Sizes of the hot key statistics.
const (
	// sketchCounters is the number of counters: any key with over 1/128 of the requests is among them.
	sketchCounters = 128
	// maxHotKeys is how many keys a load report contains.
	maxHotKeys = 16
)

// keyCounter counts the requests of one key.
type keyCounter struct {
	key       string
	partition uint32
	count     uint32
	maxError  uint32 // maximum overestimate, inherited from the key that it replaced
	position  int
}

// sketch counts the most frequent keys with the Space-Saving algorithm.
type sketch struct {
	byKey    map[string]*keyCounter
	counters counterHeap
}

func newSketch() *sketch {
	return &sketch{byKey: make(map[string]*keyCounter, sketchCounters), counters: make(counterHeap, 0, sketchCounters)}
}

// add counts one request of a key.
func (skt *sketch) add(key string, partition uint32) {
	cnt := skt.byKey[key]
	switch {
	case cnt != nil:
	case len(skt.counters) < sketchCounters:
		cnt = &keyCounter{key: key, partition: partition}
		skt.byKey[key] = cnt
		heap.Push(&skt.counters, cnt)
	default:
		cnt = skt.counters[0]
		delete(skt.byKey, cnt.key)
		cnt.key, cnt.partition, cnt.maxError = key, partition, cnt.count
		skt.byKey[key] = cnt
	}
	cnt.count++
	heap.Fix(&skt.counters, cnt.position)
}

func (skt *sketch) reset() {
	clear(skt.byKey)
	skt.counters = skt.counters[:0]
}

// counterHeap is a min-heap of counters.
type counterHeap []*keyCounter

// Len returns the number of counters.
func (cts counterHeap) Len() int { return len(cts) }

// Less orders by count.
func (cts counterHeap) Less(one, two int) bool { return cts[one].count < cts[two].count }

// Swap exchanges two counters.
func (cts counterHeap) Swap(one, two int) {
	cts[one], cts[two] = cts[two], cts[one]
	cts[one].position = one
	cts[two].position = two
}

// Push is used by container/heap.
func (cts *counterHeap) Push(itm any) {
	cnt := itm.(*keyCounter)
	cnt.position = len(*cts)
	*cts = append(*cts, cnt)
}

// Pop is used by container/heap.
func (cts *counterHeap) Pop() any {
	old := *cts
	cnt := old[len(old)-1]
	*cts = old[:len(old)-1]
	return cnt
}
