package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/maphash"
	"slices"

	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// MaxBody is how many bytes of a body count. Every agent through which a request passes has at least these in memory before
// the request runs.
const MaxBody = 64 << 10

// Request is what identifies a request: everything else, such as ids and deadlines, differs when it is sent again.
type Request struct {
	Service string
	Method  string
	Target  string // path and query
	Headers []*peerpb.HeaderField
	Body    []byte // the first MaxBody bytes or more, or the complete body
	Length  int64  // of the complete body, -1 if not known
}

// usualSize is the size in bytes of the identity of most requests without their bodies.
const usualSize = 512

// Of returns the fingerprint of a request; callerHeaders are the canonical names of the headers that tell callers apart.
// The hash is cryptographic, because a caller could otherwise send requests that have the fingerprint of another's.
func Of(req Request, callerHeaders []string) uint64 {
	dig := sha256.New()
	_, _ = dig.Write(req.appendHead(nil, callerHeaders))
	_, _ = dig.Write(req.countedBody())
	return binary.BigEndian.Uint64(dig.Sum(nil))
}

// local returns a hash of the same that is cheaper and only valid with the seed.
func local(req Request, callerHeaders []string, seed maphash.Seed) uint64 {
	var dig maphash.Hash
	dig.SetSeed(seed)
	var arr [usualSize]byte
	_, _ = dig.Write(req.appendHead(arr[:0], callerHeaders))
	_, _ = dig.Write(req.countedBody())
	return dig.Sum64()
}

// appendHead appends all that identifies the request but its body. Texts have their lengths, so that no two lists of texts
// give the same bytes.
func (req *Request) appendHead(buf []byte, callerHeaders []string) []byte {
	buf = appendText(buf, req.Service)
	buf = appendText(buf, req.Method)
	buf = appendText(buf, req.Target)
	for _, name := range callerHeaders {
		for _, val := range values(req.Headers, name) {
			buf = appendText(buf, val)
		}
		buf = appendText(buf, "")
	}
	return binary.BigEndian.AppendUint64(buf, uint64(knownLength(req.Length)))
}

// countedBody returns the part of the body that identifies the request.
func (req *Request) countedBody() []byte { return req.Body[:min(len(req.Body), MaxBody)] }

// OfAttempt returns the fingerprint of an attempt whose body has been received as far as MaxBody.
func OfAttempt(opn *peerpb.Open, callerHeaders []string) uint64 {
	return Of(requestOf(opn), callerHeaders)
}

// LocalOfAttempt returns a hash of the same that is cheaper and only valid with the seed.
func LocalOfAttempt(opn *peerpb.Open, callerHeaders []string, seed maphash.Seed) uint64 {
	return local(requestOf(opn), callerHeaders, seed)
}

func requestOf(opn *peerpb.Open) Request {
	lng := opn.GetBodyLength()
	if opn.GetBodyEnd() {
		lng = int64(len(opn.GetBody()))
	}
	return Request{
		Service: opn.GetService(), Method: opn.GetMethod(), Target: opn.GetTarget(),
		Headers: opn.GetHeaders(), Body: opn.GetBody(), Length: lng,
	}
}

// knownLength returns the length of a body, -1 if it is longer than MaxBody: of such a body the entry may not know it.
func knownLength(num int64) int64 {
	if num > MaxBody {
		return -1
	}
	return num
}

func values(fields []*peerpb.HeaderField, name string) []string {
	pos := slices.IndexFunc(fields, func(fld *peerpb.HeaderField) bool { return fld.GetName() == name })
	if pos < 0 {
		return nil
	}
	return fields[pos].GetValues()
}

func appendText(buf []byte, txt string) []byte {
	return append(binary.BigEndian.AppendUint64(buf, uint64(len(txt))), txt...)
}
