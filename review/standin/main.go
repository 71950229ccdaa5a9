package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is one run of a case.
type play struct {
	dep     *deployment
	rec     *record
	servers []*upstream
	trouble bool
	left    time.Time // from when on a request may no longer reach the first server
	read    int       // version that was read back at the end, 0 if none came
}

// caseOf is what a case does and how it is judged.
type caseOf struct {
	service string // of all machines beside servers
	play    func(*play) error
	judge   func(*play) int
}

var cases = map[string]caseOf{
	"other-writer":   {service, (*play).otherWriter, (*play).judgeOwner},
	"late-heartbeat": {service, (*play).lateHeartbeat, (*play).judgeOwner},
	"kill-only":      {service, (*play).killOnly, (*play).judgeOwner},
	"deregistration": {keyless, (*play).deregistration, (*play).judgeDrain},
	"leaving-cut":    {keyless, (*play).leavingCut, (*play).judgeLost},
	"lost-voter":     {service, (*play).lostVoter, (*play).judgeConfig},
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *out))
}

func run(name, out string) int {
	cas, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return failed
	}
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "siskinrill-review-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	dep, err := newDeployment(root, dir, slices.Repeat([]string{cas.service}, 7))
	if err != nil {
		return fail(err)
	}
	defer dep.stop()
	go dep.stopEarly()
	ply := &play{dep: dep, rec: newRecord(), trouble: os.Getenv("TROUBLE") != "0"}
	if err := ply.begin(); err != nil {
		_ = ply.rec.write(out)
		keepLogs(dir)
		return fail(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { dep.clients(ctx, ply.rec, 120); close(ended) }()
	err = cas.play(ply)
	cancel()
	<-ended
	keepLogs(dir)
	sts := cas.judge(ply)
	for _, mac := range append(append([]*machine{}, dep.cores...), dep.sides...) {
		if mac.cmd != nil && !mac.running() {
			ply.rec.add("%s has ended by itself", mac.name)
		}
	}
	if werr := ply.rec.write(out); werr != nil {
		return fail(werr)
	}
	if err != nil {
		return fail(err)
	}
	return sts
}

// limit is the longest time of a run.
const limit = 110 * time.Second

// stopEarly ends all processes when this one is told to stop or takes too long.
func (dep *deployment) stopEarly() {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-sig:
	case <-time.After(limit):
	}
	dep.stop()
	os.RemoveAll(dep.dir)
	os.Exit(failed)
}

// keepLogs copies the logs of the processes to the folder that KEEP names.
func keepLogs(dir string) {
	to := os.Getenv("KEEP")
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, log := range logs {
		if raw, err := os.ReadFile(log); to != "" && err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(log)), raw, 0o644)
		}
	}
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return failed
}

// begin starts the deployment and its servers, and waits until these hold all keys.
func (ply *play) begin() error {
	dep := ply.dep
	for _, mac := range append(append([]*machine{}, dep.cores...), dep.sides...) {
		if err := dep.start(mac, true); err != nil {
			return err
		}
	}
	for _, mac := range dep.sides {
		if !awaitListening(dep.address(mac, dep.prt.control), 10*time.Second) {
			return fmt.Errorf("%s does not listen", mac.name)
		}
	}
	for num, mac := range dep.sides {
		ups, err := ply.startServer(mac, fmt.Sprintf("i-%d", num+1))
		if err != nil {
			return err
		}
		ply.servers = append(ply.servers, ups)
	}
	if err := dep.configure(1, 20*time.Second); err != nil {
		return err
	}
	ply.rec.add("the configuration is acknowledged")
	if err := dep.awaitReady(15 * time.Second); err != nil {
		return err
	}
	if dep.sides[0].service == keyless {
		time.Sleep(3 * time.Second)
		return nil
	}
	if !ply.awaitHolds(keyCount, 25*time.Second) {
		return fmt.Errorf("not all keys are held")
	}
	ply.rec.add("all keys are held")
	time.Sleep(3 * time.Second)
	return nil
}

func (ply *play) startServer(mac *machine, id string) (*upstream, error) {
	return startUpstream(ply.rec, id, mac.service, mac.zone, ply.dep.address(mac, ply.dep.prt.app), ply.dep.address(mac, ply.dep.prt.control))
}

// awaitHolds waits until the servers hold a number of keys together.
func (ply *play) awaitHolds(want int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		num := 0
		for _, ups := range ply.servers {
			num += ups.held()
		}
		if num >= want {
			return true
		}
	}
	return false
}

