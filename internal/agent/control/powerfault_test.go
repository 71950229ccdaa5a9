package control

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/siskinrill/siskinrill/internal/agent/backend"
)

// fault is a disturbance of the hosts; inject returns once it is over.
type fault struct {
	name   string
	inject func(clu *powerCluster, hst *host)
}

// regainTime is the time in which a server that has started again gets keys.
const regainTime = 6 * time.Second

// faults are drawn with equal chances.
var faults = []fault{
	{"all agents and the leader lose power", func(clu *powerCluster, hst *host) { clu.losePower(hst.pln) }},
	{"agent restarts", func(clu *powerCluster, hst *host) { clu.restartAgent(hst) }},
	{"leader changes", func(clu *powerCluster, hst *host) {
		hst.pln.setDown(true)
		clu.pause(1000)
		hst.pln.setDown(false)
	}},
	{"server is silent", (*powerCluster).silence},
	{"server is silent", (*powerCluster).silence}, // twice as often as the others
	{"server restarts", func(_ *powerCluster, hst *host) { hst.restartServer() }},
	{"late announcements", func(clu *powerCluster, hst *host) {
		for range 1 + clu.rnd.Intn(3) {
			hst.announceOther(hst.late(clu.rnd))
		}
	}},
	{"another writer", func(clu *powerCluster, hst *host) { hst.announceOther(hst.forged(clu.rnd)) }},
	{"server and agent restart, late announcements", (*powerCluster).restartBoth},
}

// injectFault injects one random fault.
func (clu *powerCluster) injectFault() {
	hst, flt := clu.hosts[clu.rnd.Intn(len(clu.hosts))], faults[clu.rnd.Intn(len(faults))]
	clu.trace = append(clu.trace, fmt.Sprintf("%s %s, %s", time.Since(clu.began).Round(time.Millisecond), flt.name, hst.name))
	flt.inject(clu, hst)
}

// pause waits for a random time below a limit in milliseconds.
func (clu *powerCluster) pause(limit int) {
	time.Sleep(time.Duration(clu.rnd.Intn(limit)) * time.Millisecond)
}

// losePower ends all agents and the leader; the servers keep running.
func (clu *powerCluster) losePower(pln *controlPlane) {
	for _, one := range clu.hosts {
		one.stop()
	}
	pln.setDown(true)
	clu.pause(2000)
	if clu.rnd.Intn(2) == 0 {
		pln.setDown(false)
	}
	for _, num := range clu.rnd.Perm(len(clu.hosts)) {
		clu.pause(300)
		clu.hosts[num].start()
	}
	pln.setDown(false)
}

func (clu *powerCluster) restartAgent(hst *host) {
	hst.stop()
	clu.pause(1000)
	hst.start()
}

// silence lets the server send no heartbeats until it counts as failed, or almost so long.
func (clu *powerCluster) silence(hst *host) {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	hst.silentUntil = time.Now().Add(4*time.Second + time.Duration(clu.rnd.Intn(2500))*time.Millisecond)
}

// restartBoth restarts the server and then its agent, and the first announcement that this one hears is late.
func (clu *powerCluster) restartBoth(hst *host) {
	ann := hst.late(clu.rnd)
	hst.restartServer()
	time.Sleep(regainTime)
	clu.pause(8000)
	clu.restartAgent(hst)
	for range clu.rnd.Intn(3) {
		clu.pause(400) // the session may be open or not
		hst.announceOther(ann)
	}
}

// announceOther delivers an announcement, unless it is nil, that the server beside the agent has not sent now; the answer goes to its
// writer.
func (hst *host) announceOther(ann *backend.Announcement) {
	hst.mu.Lock()
	cli := hst.cli
	hst.mu.Unlock()
	if cli != nil && ann != nil {
		_, _ = cli.Announce(context.Background(), ann)
	}
}

// late returns an announcement that the server has sent, of any of its starts, nil for none.
func (hst *host) late(rnd *rand.Rand) *backend.Announcement {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	if len(hst.sent) == 0 {
		return nil
	}
	ann := *hst.sent[rnd.Intn(len(hst.sent))] // Announce completes the one that it gets
	return &ann
}

// forged returns an announcement of another writer.
func (hst *host) forged(rnd *rand.Rand) *backend.Announcement {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	return &backend.Announcement{
		ID: "other", Service: powerService, URL: "http://127.0.0.1:9", Slots: 2, Incarnation: uint64(rnd.Intn(3)) + hst.incarnation, Sequence: 1, HoldsKeys: true,
	}
}

// restartServer ends the server, which holds nothing any more, and starts it again.
func (hst *host) restartServer() {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	hst.incarnation++
	hst.sequence, hst.held, hst.heldUntil = 0, map[uint32]uint64{}, time.Time{}
}
