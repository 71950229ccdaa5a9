package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	growths         = 27
	routesPerGrowth = 499
	readTime        = 10 * time.Second // over three times stability-window-ms
)

// playReadBack lets the configuration grow by many routes several times, and reads it back.
func playReadBack(dep *deployment, trouble bool) (bool, error) {
	if err := dep.start(); err != nil {
		return false, err
	}
	services := [][]any{
		{"huvo11a", "/health", 120, "h1", false, true, 5.0, "heartbeat"}, {"kafi81c", "/health", 120, "h1", false, nil, nil, nil},
	}
	sts, err := dep.order(http.MethodPut, map[string]any{
		"version": 1, "base-version": 0, "limits": limits,
		"routes":   table{Columns: routeColumns, Rows: [][]any{routeRow(0, 0)}},
		"services": table{Columns: serviceColumns, Rows: services},
	})
	if err != nil || sts != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", sts, err)
	}
	dep.rec.printf("version 1 is acknowledged")
	version := 1
	for num := range growths {
		count := 1
		if trouble {
			count = routesPerGrowth
		}
		var rows [][]any
		for pos := range count {
			rows = append(rows, routeRow(num+1, pos))
		}
		sts, err := dep.order(http.MethodPatch, map[string]any{
			"version": version + 1, "base-version": version, "upsert": map[string]any{"routes": table{Columns: routeColumns, Rows: rows}},
		})
		if err != nil {
			return false, err
		}
		if sts != http.StatusOK {
			return false, fmt.Errorf("version %d was refused with status %d", version+1, sts)
		}
		version++
		dep.rec.printf("version %d is acknowledged, which adds %d routes", version, count)
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	return !dep.readsBack(version), nil
}

// routeRow returns a route as the examples of the wire have them.
func routeRow(growth, pos int) []any {
	clusters := []map[string]any{{"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10}}
	return []any{
		fmt.Sprintf("r-%03d%04d", growth, pos), fmt.Sprintf("jepu%d.example", growth), fmt.Sprintf("/lepu%d/ny%d/", growth, pos),
		"idempotent", 1200, 200, 2, nil, 2, clusters,
	}
}

// readsBack reads the configuration at all nodes of the core in turn and reports whether one of them returns the newest version.
func (dep *deployment) readsBack(version int) bool {
	for num, end := 0, time.Now().Add(readTime); time.Now().Before(end); num++ {
		hst := dep.cores[num%coreCount]
		sts, dat, err := dep.call(hst, http.MethodGet, nil)
		got, text := 0, string(dat[:min(len(dat), 160)])
		if sts == http.StatusOK && err == nil {
			var doc struct {
				Version int   `json:"version"`
				Routes  table `json:"routes"`
			}
			err = errors.Join(err, json.Unmarshal(dat, &doc))
			got, text = doc.Version, fmt.Sprintf("%d routes in %d bytes", len(doc.Routes.Rows), len(dat))
		}
		dep.rec.printf("read at %s: status %d, version %d: %s %v", hst.name, sts, got, text, err)
		if got == version {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	dep.rec.printf("version %d, which was acknowledged, could not be read at any node for %s", version, readTime)
	return false
}
