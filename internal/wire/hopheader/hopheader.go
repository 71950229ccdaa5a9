package hopheader

import (
	"net/http"
	"strings"
)

// fixed are the canonical names of fields that are never forwarded.
var fixed = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// Names are the fields of one message that are not forwarded.
type Names struct {
	listed map[string]bool // in Connection; nil for none
}

// Of returns the names for a message with the values of its Connection field.
func Of(connection []string) Names {
	var nms Names
	for _, val := range connection {
		for part := range strings.SplitSeq(val, ",") {
			nms.add(strings.TrimSpace(part))
		}
	}
	return nms
}

func (nms *Names) add(token string) {
	name := http.CanonicalHeaderKey(token)
	if name == "" || name == "Close" || fixed[name] {
		return
	}
	if nms.listed == nil {
		nms.listed = map[string]bool{}
	}
	nms.listed[name] = true
}

// Has reports whether a field with a canonical name is not forwarded.
func (nms Names) Has(name string) bool { return fixed[name] || nms.listed[name] }

// Drop removes these fields from a header.
func Drop(hdr http.Header) {
	nms := Of(hdr["Connection"])
	for name := range fixed {
		delete(hdr, name)
	}
	for name := range nms.listed {
		delete(hdr, name)
	}
}
