package peer

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// Numbers of fields in peer.proto.
const (
	fieldOpen    = 1 // of EntryMessage
	fieldHeaders = 9 // of Open
	fieldValues  = 2 // of HeaderField
)

// firstMessage is the first message of an attempt. It is only decoded if memory is left for its header fields.
type firstMessage struct {
	msg     peerpb.EntryMessage
	held    int64
	refused bool // msg was not decoded
}

// release gives back the memory for the header fields.
func (fst *firstMessage) release() { ingress.Heads().Return(fst.held) }

// headerSize returns the bytes and the lines of the header fields in an encoded EntryMessage.
func headerSize(msg []byte) (size, lines int) {
	eachField(msg, fieldOpen, func(opn []byte) {
		eachField(opn, fieldHeaders, func(fld []byte) {
			values := 0
			eachField(fld, fieldValues, func([]byte) { values++ })
			size += len(fld)
			lines += max(values, 1)
		})
	})
	return size, lines
}

// eachField calls a function for each occurrence of a field of variable length in an encoded message, up to its end or to what is not
// valid.
func eachField(msg []byte, want protowire.Number, call func(val []byte)) {
	for len(msg) > 0 {
		num, typ, tagged := protowire.ConsumeTag(msg)
		if tagged < 0 {
			return
		}
		length := protowire.ConsumeFieldValue(num, typ, msg[tagged:])
		if length < 0 {
			return
		}
		if num == want && typ == protowire.BytesType {
			val, _ := protowire.ConsumeBytes(msg[tagged:])
			call(val)
		}
		msg = msg[tagged+length:]
	}
}
