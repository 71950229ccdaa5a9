package file

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/siskinrill/siskinrill/internal/config/source"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// line is one key of a service or route with its value in TOML syntax; a key without a value is not written.
type line struct{ key, value string }

// Difference returns the changes from one configuration to another as text, empty if there are none: a line for each
// item with + (added), - (removed) or ~ (changed), followed by the keys of added items and the changed ones of others.
func Difference(old, cur *controlpb.Configuration) string {
	bef, aft := itemLines(old), itemLines(cur)
	var out strings.Builder
	for _, nam := range sortedNames(bef, aft) {
		writeDifference(&out, nam, bef[nam], aft[nam])
	}
	return out.String()
}

// Text returns a configuration as TOML, with services and routes sorted by name.
func Text(cfg *controlpb.Configuration) string {
	var out strings.Builder
	its := itemLines(cfg)
	for num, nam := range sortedNames(its, nil) {
		if num > 0 {
			out.WriteString("\n")
		}
		fmt.Fprintf(&out, "[%s]\n", strings.Replace(nam, " ", ".", 1))
		for _, lin := range its[nam] {
			if lin.value == "" {
				continue
			}
			fmt.Fprintf(&out, "%s = %s\n", lin.key, lin.value)
		}
	}
	return out.String()
}

func writeDifference(out *strings.Builder, nam string, bef, aft []line) {
	switch {
	case bef == nil:
		fmt.Fprintf(out, "+ %s\n", nam)
		for _, lin := range aft {
			writeLine(out, "+", lin)
		}
	case aft == nil:
		fmt.Fprintf(out, "- %s\n", nam)
	default:
		writeChanges(out, nam, bef, aft)
	}
}

// writeChanges writes the changed keys of an item; items of one kind have the same keys in the same order.
func writeChanges(out *strings.Builder, nam string, bef, aft []line) {
	headerWritten := false
	for i, lin := range aft {
		if bef[i] == lin {
			continue
		}
		if !headerWritten {
			fmt.Fprintf(out, "~ %s\n", nam)
			headerWritten = true
		}
		writeLine(out, "-", bef[i])
		writeLine(out, "+", lin)
	}
}

func writeLine(out *strings.Builder, sign string, lin line) {
	if lin.value != "" {
		fmt.Fprintf(out, "%s   %s = %s\n", sign, lin.key, lin.value)
	}
}

func sortedNames(one, two map[string][]line) []string {
	var out []string
	for nam := range one {
		out = append(out, nam)
	}
	for nam := range two {
		if _, dup := one[nam]; !dup {
			out = append(out, nam)
		}
	}
	// Services precede the routes that refer to them.
	sort.Slice(out, func(i, j int) bool {
		svc, oth := strings.HasPrefix(out[i], "service "), strings.HasPrefix(out[j], "service ")
		if svc != oth {
			return svc
		}
		return out[i] < out[j]
	})
	return out
}

func itemLines(cfg *controlpb.Configuration) map[string][]line {
	out := map[string][]line{}
	for _, svc := range cfg.GetServices() {
		out["service "+svc.GetName()] = serviceLines(svc)
	}
	for _, rte := range cfg.GetRoutes() {
		out["route "+rte.GetName()] = routeLines(rte)
	}
	return out
}

func serviceLines(svc *controlpb.Service) []line {
	return []line{
		{"partitions", partitionsText(svc)},
		{"keys", fmt.Sprintf("%q", keysText(svc.GetKeyMode()))},
		{"grants", fmt.Sprintf("%q", grantsText(svc.GetCarrier()))},
		{"queue_limit", formatUint(uint64(svc.GetQueueLimit()))},
		{"ramp", formatDuration(svc.GetRampMs(), time.Millisecond)},
		{"cold_time", formatDuration(svc.GetColdMs(), time.Millisecond)},
		{"cold_rate", strconv.FormatFloat(svc.GetColdRate(), 'f', -1, 64)},
		{"max_attempts", formatUint(uint64(svc.GetMaxAttempts()))},
		{"retry_budget_percent", formatUint(uint64(svc.GetRetryBudgetPercent()))},
		{"retry_min_per_second", formatUint(uint64(svc.GetRetryMinPerSecond()))},
		{"hedge_after", formatDuration(svc.GetHedgeAfterMs(), time.Millisecond)},
		{"hold", formatDuration(svc.GetHoldMs(), time.Millisecond)},
		{"idempotency_ttl", formatDuration(svc.GetIdempotencyTtlS(), time.Second)},
		{"max_outstanding_per_owner", formatUint(uint64(svc.GetMaxOutstandingPerOwner()))},
	}
}

func routeLines(rte *controlpb.Route) []line {
	return []line{
		{"method", fmt.Sprintf("%q", rte.GetMethod())},
		{"path", fmt.Sprintf("%q", rte.GetPath())},
		{"service", fmt.Sprintf("%q", rte.GetService())},
		{"kind", fmt.Sprintf("%q", kindText(rte.GetKind()))},
		{"timeout", formatDuration(rte.GetTimeoutMs(), time.Millisecond)},
		{"max_body_bytes", formatUint(rte.GetMaxBodyBytes())},
		{"allowed_regions", formatTexts(rte.GetAllowedRegions())},
	}
}

// partitionsText is empty for a service without keys, where the key is not allowed.
func partitionsText(svc *controlpb.Service) string {
	if svc.GetKeyMode() == controlpb.KeyMode_KEY_MODE_NONE {
		return ""
	}
	return formatUint(uint64(svc.GetPartitions()))
}

func keysText(mod controlpb.KeyMode) string {
	for nam, oth := range keyModes {
		if oth == mod {
			return nam
		}
	}
	return mod.String()
}

func grantsText(car controlpb.Carrier) string {
	for nam, oth := range carriers {
		if oth == car {
			return nam
		}
	}
	return car.String()
}

func kindText(knd controlpb.RequestKind) string {
	for nam, oth := range kinds {
		if oth == knd {
			return nam
		}
	}
	return knd.String()
}

func formatTexts(all []string) string {
	out := make([]string, 0, len(all))
	for _, txt := range all {
		out = append(out, fmt.Sprintf("%q", txt))
	}
	return "[" + strings.Join(out, ", ") + "]"
}

func formatUint(num uint64) string { return fmt.Sprintf("%d", num) }

func formatDuration(num uint32, unt time.Duration) string {
	return fmt.Sprintf("%q", source.ShortDuration(time.Duration(num)*unt))
}
