package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["weight"] = playWeight }

// splitRoutes returns routes that divide their requests among three services; parts of a negative weight are left out.
func splitRoutes(num int, weights ...int) [][]any {
	var out [][]any
	for pos := range num {
		row := route(fmt.Sprintf("r-split%02d", pos), "jepu9.example", fmt.Sprintf("/split/%02d/", pos), "non_idempotent", 1500, "")
		var parts []any
		for idx, wgt := range weights {
			if wgt >= 0 {
				parts = append(parts, map[string]any{"service": splitServices[idx], "weight": wgt})
			}
		}
		row[7], row[9] = nil, parts
		out = append(out, row)
	}
	return out
}

var splitServices = []string{"trial", "commande", "empreinte"}

// playWeight sets the weight of a part to 0.
func playWeight(wld *world, trouble bool) (bool, error) {
	const sidecars, routes = 6, 40
	if err := wld.freePorts(3, sidecars); err != nil {
		return false, err
	}
	if err := wld.startCores(3); err != nil {
		return false, err
	}
	var all []*upstream
	var agents []*machine
	for pos := range sidecars {
		mac := wld.add(fmt.Sprintf("sidecar-%d", pos+1), sidecarIP(pos), "tn-north-tunis", splitServices[pos%3])
		if err := mac.run(); err != nil {
			return false, err
		}
		agents = append(agents, mac)
		all = append(all, newUpstream(mac, fmt.Sprintf("i-%08x", 0xa1+pos), false))
	}
	services := [][]any{plainService("trial"), plainService("commande"), plainService("empreinte")}
	if sts, err := wld.order("PUT", fullConfig(5, 0, splitRoutes(routes, 10, 45, 45), services), "version 5, weights 10, 45, 45"); err != nil || sts != 200 {
		return false, fmt.Errorf("first configuration: %d %v", sts, err)
	}
	for _, ups := range all {
		ups.work = 5 * time.Millisecond
		if err := ups.run(0); err != nil {
			return false, err
		}
	}
	if err := wld.awaitReady(agents...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	weights := []int{-1, 50, 50}
	if trouble {
		weights[0] = 0
	}
	if sts, err := wld.order("PUT", fullConfig(7, 5, splitRoutes(routes, weights...), services), fmt.Sprintf("version 7, weights %v", weights)); err != nil || sts != 200 {
		return false, fmt.Errorf("version 7: %d %v", sts, err)
	}
	time.Sleep(4 * time.Second)
	sent := time.Now()
	served := 0
	for num := range 5 {
		for rou := range routes {
			for pos, mac := range agents {
				if send(wld, mac, fmt.Sprintf("split%02d-%d-%d", rou, pos, num), fmt.Sprintf("/split/%02d/%d", rou, num)) == 200 {
					served++
				}
			}
		}
	}
	strays := 0
	for pos, ups := range all {
		ups.mu.Lock()
		for _, run := range ups.ran {
			if pos%3 == 0 && run.began.After(sent) {
				strays++
			}
		}
		ups.mu.Unlock()
	}
	wld.logf("orders served: %d; run by the service trial, later than 4 s after the acknowledgement: %d", served, strays)
	return strays > 0, nil
}

// send sends one order on a connection of its own and returns its status, 0 without an answer.
func send(wld *world, mac *machine, attempt, path string) int {
	req, _ := http.NewRequest("POST", "http://"+addr(mac.ip, wld.prt.outbound)+path, nil)
	req.Host = "jepu9.example"
	req.Header.Set("X-Siskinrill-Attempt-Id", attempt)
	req.Header.Set("X-Siskinrill-Deadline-Ms", "1500")
	rsp, err := operatorClient.Do(req)
	if err != nil {
		wld.logf("client: %s at %s: %v", attempt, mac.name, err)
		return 0
	}
	defer rsp.Body.Close()
	dat, _ := io.ReadAll(rsp.Body)
	wld.logf("client: %s at %s: %d %.60s", attempt, mac.name, rsp.StatusCode, dat)
	return rsp.StatusCode
}
