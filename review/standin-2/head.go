package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["head"] = playHead }

// playHead asks for the head of answers on kept connections.
func playHead(wld *world, trouble bool) (bool, error) {
	all, err := startCommande(wld)
	if err != nil {
		return false, err
	}
	routes := append([][]any{route("r-pull", "jepu9.example", "/pull/", "idempotent", 3000, "commande")}, orderRoutes...)
	if sts, err := wld.order("PUT", fullConfig(5, 0, routes, orderServices), "version 5"); err != nil || sts != 200 {
		return false, fmt.Errorf("first configuration: %d %v", sts, err)
	}
	size := 30000
	if trouble {
		size = 150000
	}
	for _, ups := range all {
		ups.size = size
	}
	if err := serve(wld, all); err != nil {
		return false, err
	}
	lost, served := 0, 0
	for _, ups := range all {
		trn := &http.Transport{MaxIdleConnsPerHost: 1}
		cln := &http.Client{Transport: trn, Timeout: 5 * time.Second}
		for num := range 20 {
			method := http.MethodGet
			if num%2 == 1 {
				method = http.MethodHead
			}
			attempt := fmt.Sprintf("%s%04d", ups.id, num)
			req, _ := http.NewRequest(method, fmt.Sprintf("http://%s/pull/%d", addr(ups.mac.ip, wld.prt.outbound), num), nil)
			req.Host = "jepu9.example"
			req.Header.Set("X-Siskinrill-Attempt-Id", attempt)
			req.Header.Set("X-Siskinrill-Deadline-Ms", "3000")
			rsp, err := cln.Do(req)
			if err != nil {
				wld.logf("client: %s %s at %s on a kept connection: %v", attempt, method, ups.mac.name, err)
				lost++
				continue
			}
			dat, err := io.ReadAll(rsp.Body)
			rsp.Body.Close()
			wld.logf("client: %s %s at %s: %d, %d bytes, length stated %d, error %v", attempt, method, ups.mac.name, rsp.StatusCode, len(dat), rsp.ContentLength, err)
			if rsp.StatusCode == 200 && err == nil {
				served++
			}
		}
		trn.CloseIdleConnections()
	}
	wld.logf("requests whose connection was closed without an answer: %d; answered: %d", lost, served)
	return lost > 3, nil
}
