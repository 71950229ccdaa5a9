// Package reqtarget carries the target of a request, its path and query, from the caller to the backend server with the same bytes.
package reqtarget

import (
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// doubleSlash begins paths that net/http would write as an authority if they were opaque.
const doubleSlash = "//"

// Of returns the target of a request as its caller sent it, without the scheme and authority of an absolute target. The error
// states why it cannot be carried.
func Of(req *http.Request) (string, error) {
	raw := req.RequestURI
	if raw == "" { // not read from a connection
		raw = req.URL.RequestURI()
	}
	if _, rest, absolute := strings.Cut(raw, "://"); absolute && !strings.HasPrefix(raw, "/") {
		raw = afterAuthority(rest)
	}
	switch {
	case !strings.HasPrefix(raw, "/"):
		return "", errors.New("the target of the request has no path")
	case !utf8.ValidString(raw):
		return "", errors.New("the target of the request is not valid UTF-8; encode such bytes as %XX")
	case strings.HasPrefix(raw, doubleSlash) && URL(&url.URL{}, raw).RequestURI() != raw:
		return "", errors.New("the target of the request begins with // and has bytes that must be encoded as %XX")
	}
	return raw, nil
}

// afterAuthority returns what follows the authority of an absolute target.
func afterAuthority(rest string) string {
	pos := strings.IndexAny(rest, "/?")
	if pos < 0 {
		return "/"
	}
	if rest[pos] == '?' {
		return "/" + rest[pos:]
	}
	return rest[pos:]
}

// URL returns the URL of a request to a server, whose RequestURI is the path of the server's base URL followed by the target.
func URL(base *url.URL, target string) *url.URL {
	path, query, hasQuery := strings.Cut(base.EscapedPath()+target, "?")
	loc := &url.URL{Scheme: base.Scheme, Host: base.Host, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if !strings.HasPrefix(path, doubleSlash) {
		loc.Opaque = path
		return loc
	}
	loc.RawPath = path
	loc.Path, _ = url.PathUnescape(path)
	return loc
}
