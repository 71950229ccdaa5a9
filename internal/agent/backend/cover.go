package backend

// cover visits the partitions that ranges of keys touch, each only until a range has contained it. So the time grows with the number of
// ranges and of partitions, however much the ranges overlap.
type cover struct {
	partitions uint32
	next       []uint32 // by partition, itself or a later one before which all are contained in a range
}

func newCover(partitions uint32) *cover {
	cov := &cover{partitions: partitions, next: make([]uint32, partitions+1)}
	for par := range cov.next {
		cov.next[par] = uint32(par)
	}
	return cov
}

// visit calls a function for each partition that shares a key with a valid range and that no earlier range contained; whole tells that
// this range contains it.
func (cov *cover) visit(first, last uint32, each func(par uint32, whole bool)) {
	from, to := partitionsTouching(first, last, cov.partitions)
	for par := cov.find(from); par <= to; par = cov.find(par + 1) {
		whole := containsPartition(first, last, par, cov.partitions)
		if whole {
			cov.next[par] = par + 1
		}
		each(par, whole)
	}
}

// find returns the first partition from par on that no range contained, or the number of partitions.
func (cov *cover) find(par uint32) uint32 {
	for cov.next[par] != par {
		cov.next[par] = cov.next[cov.next[par]]
		par = cov.next[par]
	}
	return par
}
