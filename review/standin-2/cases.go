package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

func init() {
	cases["big"] = playBig
	cases["owner"] = playOwner
}

// startCores starts the machines of the core.
func (wld *world) startCores(num int) error {
	for pos := range num {
		mac := wld.add(fmt.Sprintf("core-%d", pos+1), fmt.Sprintf("127.61.0.%d", pos+1), "tn-north-tunis", "")
		_ = mac
	}
	for _, mac := range wld.cores() {
		if err := mac.run(); err != nil {
			return err
		}
	}
	return nil
}

// freePorts picks ports that are free at the addresses of all machines of a case.
func (wld *world) freePorts(cores, sidecars int) error {
	var ips []string
	for pos := range cores {
		ips = append(ips, fmt.Sprintf("127.61.0.%d", pos+1))
	}
	for pos := range sidecars {
		ips = append(ips, sidecarIP(pos))
	}
	return wld.setPorts(ips)
}

func sidecarIP(pos int) string { return fmt.Sprintf("127.61.1.%d", pos+1) }

// playBig sends a configuration and reads it back at each node, later than config-apply-ms after its acknowledgement.
func playBig(wld *world, trouble bool) (bool, error) {
	if err := wld.freePorts(3, 0); err != nil {
		return false, err
	}
	if err := wld.startCores(3); err != nil {
		return false, err
	}
	services := [][]any{plainService("commande")}
	first := fullConfig(5, 0, manyRoutes(50, "commande"), services)
	if sts, err := wld.order("PUT", first, "version 5"); err != nil || sts != 200 {
		return false, fmt.Errorf("first configuration: %d %v", sts, err)
	}
	version := 5
	if trouble {
		for step := range 14 {
			version += 2
			all := manyRoutes(1400*(step+1), "commande")
			doc := patch(version, version-2, all[1400*step:], nil, nil, nil)
			if sts, err := wld.order("PATCH", doc, fmt.Sprintf("version %d, 1400 routes more", version)); err != nil || sts != 200 {
				return false, fmt.Errorf("version %d: %d %v", version, sts, err)
			}
		}
	}
	time.Sleep(2 * time.Second)
	good := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, mac := range wld.cores() {
			sts, dat := wld.operate(mac, "GET", nil, 5*time.Second)
			wld.logf("operator: GET at %s: %d, %d bytes %.160s", mac.name, sts, len(dat), dat)
			if sts == 200 {
				good++
			}
		}
	}
	wld.logf("reads answered with 200: %d", good)
	return good == 0, nil
}

// overlap records how long two upstreams held the same key at the same time.
type overlap struct {
	key    int
	first  string
	second string
	length time.Duration
}

// watchOverlaps samples which upstreams hold each key and returns the longest time for which two held the same one.
func watchOverlaps(wld *world, list func() []*upstream, end <-chan struct{}) <-chan overlap {
	out := make(chan overlap, 1)
	go func() {
		var since [keyCount]time.Time
		var holder [keyCount]*upstream
		longest, logged := overlap{}, time.Time{}
		for {
			select {
			case <-end:
				out <- longest
				return
			case <-time.After(20 * time.Millisecond):
			}
			now := time.Now()
			clear(holder[:])
			var doubled [keyCount]bool
			for _, ups := range list() {
				ups.mu.Lock()
				for key := range ups.held {
					if !ups.holdsNow(key, now) {
						continue
					}
					if holder[key] == nil {
						holder[key] = ups
						continue
					}
					doubled[key] = true
					if since[key].IsZero() {
						since[key] = now
						if now.Sub(logged) > 100*time.Millisecond {
							logged = now
							wld.logf("key %d is held by %s and %s", key, holder[key].id, ups.id)
						}
					}
					if took := now.Sub(since[key]); took > longest.length {
						longest = overlap{key: key, first: holder[key].id, second: ups.id, length: took}
					}
				}
				ups.mu.Unlock()
			}
			for key := range doubled {
				if !doubled[key] {
					since[key] = time.Time{}
				}
			}
		}
	}()
	return out
}

