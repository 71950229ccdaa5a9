package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["limits"] = playLimits }

// startCommande starts a core, two upstreams without keys and their agents.
func startCommande(wld *world) ([]*upstream, error) {
	if err := wld.freePorts(3, 2); err != nil {
		return nil, err
	}
	if err := wld.startCores(3); err != nil {
		return nil, err
	}
	var all []*upstream
	for pos := range 2 {
		mac := wld.add(fmt.Sprintf("sidecar-%d", pos+1), sidecarIP(pos), "tn-north-tunis", "commande")
		if err := mac.run(); err != nil {
			return nil, err
		}
		all = append(all, newUpstream(mac, fmt.Sprintf("i-%08x", 0xa1+pos), false))
	}
	return all, nil
}

var (
	orderRoutes   = [][]any{route("r-order", "jepu9.example", "/order/", "non_idempotent", 1500, "commande")}
	orderServices = [][]any{plainService("commande")}
)

// post sends one order and returns its status, 0 without an answer.
func post(wld *world, mac *machine, attempt string, size int) int {
	req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/order/%s", addr(mac.ip, wld.prt.outbound), attempt), strings.NewReader(strings.Repeat("x", size)))
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
	wld.logf("client: %s of %d bytes at %s: %d %.100s", attempt, size, mac.name, rsp.StatusCode, dat)
	return rsp.StatusCode
}

// serve starts the upstreams and waits until orders are served.
func serve(wld *world, all []*upstream) error {
	var agents []*machine
	for _, ups := range all {
		if err := ups.run(0); err != nil {
			return err
		}
		agents = append(agents, ups.mac)
	}
	if err := wld.awaitReady(agents...); err != nil {
		return err
	}
	for num := range 50 {
		if post(wld, agents[num%2], fmt.Sprintf("warm%04d", num), 100) == 200 && num > 5 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("orders are not served")
}

// playLimits replaces a configuration with narrow limits by one without limits.
func playLimits(wld *world, trouble bool) (bool, error) {
	all, err := startCommande(wld)
	if err != nil {
		return false, err
	}
	first := fullConfig(5, 0, orderRoutes, orderServices)
	first["limits"] = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1000, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	if sts, err := wld.order("PUT", first, "version 5, bodies of 1000 bytes at most"); err != nil || sts != 200 {
		return false, fmt.Errorf("first configuration: %d %v", sts, err)
	}
	if err := serve(wld, all); err != nil {
		return false, err
	}
	second := fullConfig(7, 5, orderRoutes, orderServices)
	if trouble {
		delete(second, "limits")
	}
	sts, err := wld.order("PUT", second, "version 7, with other limits")
	if err != nil {
		return false, err
	}
	wld.logf("version 7: %d", sts)
	time.Sleep(3 * time.Second)
	denied := 0
	for num := range 20 {
		if post(wld, all[num%2].mac, fmt.Sprintf("later%04d", num), 3000) == 413 {
			denied++
		}
	}
	wld.logf("requests of 3000 bytes answered with 413: %d", denied)
	return sts == 200 && denied > 5, nil
}
