package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

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