// judgeOwner tells whether the rule OWNER was broken.
func (ply *play) judgeOwner() int {
	rec := ply.rec
	rec.add("client attempts: %s", rec.statuses())
	sts := held
	all := rec.overlaps()
	both := 0
	for _, ovl := range all {
		sts = broken
		if len(ovl.runs) > 1 {
			both++
		}
	}
	rec.add("judged keys that two servers held at the same time for over half a second: %d; both began requests on %d of them", len(all), both)
	for _, ovl := range all[:min(len(all), 12)] {
		rec.add("  key %d: %s with token %d and %s with token %d, from %s to %s, requests begun in that time: %v",
			ovl.key, ovl.one.server, ovl.one.fence, ovl.two.server, ovl.two.fence, rec.at(ovl.begin), rec.at(ovl.end), ovl.runs)
	}
	fmt.Println("client attempts:", rec.statuses())
	fmt.Printf("judged keys held by two servers for over 0.5 s: %d; both began requests on %d of them\n", len(all), both)
	if sts == broken {
		fmt.Println("OWNER is broken")
	}
	return sts
}

// otherWriter sends one heartbeat of another writer: it has all fields and types of a proper one, but its service is not named
// in the configuration.
func (ply *play) otherWriter() error {
	time.Sleep(4 * time.Second)
	ups := ply.servers[0]
	if ply.trouble {
		raw, _ := json.Marshal(map[string]any{
			"service": "vano77c", "address": ups.adr, "zone": ups.zone, "version": "v1", "slots": 13, "state": "ready", "warmup-left-ms": 0,
			"sequence": 1, "born": time.Now().UnixMilli(), "holds": []any{}, "released": []any{},
		})
		sts, ans, err := put(ups.control, "i-other", raw)
		ply.rec.add("a heartbeat of another writer, service vano77c, is sent to the machine of %s: status %d, %q, %v", ups.id, sts, ans, err)
	}
	time.Sleep(9 * time.Second)
	return nil
}

// lateHeartbeat lets a server crash and start again, kills the process beside it later, and delivers a heartbeat of the crashed
// incarnation to the process that comes back.
func (ply *play) lateHeartbeat() error { return ply.restart(true) }

// killOnly does the same without the late heartbeat.
func (ply *play) killOnly() error { return ply.restart(false) }

func (ply *play) restart(late bool) error {
	mac, old := ply.dep.sides[0], ply.servers[0]
	time.Sleep(time.Second)
	old.beatSoon()
	time.Sleep(300 * time.Millisecond)
	delayed, _ := old.body() // its sender has crashed before it arrives
	old.crash()
	time.Sleep(time.Second)
	ups, err := ply.startServer(mac, "i-1b")
	if err != nil {
		return err
	}
	ply.servers[0] = ups
	for end := time.Now().Add(8 * time.Second); ups.held() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the server that has started again holds no keys")
		}
	}
	ply.rec.add("%s holds %d keys", ups.id, ups.held())
	time.Sleep(3 * time.Second)
	if ply.trouble {
		ups.awaitBeat()
		ply.dep.kill(mac)
		ply.rec.add("the process on %s is killed", mac.name)
		time.Sleep(300 * time.Millisecond)
		if err := ply.dep.start(mac, false); err != nil {
			return err
		}
		if !awaitListening(ups.control, 5*time.Second) {
			return fmt.Errorf("%s does not come back", mac.name)
		}
		if err := ply.dep.awaitReady(2 * time.Second); err != nil {
			return err
		}
		if late {
			sts, ans, err := put(ups.control, old.id, delayed)
			ply.rec.add("a heartbeat that %s sent before it crashed arrives on %s: status %d, %d bytes, %v", old.id, mac.name, sts, len(ans), err)
		}
	}
	time.Sleep(9 * time.Second)
	return nil
}

// deregistration lets a server leave as some do, by a DELETE without having reported that it drains. The process beside it has
// been killed and has come back less than a heartbeat ago. The server goes on serving. A heartbeat that it had sent before
// arrives 2 s late.
func (ply *play) deregistration() error {
	mac, ups := ply.dep.sides[0], ply.servers[0]
	time.Sleep(4 * time.Second)
	ups.awaitBeat()
	started := time.Now()
	delayed, _ := ups.body()
	if ply.trouble {
		ply.dep.kill(mac)
		ply.rec.add("the process on %s is killed", mac.name)
		time.Sleep(300 * time.Millisecond)
		started = time.Now()
		if err := ply.dep.start(mac, false); err != nil {
			return err
		}
		if !awaitListening(ups.control, 5*time.Second) {
			return fmt.Errorf("%s does not come back", mac.name)
		}
	}
	acknowledged, err := ups.deregister()
	if err != nil {
		return err
	}
	// drain-ms after the acknowledgement, and stability-window-ms after the start: by then the machine is in touch.
	ply.left = later(acknowledged.Add(2*time.Second), started.Add(3*time.Second))
	time.Sleep(2 * time.Second)
	if ply.trouble {
		sts, _, err := put(ups.control, ups.id, delayed)
		ply.rec.add("a heartbeat that %s sent before its DELETE arrives: status %d, %v", ups.id, sts, err)
	}
	time.Sleep(8 * time.Second)
	return nil
}

