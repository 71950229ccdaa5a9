package file

import (
	"sort"
	"strings"
	"time"

	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// Defaults and limits of the values; the defaults are those of the design page. An agent replaces 0 by its own default,
// so only hedge_after, cold_time and cold_rate may be 0, where they disable hedging and the limit of a cold upstream.
const (
	minPartitions      = 16
	maxPartitions      = 16384
	defaultPartitions  = 256
	defaultQueue       = 256
	maxQueue           = 100000
	defaultRamp        = 5 * time.Second
	maxRamp            = 10 * time.Minute
	maxCold            = time.Hour
	maxColdRate        = 1e6
	defaultAttempts    = 3
	maxAttempts        = 10
	defaultBudget      = 10
	defaultRetryMin    = 10
	maxRetryMin        = 100000
	maxHedgeAfter      = time.Minute
	defaultHold        = 3 * time.Second
	maxHold            = time.Minute
	defaultIdempotency = 10 * time.Minute
	maxIdempotency     = 24 * time.Hour
	defaultOutstanding = 512
	maxOutstanding     = 100000
	defaultTimeout     = 10 * time.Second
	maxTimeout         = 10 * time.Minute
	defaultBody        = 1 << 20
	defaultUpload      = 64 << 20
	maxBody            = 16 << 30
	maxNameBytes       = 63
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var kinds = map[string]controlpb.RequestKind{
	"idempotent":     controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT,
	"non_idempotent": controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT,
	"upload":         controlpb.RequestKind_REQUEST_KIND_UPLOAD,
	"download":       controlpb.RequestKind_REQUEST_KIND_DOWNLOAD,
}

// keyModes are the ways in which the keys of a service may be divided among its upstreams.
var keyModes = map[string]controlpb.KeyMode{
	"text":   controlpb.KeyMode_KEY_MODE_TEXT,
	"number": controlpb.KeyMode_KEY_MODE_NUMBER,
	"none":   controlpb.KeyMode_KEY_MODE_NONE,
}

// carriers are the ways in which backend servers may receive the grants of keys that they hold for a limited time.
var carriers = map[string]controlpb.Carrier{
	"heartbeat": controlpb.Carrier_CARRIER_HEARTBEAT,
	"direct":    controlpb.Carrier_CARRIER_DIRECT,
}

func (mrg *merger) checkName(sec *source.Section) {
	nam := sec.Path()[1]
	if nam == "" || len(nam) > maxNameBytes || strings.Trim(nam, "abcdefghijklmnopqrstuvwxyz0123456789_-") != "" {
		mrg.checker.Add(sec.Position(), sec.Name(), "name must be 1 to %d characters of a-z, 0-9, _ and -", maxNameBytes)
	}
}

func (mrg *merger) readService(sec *source.Section) *controlpb.Service {
	svc := &controlpb.Service{
		Name: sec.Path()[1], Partitions: defaultPartitions, QueueLimit: defaultQueue,
		RampMs: uint32(defaultRamp / time.Millisecond), MaxAttempts: defaultAttempts,
		RetryBudgetPercent: defaultBudget, RetryMinPerSecond: defaultRetryMin,
		HoldMs: uint32(defaultHold / time.Millisecond), IdempotencyTtlS: uint32(defaultIdempotency / time.Second),
		MaxOutstandingPerOwner: defaultOutstanding, Source: sec.Position().String(),
	}
	kys, grt := "text", "heartbeat"
	sec.Decode(
		mrg.checker,
		source.Choice("keys", &kys, "text", "number", "none"),
		source.Choice("grants", &grt, "heartbeat", "direct"),
		source.Uint32("partitions", &svc.Partitions, minPartitions, maxPartitions),
		source.Uint32("queue_limit", &svc.QueueLimit, 1, maxQueue),
		source.Millis("ramp", &svc.RampMs, time.Millisecond, maxRamp),
		source.Millis("cold_time", &svc.ColdMs, 0, maxCold),
		source.Number("cold_rate", &svc.ColdRate, 0, maxColdRate),
		source.Uint32("max_attempts", &svc.MaxAttempts, 1, maxAttempts),
		source.Uint32("retry_budget_percent", &svc.RetryBudgetPercent, 1, 100),
		source.Uint32("retry_min_per_second", &svc.RetryMinPerSecond, 1, maxRetryMin),
		source.Millis("hedge_after", &svc.HedgeAfterMs, 0, maxHedgeAfter),
		source.Millis("hold", &svc.HoldMs, time.Millisecond, maxHold),
		source.Seconds("idempotency_ttl", &svc.IdempotencyTtlS, time.Second, maxIdempotency),
		source.Uint32("max_outstanding_per_owner", &svc.MaxOutstandingPerOwner, 1, maxOutstanding),
	)
	svc.KeyMode, svc.Carrier = keyModes[kys], carriers[grt]
	mrg.checkKeys(sec, svc)
	if svc.GetColdRate() > 0 && svc.GetColdMs() == 0 {
		mrg.checker.Add(sec.At("cold_rate"), sec.Name()+".cold_rate", "is set; needs cold_time over 0s")
	}
	return svc
}

// checkKeys reports settings that the key mode of the service does not allow.
func (mrg *merger) checkKeys(sec *source.Section, svc *controlpb.Service) {
	switch {
	case svc.GetCarrier() == controlpb.Carrier_CARRIER_DIRECT && svc.GetKeyMode() != controlpb.KeyMode_KEY_MODE_NUMBER:
		mrg.checker.Add(sec.At("grants"), sec.Name()+".grants", "is \"direct\"; needs keys = \"number\"")
	case svc.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NONE && sec.Has("partitions"):
		mrg.checker.Add(sec.At("partitions"), sec.Name()+".partitions", "is set, but keys = \"none\" divides nothing")
	case svc.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NONE:
		svc.Partitions = 0
	}
}

func (mrg *merger) readRoute(sec *source.Section) *controlpb.Route {
	rte := &controlpb.Route{
		Name: sec.Path()[1], TimeoutMs: uint32(defaultTimeout / time.Millisecond), Source: sec.Position().String(),
	}
	var knd string
	sec.Decode(
		mrg.checker,
		source.Choice("method", &rte.Method, methods...).Required(),
		source.Text("path", &rte.Path).Required(),
		source.Text("service", &rte.Service).Required(),
		source.Choice("kind", &knd, "idempotent", "non_idempotent", "upload", "download").Required(),
		source.Millis("timeout", &rte.TimeoutMs, time.Millisecond, maxTimeout),
		source.Uint64("max_body_bytes", &rte.MaxBodyBytes, 1, maxBody),
		source.Texts("allowed_regions", &rte.AllowedRegions),
	)
	rte.Kind = kinds[knd]
	if !sec.Has("max_body_bytes") {
		rte.MaxBodyBytes = defaultBody
		if rte.GetKind() == controlpb.RequestKind_REQUEST_KIND_UPLOAD {
			rte.MaxBodyBytes = defaultUpload
		}
	}
	if rte.GetPath() != "" {
		mrg.checkPath(sec, rte.GetPath())
	}
	return rte
}

func (mrg *merger) checkPath(sec *source.Section, pth string) {
	add := func(msg string) {
		mrg.checker.Add(sec.At("path"), sec.Name()+".path", "is %q; %s", pth, msg)
	}
	if !strings.HasPrefix(pth, "/") {
		add("must begin with /")
		return
	}
	keys := 0
	for _, seg := range strings.Split(pth[1:], "/") {
		switch {
		case isKeySegment(seg):
			keys++
		case strings.ContainsAny(seg, "{}"):
			add("the key must be a whole segment such as {code}")
			return
		case seg == "" || seg == "." || seg == ".." || strings.ContainsAny(seg, "?# %"):
			add("segments must not be empty, . or .., nor hold ?, #, % or spaces")
			return
		}
	}
	if keys != 1 {
		add("must have exactly one segment in braces, the key")
	}
}

func isKeySegment(seg string) bool {
	return len(seg) > 2 && seg[0] == '{' && seg[len(seg)-1] == '}' && !strings.ContainsAny(seg[1:len(seg)-1], "{}")
}

// pattern returns the method and the path of a route without the name of the key, which does not affect what it matches.
func pattern(rte *controlpb.Route) string {
	sgs := strings.Split(rte.GetPath(), "/")
	for i, seg := range sgs {
		if isKeySegment(seg) {
			sgs[i] = "{}"
		}
	}
	return rte.GetMethod() + " " + strings.Join(sgs, "/")
}

// checkDuplicateRoutes reports routes that match the same requests as another one.
func (mrg *merger) checkDuplicateRoutes() {
	first := map[string]*source.Section{}
	rts := append([]*controlpb.Route{}, mrg.config.Routes...)
	sort.SliceStable(rts, func(i, j int) bool {
		pos, oth := mrg.sections["route."+rts[i].GetName()].Position(), mrg.sections["route."+rts[j].GetName()].Position()
		return pos.File() < oth.File() || pos.File() == oth.File() && pos.Line() < oth.Line()
	})
	for _, rte := range rts {
		if rte.GetMethod() == "" || rte.GetPath() == "" {
			continue
		}
		sec := mrg.sections["route."+rte.GetName()]
		shp := pattern(rte)
		if old := first[shp]; old != nil {
			mrg.checker.Add(sec.At("path"), sec.Name(), "has the same method and path as %s at %s", old.Name(), old.At("path"))
			continue
		}
		first[shp] = sec
	}
}

// checkRouteServices reports routes to a service that is not defined.
func (mrg *merger) checkRouteServices() {
	var nams []string
	for _, svc := range mrg.config.Services {
		nams = append(nams, svc.GetName())
	}
	for _, rte := range mrg.config.Routes {
		if rte.GetService() == "" || mrg.sections["service."+rte.GetService()] != nil {
			continue
		}
		sec := mrg.sections["route."+rte.GetName()]
		mrg.checker.Add(sec.At("service"), sec.Name()+".service", "service %q is not defined%s", rte.GetService(), source.Suggestion(rte.GetService(), nams))
	}
}
