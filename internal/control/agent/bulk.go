package agent

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// minBulkSize is the size in bytes from which a message needs a share of the room for large ones.
	minBulkSize = 16 << 10
	// maxBulkInFlight is the number of bytes of large messages in the network at a time, to all agents together. Raft's heartbeats wait behind them on the link of this process: 0.1 s at 170 Mbit/s.
	maxBulkInFlight = 2 << 20
	// maxBulkPerStream is the most of one message that is in the network at a time: the window of a stream and the buffers of its sockets.
	maxBulkPerStream = 128 << 10
	// bulkShareTimeout is how long a share is kept for an agent that takes its message slowly, so that a few slow ones do not hold up the others.
	bulkShareTimeout = 500 * time.Millisecond
)

// bulkLimiter divides the room for large messages among the streams, in the order of their requests.
type bulkLimiter struct {
	mut      sync.Mutex
	inFlight int // bytes of the shares that are granted
	waiting  []*share
}

// share is a part of the room that one stream asked for.
type share struct {
	stream  *stream
	size    int
	granted bool
	ended   bool // given back or taken away
}

// request returns the stream's share, and whether it is granted; if not, the stream is woken once it is.
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

// grantWaiting gives out the room that is free; the lock is held.
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

// release gives a share back, or withdraws the request for it.
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

// admit reports whether a message may be sent now.
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

// awaitSent returns once the agent has taken most of the message before: a send of gRPC returns at once, but the next one waits until less than 64 KB of those before are left.
func (stm *stream) awaitSent() bool {
	return stm.sendGrant(stm.answered)
}

// size returns the encoded size in bytes, 0 of no message.
func (msg *message) size() int {
	if msg == nil {
		return 0
	}
	msg.sizeOnce.Do(func() { msg.bytes = proto.Size(msg.plain) })
	return msg.bytes
}
