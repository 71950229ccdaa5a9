package agent

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// minBulkSize is the encoded size in bytes from which a message counts against the limit for bulk messages.
	minBulkSize = 16 << 10
	// maxBulkInFlight limits the bytes of bulk messages in transit to all agents together. Raft heartbeats
	// queue behind them on this process's link: at most 0.1 s at 170 Mbit/s.
	maxBulkInFlight = 2 << 20
	// maxBulkPerStream is how much of one message can be in transit: the stream's flow-control window and its
	// socket buffers.
	maxBulkPerStream = 128 << 10
	// bulkShareTimeout is how long an agent that reads slowly keeps its share, so that a few slow agents do not
	// block the others.
	bulkShareTimeout = 500 * time.Millisecond
)

// bulkLimiter divides maxBulkInFlight among the streams, first come, first served.
type bulkLimiter struct {
	mut      sync.Mutex
	inFlight int // sum of the granted shares in bytes
	waiting  []*share
}

// share is the part of maxBulkInFlight that one stream has requested.
type share struct {
	stream  *stream
	size    int
	granted bool
	ended   bool // released, timed out or withdrawn
}

// request returns the stream's share and whether it is granted; the stream is woken when a pending share is
// granted later. An ended share is replaced by a new one.
func (blk *bulkLimiter) request(shr *share, stm *stream, size int) (*share, bool) {
	blk.mut.Lock()
	defer blk.mut.Unlock()
	if shr == nil || shr.ended {
		shr = &share{stream: stm}
		blk.waiting = append(blk.waiting, shr)
	}
	if shr.granted {
		blk.inFlight += size - shr.size
	}
	shr.size = size
	blk.grantWaiting()
	return shr, shr.granted
}

// grantWaiting grants waiting shares in order until the limit is reached; the lock is held.
func (blk *bulkLimiter) grantWaiting() {
	for len(blk.waiting) > 0 {
		shr := blk.waiting[0]
		if blk.inFlight+shr.size > maxBulkInFlight {
			return
		}
		blk.waiting = blk.waiting[1:]
		blk.inFlight += shr.size
		shr.granted = true
		time.AfterFunc(bulkShareTimeout, func() { blk.release(shr) })
		shr.stream.signal()
	}
}

// release returns a granted share, or withdraws the request for one.
func (blk *bulkLimiter) release(shr *share) {
	blk.mut.Lock()
	defer blk.mut.Unlock()
	if shr == nil || shr.ended {
		return
	}
	shr.ended = true
	if shr.granted {
		blk.inFlight -= shr.size
	} else {
		blk.waiting = slices.DeleteFunc(blk.waiting, func(oth *share) bool { return oth == shr })
	}
	blk.grantWaiting()
}

// admit reports whether a message may be sent now; small messages always may.
func (stm *stream) admit(msg *message) bool {
	size := msg.size()
	if size < minBulkSize {
		stm.releaseShare()
		return true
	}
	shr, ok := stm.term.bulk.request(stm.share, stm, min(size, maxBulkPerStream))
	stm.share = shr
	return ok
}

func (stm *stream) releaseShare() {
	if stm.share != nil {
		stm.term.bulk.release(stm.share)
		stm.share = nil
	}
}

// awaitSent blocks until the agent has received most of the previous message: Send of gRPC returns immediately,
// but the next Send blocks until less than 64 KB are queued. It repeats the last renewal answer for that.
func (stm *stream) awaitSent() bool {
	return stm.sendGrant(stm.answered)
}

// size returns the encoded size in bytes, 0 for nil.
func (msg *message) size() int {
	if msg == nil {
		return 0
	}
	msg.sizeOnce.Do(func() { msg.bytes = proto.Size(msg.plain) })
	return msg.bytes
}
