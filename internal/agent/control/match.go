package control

import (
	"net"
	"net/url"
	"slices"
	"sort"
	"strings"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// pattern is the path of a route; keySegment is the position of the key, -1 for none.
type pattern struct {
	route      *controlpb.Route
	segments   []string
	keySegment int
}

// routeIndex finds routes by host and path prefix, or by the first segment of their path; it is immutable.
type routeIndex struct {
	byFirstSegment map[string][]pattern
	keyFirst       []pattern                     // patterns whose first segment is the key
	prefixesByHost map[string][]*controlpb.Route // routes by path prefix, longest prefix first
}

// newRouteIndex sorts the routes by name, so that all agents prefer the same one of two that match.
func newRouteIndex(routes map[string]*controlpb.Route) *routeIndex {
	idx := &routeIndex{byFirstSegment: map[string][]pattern{}, prefixesByHost: map[string][]*controlpb.Route{}}
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		idx.add(routes[name])
	}
	for _, rts := range idx.prefixesByHost {
		slices.SortStableFunc(rts, func(one, two *controlpb.Route) int { return len(two.GetPrefix()) - len(one.GetPrefix()) })
	}
	return idx
}

func (idx *routeIndex) add(rte *controlpb.Route) {
	if rte.GetPrefix() != "" {
		host := strings.ToLower(rte.GetHost())
		idx.prefixesByHost[host] = append(idx.prefixesByHost[host], rte)
		return
	}
	pat := pattern{route: rte, segments: strings.Split(strings.TrimPrefix(rte.GetPath(), "/"), "/"), keySegment: -1}
	for num, seg := range pat.segments {
		if strings.HasPrefix(seg, "{") && strings.HasSuffix(seg, "}") {
			pat.keySegment = num
		}
	}
	if pat.keySegment == 0 {
		idx.keyFirst = append(idx.keyFirst, pat)
		return
	}
	fst := pat.segments[0]
	idx.byFirstSegment[fst] = append(idx.byFirstSegment[fst], pat)
}

// match returns the route and the key in the path, or the reason why there is none. A route by path prefix has
// no key in the path: it comes with the request.
func (idx *routeIndex) match(host, method, path string) (*controlpb.Route, string, siskinrill.Reason) {
	if rte := idx.byPrefix(host, path); rte != nil {
		return rte, "", ""
	}
	rsn := siskinrill.ReasonNoRoute
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return nil, "", rsn
	}
	fst, _, _ := strings.Cut(rest, "/")
	for _, pats := range [2][]pattern{idx.byFirstSegment[fst], idx.keyFirst} {
		for num := range pats {
			seg, ok := pats[num].key(rest)
			if !ok {
				continue
			}
			if pats[num].route.GetMethod() != method {
				rsn = siskinrill.ReasonMethodNotAllowed
				continue
			}
			key, err := url.PathUnescape(seg)
			if err != nil {
				return nil, "", siskinrill.ReasonBadRequest
			}
			return pats[num].route, key, ""
		}
	}
	return nil, "", rsn
}

// byPrefix returns the host's route with the longest matching path prefix, nil if there is none.
func (idx *routeIndex) byPrefix(host, path string) *controlpb.Route {
	if len(idx.prefixesByHost) == 0 {
		return nil
	}
	for _, rte := range idx.prefixesByHost[hostName(host)] {
		if strings.HasPrefix(path, rte.GetPrefix()) {
			return rte
		}
	}
	return nil
}

// hostName returns a Host header in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// key returns the escaped key segment of a path without its leading slash, and whether the path matches.
func (pat *pattern) key(rest string) (string, bool) {
	key, last := "", len(pat.segments)-1
	for num, segment := range pat.segments {
		seg, tail, more := strings.Cut(rest, "/")
		if more == (num == last) {
			return "", false
		}
		rest = tail
		if num == pat.keySegment {
			key = seg
			continue
		}
		if seg != segment {
			return "", false
		}
	}
	return key, pat.keySegment < 0 || key != ""
}