// playOwner removes a service from the configuration and adds it again at once, while an upstream of it is emptied.
func playOwner(wld *world, trouble bool) (bool, error) {
	const sidecars = 10
	if err := wld.freePorts(3, sidecars); err != nil {
		return false, err
	}
	if err := wld.startCores(3); err != nil {
		return false, err
	}
	var agents []*machine
	for pos := range sidecars {
		agents = append(agents, wld.add(fmt.Sprintf("sidecar-%d", pos+1), sidecarIP(pos), "tn-north-tunis", "vitrine"))
	}
	for _, mac := range agents {
		if err := mac.run(); err != nil {
			return false, err
		}
	}
	routes := [][]any{route("r-lookup", "jepu9.example", "/lookup/", "idempotent", 1200, "vitrine")}
	services := [][]any{shardedService("vitrine")}
	if sts, err := wld.order("PUT", fullConfig(5, 0, routes, services), "version 5"); err != nil || sts != 200 {
		return false, fmt.Errorf("first configuration: %d %v", sts, err)
	}
	var all []*upstream
	for pos, mac := range agents {
		ups := newUpstream(mac, fmt.Sprintf("i-%08x", 0xa1+pos), true)
		all = append(all, ups)
		if err := ups.run(time.Duration(rand.IntN(wld.beatMs)) * time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := wld.awaitReady(agents...); err != nil {
		return false, err
	}
	time.Sleep(26 * time.Second)
	end := make(chan struct{})
	found := watchOverlaps(wld, func() []*upstream { return all }, end)
	if trouble {
		if sts, err := wld.order("PATCH", patch(7, 5, nil, nil, []string{"r-lookup"}, []string{"vitrine"}), "version 7, without vitrine"); err != nil || sts != 200 {
			return false, fmt.Errorf("version 7: %d %v", sts, err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	all[1].drain()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		if sts, err := wld.order("PATCH", patch(9, 7, routes, services, nil, nil), "version 9, with vitrine again"); err != nil || sts != 200 {
			return false, fmt.Errorf("version 9: %d %v", sts, err)
		}
	}
	time.Sleep(6 * time.Second)
	close(end)
	longest := <-found
	wld.logf("longest time for which two upstreams held one key: %d ms (key %d: %s, %s)", longest.length.Milliseconds(), longest.key, longest.first, longest.second)
	return longest.length > 500*time.Millisecond, nil
}

// startVitrine starts a core, upstreams that hold keys with their agents, and the first configuration.
func startVitrine(wld *world, sidecars int, routes [][]any, prepare func(ups *upstream)) ([]*upstream, error) {
	if err := wld.freePorts(3, sidecars); err != nil {
		return nil, err
	}
	if err := wld.startCores(3); err != nil {
		return nil, err
	}
	var agents []*machine
	for pos := range sidecars {
		agents = append(agents, wld.add(fmt.Sprintf("sidecar-%d", pos+1), sidecarIP(pos), "tn-north-tunis", "vitrine"))
	}
	for _, mac := range agents {
		if err := mac.run(); err != nil {
			return nil, err
		}
	}
	if sts, err := wld.order("PUT", fullConfig(5, 0, routes, lookupServices), "version 5"); err != nil || sts != 200 {
		return nil, fmt.Errorf("first configuration: %d %v", sts, err)
	}
	var all []*upstream
	for pos, mac := range agents {
		ups := newUpstream(mac, fmt.Sprintf("i-%08x", 0xa1+pos), true)
		prepare(ups)
		all = append(all, ups)
		if err := ups.run(time.Duration(rand.IntN(wld.beatMs)) * time.Millisecond); err != nil {
			return nil, err
		}
	}
	return all, wld.awaitReady(agents...)
}

var lookupServices = [][]any{shardedService("vitrine")}

// sendLookups sends one request after the other to the machines in turn, on keys that differ.
func sendLookups(wld *world, all []*upstream, method string, seed int, stop <-chan struct{}) {
	time.Sleep(time.Duration(seed) * 9 * time.Millisecond)
	for num := 0; ; num++ {
		select {
		case <-stop:
			return
		default:
		}
		mac := all[(seed+num)%len(all)].mac
		key := (seed*5407 + num*1201 + 37) % keyCount
		attempt := fmt.Sprintf("%08x%08x", seed+1, num+1)
		req, _ := http.NewRequest(method, fmt.Sprintf("http://%s/lookup/%d", addr(mac.ip, wld.prt.outbound), num), nil)
		req.Host = "jepu9.example"
		req.Header.Set("X-Siskinrill-Attempt-Id", attempt)
		req.Header.Set("X-Siskinrill-Deadline-Ms", "4000")
		req.Header.Set("X-Siskinrill-Shard-Key", strconv.Itoa(key))
		rsp, err := operatorClient.Do(req)
		if err != nil {
			wld.logf("client: %s key %d at %s: %v", attempt, key, mac.name, err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		dat, _ := io.ReadAll(rsp.Body)
		rsp.Body.Close()
		wld.logf("client: %s key %d at %s: %d %.60s", attempt, key, mac.name, rsp.StatusCode, dat)
		if rsp.StatusCode != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// watchWork counts the keys that an upstream holds while another one that holds them too is at work on them.
func watchWork(wld *world, all []*upstream, end <-chan struct{}) <-chan int {
	out := make(chan int, 1)
	go func() {
		seen := map[string]bool{}
		for {
			select {
			case <-end:
				out <- len(seen)
				return
			case <-time.After(10 * time.Millisecond):
			}
			now := time.Now()
			type job struct {
				ups *upstream
				key int
			}
			var jobs []job
			for _, ups := range all {
				ups.mu.Lock()
				for key := range ups.working {
					if ups.holdsNow(key, now) {
						jobs = append(jobs, job{ups: ups, key: key})
					}
				}
				ups.mu.Unlock()
			}
			for _, itm := range jobs {
				for _, ups := range all {
					if ups == itm.ups {
						continue
					}
					ups.mu.Lock()
					both := ups.holdsNow(itm.key, now) && ups.held[itm.key].fence > itm.ups.held[itm.key].fence
					ups.mu.Unlock()
					if name := fmt.Sprint(itm.key, itm.ups.id, ups.id); both && !seen[name] {
						seen[name] = true
						wld.logf("key %d: %s is at work on it, its hold runs for %d ms more, and %s has been given it", itm.key, itm.ups.id, itm.ups.held[itm.key].until.Sub(now).Milliseconds(), ups.id)
					}
				}
			}
		}
	}()
	return out
}
