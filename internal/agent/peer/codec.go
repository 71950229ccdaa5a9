package peer

import (
	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// maxPooled is the largest message in bytes for which gRPC's own codec has buffers of a similar size. It takes 1 MiB for any above it.
const maxPooled = 32 << 10

// codec encodes and decodes messages like the codec of gRPC, but large ones in buffers of just their size.
type codec struct{ encoding.CodecV2 }

func newCodec() codec { return codec{CodecV2: encoding.GetCodecV2(grpcproto.Name)} }

// Marshal encodes a message.
func (cod codec) Marshal(msg any) (mem.BufferSlice, error) {
	pbm, ok := msg.(proto.Message)
	if !ok || proto.Size(pbm) <= maxPooled {
		return cod.CodecV2.Marshal(msg)
	}
	dat, err := proto.Marshal(pbm)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(dat)}, nil
}

// Unmarshal decodes a message; a firstMessage only if memory is left for its header fields.
func (cod codec) Unmarshal(data mem.BufferSlice, msg any) error {
	if fst, ok := msg.(*firstMessage); ok {
		return fst.decode(contiguous(data))
	}
	pbm, ok := msg.(proto.Message)
	if !ok || data.Len() <= maxPooled {
		return cod.CodecV2.Unmarshal(data, msg)
	}
	return proto.Unmarshal(contiguous(data), pbm)
}

// contiguous returns the bytes of a message, which are valid until the message is freed.
func contiguous(data mem.BufferSlice) []byte {
	if len(data) == 1 {
		return data[0].ReadOnlyData()
	}
	return data.Materialize()
}

// decode decodes the message if there is memory for its header fields.
func (fst *firstMessage) decode(dat []byte) error {
	held, ok := ingress.Heads().TakeHead(headerSize(dat))
	if !ok {
		fst.refused = true
		return nil
	}
	fst.held = held
	return proto.Unmarshal(dat, &fst.msg)
}
