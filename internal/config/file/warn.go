package file

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Check reads a configuration as Parse does, and returns warnings about a valid one, sorted by file and line: entries that
// never take effect, and limits that contradict each other.
func Check(fils map[string][]byte) (*controlpb.Configuration, []*source.Problem, error) {
	mrg := merge(fils)
	cfg, err := mrg.finish()
	if err != nil {
		return nil, nil, err
	}
	wrn := &warner{sections: mrg.sections, checker: &source.Checker{}, routes: map[string][]*controlpb.Route{}}
	for _, rte := range cfg.GetRoutes() {
		wrn.routes[rte.GetService()] = append(wrn.routes[rte.GetService()], rte)
		wrn.checkRoute(rte)
	}
	for _, svc := range cfg.GetServices() {
		wrn.checkService(svc)
	}
	return cfg, wrn.problems(), nil
}

// warner collects the warnings about a valid configuration.
type warner struct {
	sections map[string]*source.Section
	checker  *source.Checker
	routes   map[string][]*controlpb.Route // by service
}

func (wrn *warner) problems() []*source.Problem {
	var pbe *source.ProblemsError
	if errors.As(wrn.checker.Err(), &pbe) {
		return pbe.Problems()
	}
	return nil
}

// add records a warning about a key of a section.
func (wrn *warner) add(sec *source.Section, key, format string, args ...any) {
	wrn.checker.Add(sec.At(key), sec.Name()+"."+key, format, args...)
}

// checkRoute does not look for routes that another one shadows, because a valid configuration has none. A path has exactly
// one key segment, which matches any text, so that a path which matches all requests of another one is equal to it, and
// that is an error. Other paths overlap in a single request at most.
func (wrn *warner) checkRoute(rte *controlpb.Route) {
	sec := wrn.sections["route."+rte.GetName()]
	if !canMatch(rte.GetPath()) {
		wrn.add(sec, "path", "is %q, which matches no request: requests are matched in percent-encoded form, and it holds characters that are encoded there", rte.GetPath())
	}
	seen := map[string]bool{}
	for _, rgn := range rte.GetAllowedRegions() {
		if seen[rgn] {
			wrn.add(sec, "allowed_regions", "names %q twice, the second time without effect", rgn)
		}
		seen[rgn] = true
	}
}

// canMatch reports whether a request can have the literal segments of a path. Agents match the escaped path of net/url,
// which encodes some characters even if a caller sends them unencoded.
func canMatch(pth string) bool {
	sgs := strings.Split(pth, "/")
	for i, seg := range sgs {
		if isKeySegment(seg) {
			sgs[i] = "key"
		}
	}
	lit := strings.Join(sgs, "/")
	adr, err := url.ParseRequestURI(lit)
	return err == nil && adr.EscapedPath() == lit
}

// checkService warns only of settings that stand in a file. Defaults that do not fit are no mistake of the author.
func (wrn *warner) checkService(svc *controlpb.Service) {
	sec, rts := wrn.sections["service."+svc.GetName()], wrn.routes[svc.GetName()]
	if sec.Has("grants") && svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER {
		wrn.add(sec, "grants", "has no effect: only services with keys = \"number\" grant keys for a limited time")
	}
	if svc.GetColdMs() > 0 && svc.GetColdRate() == 0 {
		wrn.add(sec, "cold_time", "has no effect: cold_rate is 0, so that a cold upstream has no limit")
	}
	if len(rts) == 0 {
		wrn.checker.Add(sec.Position(), sec.Name(), "is used by no route, so that it receives no requests")
		return
	}
	if lmt := longest(rts); sec.Has("hold") && svc.GetHoldMs() > lmt.GetTimeoutMs() {
		wrn.add(
			sec, "hold", "is %s, but the longest timeout of its routes is %s (route %s), so that a request ends before its wait does",
			millis(svc.GetHoldMs()), millis(lmt.GetTimeoutMs()), lmt.GetName(),
		)
	}
	wrn.checkHedge(sec, svc)
	wrn.checkRecords(sec, svc)
}

// checkHedge warns of hedging that never happens. A second attempt counts as a try, and starts only within the timeout.
func (wrn *warner) checkHedge(sec *source.Section, svc *controlpb.Service) {
	if svc.GetHedgeAfterMs() == 0 {
		return
	}
	rts := ofKinds(wrn.routes[svc.GetName()], controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT)
	if len(rts) == 0 {
		wrn.add(sec, "hedge_after", "has no effect: only requests of kind idempotent are sent a second time, and no route of the service is of that kind")
		return
	}
	if svc.GetMaxAttempts() == 1 {
		wrn.add(sec, "hedge_after", "has no effect: max_attempts is 1, and the second attempt counts")
		return
	}
	if lmt := longest(rts); svc.GetHedgeAfterMs() >= lmt.GetTimeoutMs() {
		wrn.add(
			sec, "hedge_after", "is %s, but the longest timeout of its idempotent routes is %s (route %s), so that every request ends before it is sent a second time",
			millis(svc.GetHedgeAfterMs()), millis(lmt.GetTimeoutMs()), lmt.GetName(),
		)
	}
}

// checkRecords warns of answers to an Idempotency-Key that are never kept, or not for long enough. They are kept from the
// end of a request, while a caller that has lost the answer may wait for its timeout before it sends the request again.
func (wrn *warner) checkRecords(sec *source.Section, svc *controlpb.Service) {
	if !sec.Has("idempotency_ttl") {
		return
	}
	rts := ofKinds(wrn.routes[svc.GetName()], controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT, controlpb.RequestKind_REQUEST_KIND_UPLOAD)
	if len(rts) == 0 {
		wrn.add(sec, "idempotency_ttl", "has no effect: Idempotency-Key counts for the kinds non_idempotent and upload, and no route of the service is of these kinds")
		return
	}
	ttl := time.Duration(svc.GetIdempotencyTtlS()) * time.Second
	lmt := longest(rts)
	if tmo := time.Duration(lmt.GetTimeoutMs()) * time.Millisecond; ttl < tmo {
		wrn.add(
			sec, "idempotency_ttl", "is %s, but the timeout of route %s is %s, so that a caller which waits for a lost answer and then sends the request again may find no record, and it runs twice",
			source.ShortDuration(ttl), lmt.GetName(), source.ShortDuration(tmo),
		)
	}
}

// longest returns the route with the longest timeout.
func longest(rts []*controlpb.Route) *controlpb.Route {
	return slices.MaxFunc(rts, func(one, two *controlpb.Route) int {
		return int(one.GetTimeoutMs()) - int(two.GetTimeoutMs())
	})
}

func ofKinds(rts []*controlpb.Route, knds ...controlpb.RequestKind) []*controlpb.Route {
	var out []*controlpb.Route
	for _, rte := range rts {
		if slices.Contains(knds, rte.GetKind()) {
			out = append(out, rte)
		}
	}
	return out
}

func millis(num uint32) string { return source.ShortDuration(time.Duration(num) * time.Millisecond) }
