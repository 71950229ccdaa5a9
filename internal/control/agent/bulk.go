package agent

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// bulkFrom is the size in bytes from which a message needs a share of the room for large ones.
	bulkFrom = 16 << 10
	// bulkRoom is the number of bytes of large messages in the network at a time, to all agents together. Raft's heartbeats wait behind them on the link of this process: 0.1 s at 170 Mbit/s.
	bulkRoom = 2 << 20
	// bulkWindow is the most of one message that is in the network at a time: the window of a stream and the buffers of its sockets.
	bulkWindow = 128 << 10
	// bulkPatience is how long a share is kept for an agent that takes its message slowly, so that a few slow ones do not hold up the others.
	bulkPatience = 500 * time.Millisecond
)

// bulk divides the room for large messages among the streams, in the order of their requests.
type bulk struct {
	mut     sync.Mutex
	used    int // bytes of the shares that are granted
	waiting []*share
}

// share is a part of the room that one stream asked for.
type share struct {
	stream  *stream
	size    int
	granted bool
	over    bool // given back or taken away
}

// admit returns the stream's share, and whether it is granted; if not, the stream is woken once it is.
func (blk *bulk) admit(shr *share, stm *stream, size int) (*share, bool) {
	blk.mut.Lock()
	defer blk.mut.Unlock()
	if shr == nil || shr.over {
		shr = &share{stream: stm}
		blk.waiting = append(blk.waiting, shr)
	}
	if shr.granted {
		blk.used += size - shr.size
	}
	shr.size = size
	blk.grant()
	return shr, shr.granted
}

// grant gives out the room that is free; the lock is held.
func (blk *bulk) grant() {
	for len(blk.waiting) > 0 {
		shr := blk.waiting[0]
		if blk.used+shr.size > bulkRoom {
			return
		}
		blk.waiting = blk.waiting[1:]
		blk.used += shr.size
		shr.granted = true
		time.AfterFunc(bulkPatience, func() { blk.release(shr) })
		shr.stream.signal()
	}
}

// release gives a share back, or withdraws the request for it.
func (blk *bulk) release(shr *share) {
	blk.mut.Lock()
	defer blk.mut.Unlock()
	if shr == nil || shr.over {
		return
	}
	shr.over = true
	if shr.granted {
		blk.used -= shr.size
	} else {
		blk.waiting = slices.DeleteFunc(blk.waiting, func(oth *share) bool { return oth == shr })
	}
	blk.grant()
}

// admitted reports whether a message may be sent now.
func (stm *stream) admitted(msg *message) bool {
	size := msg.size()
	if size < bulkFrom {
		stm.releaseShare()
		return true
	}
	shr, ok := stm.term.bulk.admit(stm.share, stm, min(size, bulkWindow))
	stm.share = shr
	return ok
}

func (stm *stream) releaseShare() {
	if stm.share != nil {
		stm.term.bulk.release(stm.share)
		stm.share = nil
	}
}

// awaitTaken returns once the agent has taken most of the message before: a send of gRPC returns at once, but the next one waits until less than 64 KB of those before are left.
func (stm *stream) awaitTaken() bool {
	return stm.sendGrant(stm.answered)
}

// size returns the encoded size in bytes, 0 of no message.
func (msg *message) size() int {
	if msg == nil {
		return 0
	}
	msg.sized.Do(func() { msg.bytes = proto.Size(msg.plain) })
	return msg.bytes
}
