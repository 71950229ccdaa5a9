package main

import (
	"errors"
	"fmt"
	"net/http"
)

// playInvalid sends configurations that are invalid and judges whether one is acknowledged.
func playInvalid(dep *deployment, trouble bool) (bool, error) {
	if err := dep.start(); err != nil {
		return false, err
	}
	services := table{Columns: serviceColumns, Rows: [][]any{
		{"huvo11a", "/health", 120, "h1", false, nil, nil, nil}, {"kafi81c", "/health", 120, "h1", false, nil, nil, nil},
	}}
	parts := []map[string]any{{"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10}}
	route := func(service any) []any {
		return []any{"r-xd9dnn2", "jepu9.example", "/lepu270/", "idempotent", 1200, 200, 2, service, 2, parts}
	}
	first := map[string]any{
		"version": 1, "base-version": 0, "limits": limits, "services": services,
		"routes": table{Columns: routeColumns, Rows: [][]any{route(nil)}},
	}
	if sts, err := dep.order(http.MethodPut, first); err != nil || sts != http.StatusOK {
		return false, fmt.Errorf("the first configuration: status %d, %w", sts, err)
	}
	dep.rec.printf("version 1 is acknowledged")
	service := any("nobody77")
	if !trouble {
		service = "huvo11a"
	}
	second := map[string]any{
		"version": 2, "base-version": 1, "limits": limits, "services": services,
		"routes": table{Columns: routeColumns, Rows: [][]any{route(service)}},
	}
	sts, err := dep.order(http.MethodPut, second)
	if err != nil {
		return false, err
	}
	dep.rec.printf("version 2, whose route names service %v beside the known parts, is answered with %d", service, sts)
	if !trouble {
		if sts != http.StatusOK {
			return false, errors.New("a valid configuration was refused")
		}
		return false, nil
	}
	dep.readBack()
	version := 1
	if sts == http.StatusOK {
		version = 2
	}
	third := map[string]any{
		"version": version + 1, "base-version": version, "limits": limits, "services": services,
		"routes": map[string]any{"columns": routeColumns}, // the rows are cut off
	}
	sts2, err := dep.order(http.MethodPut, third)
	if err != nil {
		return false, err
	}
	dep.rec.printf("version %d, whose routes have columns and no rows, is answered with %d", version+1, sts2)
	dep.readBack()
	return sts == http.StatusOK || sts2 == http.StatusOK, nil
}

// readBack records what a node returns as the configuration.
func (dep *deployment) readBack() {
	sts, dat, err := dep.call(dep.cores[1], http.MethodGet, nil)
	dep.rec.printf("read back: status %d: %.420s %v", sts, dat, err)
}
