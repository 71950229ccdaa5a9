package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Kinds of items in a record's payload; an item consists of a kind byte, a length and a message.
const (
	itemSegment   = 1 // an Entry whose index is the number of the segment; first item of each segment
	itemHardState = 2
	itemFormation = 3
	itemEntry     = 4 // an Entry that replaces all entries from its index on
	itemReset     = 5 // an Entry whose index and term are those of an installed snapshot; replaces all entries
)

const (
	recordHeaderBytes = 8 // bytes of length and checksum
	// maxRecordBytes limits the length of a record, so that a corrupt length is detected.
	maxRecordBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// newRecord returns an empty record in buf, with space for the header.
func newRecord(buf []byte) []byte {
	return append(buf[:0], make([]byte, recordHeaderBytes)...)
}

func addItem(buf []byte, kind byte, msg proto.Message) ([]byte, error) {
	buf = append(buf, kind)
	buf = protowire.AppendVarint(buf, uint64(proto.Size(msg)))
	return proto.MarshalOptions{Deterministic: true}.MarshalAppend(buf, msg)
}

// sealRecord fills in the header in front of the payload.
func sealRecord(buf []byte) error {
	payload := buf[recordHeaderBytes:]
	if len(payload) > maxRecordBytes {
		return errors.Errorf("record of %d bytes is too long", len(payload))
	}
	binary.LittleEndian.PutUint32(buf, uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[4:], crc32.Checksum(payload, castagnoli))
	return nil
}

// readRecord returns the payload of the record at the start of data, or false if the record is incomplete or invalid.
func readRecord(data []byte) ([]byte, bool) {
	if len(data) < recordHeaderBytes {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxRecordBytes || size > len(data)-recordHeaderBytes {
		return nil, false
	}
	payload := data[recordHeaderBytes : recordHeaderBytes+size]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

// validAfter reports whether a valid record begins anywhere behind the start of data, which distinguishes
// damage from a torn tail.
func validAfter(data []byte) bool {
	for off := 1; off+recordHeaderBytes < len(data); off++ {
		if _, ok := readRecord(data[off:]); ok {
			return true
		}
	}
	return false
}

// readItems calls fn with each item of a payload.
func readItems(payload []byte, fn func(kind byte, data []byte) error) error {
	for len(payload) > 0 {
		kind := payload[0]
		data, size := protowire.ConsumeBytes(payload[1:])
		if size < 0 {
			return errors.New("an item is longer than its record")
		}
		if err := fn(kind, data); err != nil {
			return err
		}
		payload = payload[1+size:]
	}
	return nil
}

func decodeEntry(data []byte) (*controlpb.Entry, error) {
	ent := &controlpb.Entry{}
	return ent, proto.Unmarshal(data, ent)
}