// judgeDrain tells whether the rule DRAIN was broken by requests that were sent once the first server had left.
func (ply *play) judgeDrain() int {
	rec := ply.rec
	rec.add("client attempts: %s", rec.statuses())
	if ply.left.IsZero() {
		return held
	}
	num := rec.runsAfter(ply.servers[0].id, ply.left)
	rec.add("requests that were sent after %s and run by %s: %d", rec.at(ply.left), ply.servers[0].id, num)
	fmt.Println("client attempts:", rec.statuses())
	fmt.Printf("requests sent over 2 s after the acknowledgement, by machines in touch, and run by the server that has left: %d\n", num)
	if num == 0 {
		return held
	}
	fmt.Println("DRAIN is broken")
	return broken
}

// lostVoter freezes a machine of the core for some seconds while another is replaced as planned, the new one first. Later two
// machines of the core lose their disks right after a change was acknowledged, as many as the deployment is to bear.
func (ply *play) lostVoter() error {
	dep := ply.dep
	frozen, replaced := dep.cores[3], dep.cores[4]
	added := dep.addCore()
	if ply.trouble {
		if err := dep.signal(frozen, syscall.SIGSTOP); err != nil {
			return err
		}
		ply.rec.add("%s stands still", frozen.name)
	}
	time.Sleep(300 * time.Millisecond)
	if err := dep.start(added, false); err != nil {
		return err
	}
	ply.rec.add("%s starts with an empty disk", added.name)
	time.Sleep(3200 * time.Millisecond)
	if ply.trouble {
		if err := dep.signal(frozen, syscall.SIGCONT); err != nil {
			return err
		}
		ply.rec.add("%s goes on", frozen.name)
	}
	time.Sleep(5 * time.Second)
	if err := dep.terminate(replaced); err != nil {
		return err
	}
	ply.rec.add("%s has ended after SIGTERM and is gone", replaced.name)
	time.Sleep(12 * time.Second)
	if err := dep.configure(2, 10*time.Second); err != nil {
		return err
	}
	ply.rec.add("version 2 is acknowledged")
	for _, mac := range []*machine{dep.cores[0], added} {
		dep.kill(mac)
		if err := os.RemoveAll(dep.data(mac)); err != nil {
			return err
		}
		ply.rec.add("%s is killed and loses its disk", mac.name)
	}
	time.Sleep(time.Second)
	for _, mac := range []*machine{dep.cores[0], added} {
		if err := dep.start(mac, false); err != nil {
			return err
		}
	}
	ply.rec.add("both are back with empty disks")
	ply.read = dep.readBack(2, 20*time.Second)
	return nil
}

// judgeConfig tells whether the acknowledged configuration could be read back.
func (ply *play) judgeConfig() int {
	rec := ply.rec
	rec.add("client attempts: %s", rec.statuses())
	rec.add("version read back within 20 s: %d (0: none)", ply.read)
	fmt.Println("client attempts:", rec.statuses())
	fmt.Printf("version acknowledged: 2; read back within 20 s: %d (0: none)\n", ply.read)
	if ply.read == 2 {
		return held
	}
	fmt.Println("CONFIG is broken")
	return broken
}

// leavingCut lets a server leave by a DELETE, after which it sends no more heartbeats and finishes its work, while the machine that
// took some of this work from its clients is stopped as planned. Both are planned work; the first is left out without trouble.
func (ply *play) leavingCut() error {
	entry, ups := ply.dep.sides[3], ply.servers[0] // in the same zone
	time.Sleep(3 * time.Second)
	ups.awaitBeat()
	time.Sleep(1200 * time.Millisecond)
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	var group sync.WaitGroup
	for range 30 {
		group.Go(func() { ply.dep.request(cli, ply.rec, entry, longPath, noKey, 12*time.Second) })
	}
	time.Sleep(150 * time.Millisecond)
	if ply.trouble {
		if _, err := ups.deregister(); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	ply.rec.add("%s gets SIGTERM", entry.name)
	if err := ply.dep.terminate(entry); err != nil {
		return err
	}
	ply.rec.add("%s has ended", entry.name)
	group.Wait()
	return nil
}

// judgeLost tells whether requests that the stopped machine had taken were broken off while their server was at work.
func (ply *play) judgeLost() int {
	rec := ply.rec
	rec.add("client attempts: %s", rec.statuses())
	lost := rec.brokenOff(ply.dep.sides[3].name, ply.servers[0].id)
	for _, req := range lost {
		rec.add("request %s, sent at %s: cut while %s was at work, client's result: %s", req.id, rec.at(req.sent), ply.servers[0].id, req.status)
	}
	fmt.Println("client attempts:", rec.statuses())
	fmt.Printf("requests of the stopped machine that were broken off while their server was at work: %d\n", len(lost))
	if len(lost) == 0 {
		return held
	}
	fmt.Println("LOST is broken")
	return broken
}
