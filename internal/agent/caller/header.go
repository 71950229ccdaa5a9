package caller

import (
	"net/http"
	"strings"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/headerfield"
	"github.com/siskinrill/siskinrill/internal/wire/hopheader"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// The router's own headers are not accepted from callers, because they carry fencing tokens and outcomes.
const reservedPrefix = "Siskinrill-"

// forwardedHeaders returns the request headers to send to the owner, and the Host among them.
func forwardedHeaders(req *http.Request) []*peerpb.HeaderField {
	hdr := req.Header
	slab := make([]peerpb.HeaderField, len(hdr)+1)
	fields := make([]*peerpb.HeaderField, 0, len(hdr)+1)
	if req.Host != "" {
		fld := &slab[0]
		headerfield.Set(fld, siskinrill.HeaderHost, []string{req.Host})
		fields = append(fields, fld)
	}
	hop := hopheader.Of(hdr["Connection"])
	for name, vals := range hdr {
		if hop.Has(name) || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		fld := &slab[len(fields)]
		headerfield.Set(fld, name, vals)
		fields = append(fields, fld)
	}
	return fields
}

// copyAnswerHeaders copies the headers of an answer except hop-by-hop ones.
func copyAnswerHeaders(hdr http.Header, fields []*peerpb.HeaderField) {
	var connection []string
	for _, fld := range fields {
		if strings.EqualFold(fld.GetName(), "Connection") {
			connection = append(connection, fld.GetValues()...)
		}
	}
	hop := hopheader.Of(connection)
	for _, fld := range fields {
		name := http.CanonicalHeaderKey(fld.GetName())
		if hop.Has(name) {
			continue
		}
		hdr[name] = append(hdr[name], headerfield.Values(fld)...)
	}
}
