package main

import "fmt"

// table is a list of items as columns and rows.
type table struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
}

var routeColumns = []string{"name", "host", "path-prefix", "kind", "timeout-ms", "target-latency-ms", "priority", "service", "max-attempts", "weighted-clusters"}

var serviceColumns = []string{"name", "health-path", "max-connections", "protocol", "tls", "sharded", "warm-s", "grants"}

var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

func route(name, host, prefix, kind string, timeout int, service string) []any {
	return []any{name, host, prefix, kind, timeout, 200, 2, service, 2, nil}
}

func shardedService(name string) []any {
	return []any{name, "/health", 120, "h1", false, true, 5.0, "heartbeat"}
}

func plainService(name string) []any { return []any{name, "/health", 120, "h1", false, nil, nil, nil} }

// fullConfig returns the body of a PUT.
func fullConfig(version, base int, routes, services [][]any) map[string]any {
	return map[string]any{
		"version": version, "base-version": base, "limits": limits,
		"routes": table{Columns: routeColumns, Rows: routes}, "services": table{Columns: serviceColumns, Rows: services},
	}
}

// patch returns the body of a PATCH.
func patch(version, base int, routes, services [][]any, removeRoutes, removeServices []string) map[string]any {
	doc := map[string]any{"version": version, "base-version": base}
	upsert, remove := map[string]any{}, map[string]any{}
	if len(routes) > 0 {
		upsert["routes"] = table{Columns: routeColumns, Rows: routes}
	}
	if len(services) > 0 {
		upsert["services"] = table{Columns: serviceColumns, Rows: services}
	}
	if len(removeRoutes) > 0 {
		remove["routes"] = removeRoutes
	}
	if len(removeServices) > 0 {
		remove["services"] = removeServices
	}
	if len(upsert) > 0 {
		doc["upsert"] = upsert
	}
	if len(remove) > 0 {
		doc["remove"] = remove
	}
	return doc
}

// manyRoutes returns routes that no request uses.
func manyRoutes(num int, service string) [][]any {
	var out [][]any
	for pos := range num {
		out = append(out, route(fmt.Sprintf("r-idle%05d", pos), fmt.Sprintf("host%03d.example", pos%500), fmt.Sprintf("/team%04d/item%05d/", pos%997, pos), "idempotent", 1200, service))
	}
	return out
}
