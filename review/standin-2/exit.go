package main

import (
	"net/http"
	"time"
)

func init() { cases["exit"] = playExit }

var fileRoutes = [][]any{route("r-file", "jepu9.example", "/lookup/", "non_idempotent", 4000, "vitrine")}

// playExit lets two upstreams leave one after the other; their statements that they are draining arrive late, so that they are not
// acknowledged.
func playExit(wld *world, trouble bool) (bool, error) {
	wld.beatMs = 870
	all, err := startVitrine(wld, 14, fileRoutes, func(ups *upstream) { ups.spread, ups.work, ups.slots = true, 250*time.Millisecond, 9 })
	if err != nil {
		return false, err
	}
	time.Sleep(20 * time.Second)
	end := make(chan struct{})
	found := watchWork(wld, all, end)
	stop := make(chan struct{})
	for num := range 110 {
		go sendLookups(wld, all, http.MethodPost, num, stop)
	}
	for _, leaving := range []*upstream{all[1], all[8]} {
		time.Sleep(4 * time.Second)
		if !trouble {
			continue
		}
		leaving.mu.Lock()
		leaving.state, leaving.late = "draining", 2500*time.Millisecond
		leaving.mu.Unlock()
		wld.logf("%s: upstream %s is draining; its heartbeats are late", leaving.mac.name, leaving.id)
		time.Sleep(2 * time.Second)
		leaving.exit()
	}
	time.Sleep(5 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	close(end)
	num := <-found
	wld.logf("keys that an upstream was given while another was at work on them and held them: %d", num)
	return num > 0, nil
}
