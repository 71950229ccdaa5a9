package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
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

// Of returns the fingerprint of a request; callerHeaders are the canonical names of the headers that tell callers apart.
// The hash is cryptographic, because a caller could otherwise send requests that have the fingerprint of another's.
func Of(req Request, callerHeaders []string) uint64 {
	dig := sha256.New()
	write(dig, req.Service)
	write(dig, req.Method)
	write(dig, req.Target)
	for _, name := range callerHeaders {
		for _, val := range values(req.Headers, name) {
			write(dig, val)
		}
		write(dig, "")
	}
	writeInt(dig, knownLength(req.Length))
	_, _ = dig.Write(req.Body[:min(len(req.Body), MaxBody)])
	return binary.BigEndian.Uint64(dig.Sum(nil))
}

// OfAttempt returns the fingerprint of an attempt whose body has been received as far as MaxBody.
func OfAttempt(opn *peerpb.Open, callerHeaders []string) uint64 {
	lng := opn.GetBodyLength()
	if opn.GetBodyEnd() {
		lng = int64(len(opn.GetBody()))
	}
	return Of(Request{
		Service: opn.GetService(), Method: opn.GetMethod(), Target: opn.GetTarget(),
		Headers: opn.GetHeaders(), Body: opn.GetBody(), Length: lng,
	}, callerHeaders)
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

// write adds a text with its length, so that no two lists of texts give the same bytes.
func write(dig hash.Hash, txt string) {
	writeInt(dig, int64(len(txt)))
	_, _ = io.WriteString(dig, txt)
}

func writeInt(dig hash.Hash, num int64) {
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], uint64(num))
	_, _ = dig.Write(buf[:])
}
