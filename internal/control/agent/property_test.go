package agent

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/siskinrill/siskinrill/internal/control/registry"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// TestMain lowers the number of random runs unless the flag sets it, since each run simulates many seconds.
func TestMain(m *testing.M) {
	flag.Parse()
	checksSet := false
	flag.Visit(func(flg *flag.Flag) { checksSet = checksSet || flg.Name == "rapid.checks" })
	if !checksSet {
		_ = flag.Set("rapid.checks", "12")
	}
	logrus.SetLevel(logrus.ErrorLevel)
	os.Exit(m.Run())
}

// event is one fault or disturbance of a run.
type event struct {
	After  time.Duration // time since the previous event
	Kind   int
	Target int
	For    time.Duration
}

const (
	eventDrain = iota
	eventPause
	eventElect
	eventDisconnect
	eventFail
	eventHot
	eventConfigure
	eventKinds
)

// plan is the random scenario of one run.
type plan struct {
	Seed   uint64
	Agents int
	Events []event
}

// drawPlan returns a plan whose events are distributed evenly by its seed; rapid would prefer small numbers if
// it drew them.
func drawPlan(rt *rapid.T) plan {
	pln := plan{Seed: rapid.Uint64().Draw(rt, "seed"), Agents: rapid.IntRange(2, 4).Draw(rt, "agents")}
	rnd := rand.New(rand.NewPCG(pln.Seed, 2))
	for range rapid.IntRange(4, 30).Draw(rt, "events") {
		pln.Events = append(pln.Events, event{
			After: time.Duration(rnd.IntN(800)) * time.Millisecond, Kind: rnd.IntN(eventKinds),
			Target: rnd.IntN(12), For: time.Duration(rnd.IntN(3000)) * time.Millisecond,
		})
	}
	return pln
}

// trial runs a plan and collects violations.
type trial struct {
	cluster *cluster
	holders []*leaseHolder
	keys    []string
	ctx     context.Context
	group   sync.WaitGroup

	mut          sync.Mutex
	faults       []string
	tokens       map[string]uint64
	lastServed   map[string]time.Time // by key
	firstAnswers map[string]string    // by change id
}

func newTrial(ctx context.Context, pln plan, hks hooks) *trial {
	tri := &trial{cluster: newCluster(pln.Seed, 3, hks), ctx: ctx, tokens: map[string]uint64{}, lastServed: map[string]time.Time{}, firstAnswers: map[string]string{}}
	for num := range 5 {
		tri.keys = append(tri.keys, fmt.Sprintf("k%d", num))
	}
	for num := range pln.Agents {
		hol := &leaseHolder{cluster: tri.cluster, name: fmt.Sprint("a", num), hotKey: "k0", view: registry.New()}
		tri.holders = append(tri.holders, hol)
	}
	return tri
}

// runPlan runs a plan in a synctest bubble and returns the violations.
func runPlan(t *testing.T, pln plan, hks hooks) (faults []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tri := newTrial(ctx, pln, hks)
		for _, prc := range tri.cluster.procs {
			tri.group.Go(func() { _ = prc.sessions.Run(ctx) })
		}
		tri.cluster.elect(0, 0)
		time.Sleep(10 * time.Millisecond)
		tri.configure(1)
		for _, hol := range tri.holders {
			tri.group.Go(func() { hol.run(ctx) })
		}
		tri.group.Go(tri.checkLoop)
		time.Sleep(2 * time.Second)
		for _, evt := range pln.Events {
			time.Sleep(evt.After)
			tri.disturb(evt)
		}
		for _, hol := range tri.holders {
			hol.setFailed(false)
			tri.propose(registry.SetDrain(hol.name, false))
		}
		time.Sleep(8 * time.Second)
		end := time.Now()
		cancel()
		tri.group.Wait()
		tri.checkSettled(end)
		time.Sleep(10 * time.Second) // until timers and paused agents have ended
		faults = tri.faults
	})
	return faults
}

func (tri *trial) addFault(format string, args ...any) {
	tri.mut.Lock()
	defer tri.mut.Unlock()
	tri.faults = append(tri.faults, fmt.Sprintf(format, args...))
}

func (tri *trial) disturb(evt event) {
	hol := tri.holders[evt.Target%len(tri.holders)]
	switch evt.Kind {
	case eventPause:
		hol.mut.Lock()
		hol.pausedUntil = time.Now().Add(evt.For)
		hol.mut.Unlock()
	case eventElect:
		tri.cluster.elect(evt.Target%len(tri.cluster.procs), evt.For)
	case eventDisconnect:
		hol.mut.Lock()
		if hol.pipe != nil {
			hol.pipe.cancel()
		}
		hol.mut.Unlock()
	case eventFail:
		hol.setFailed(evt.Target%2 == 0)
	case eventHot:
		for _, hol := range tri.holders {
			hol.mut.Lock()
			hol.hotKey = tri.keys[evt.Target%len(tri.keys)]
			hol.mut.Unlock()
		}
	case eventDrain:
		go tri.propose(registry.SetDrain(hol.name, evt.For < 2*time.Second))
	case eventConfigure:
		go tri.configure(uint64(evt.Target%4) + 1)
	}
}

// propose commits a command at the current leader and returns its record, empty if there was no leader.
func (tri *trial) propose(cmd *controlpb.Command) string {
	for range 20 {
		for _, prc := range tri.cluster.procs {
			if ldr, _ := prc.Leadership(); !ldr.Leading() {
				continue
			}
			ctx, cancel := context.WithTimeout(tri.ctx, 200*time.Millisecond)
			res, err := prc.Propose(ctx, cmd)
			cancel()
			if err == nil {
				return res.Record().String()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

// configure submits a configuration, or resends it, and compares the answers.
func (tri *trial) configure(num uint64) {
	cid := fmt.Sprint("c", num)
	cnf := &controlpb.Configuration{Number: num, Services: []*controlpb.Service{{Name: testService, Partitions: testPartitions, RampMs: 200, QueueLimit: uint32(num)}}}
	ans := tri.propose(registry.ApplyConfiguration(cid, "", cnf))
	tri.mut.Lock()
	defer tri.mut.Unlock()
	if was, ok := tri.firstAnswers[cid]; ok && ans != "" && was != ans {
		tri.faults = append(tri.faults, fmt.Sprintf("change %s was answered with %q, then with %q", cid, was, ans))
	}
	if ans != "" {
		tri.firstAnswers[cid] = ans
	}
}

// checkLoop checks every 4 ms for keys with two owners and for tokens that decrease.
func (tri *trial) checkLoop() {
	for tri.ctx.Err() == nil {
		for _, key := range tri.keys {
			tri.checkKey(key)
		}
		time.Sleep(4 * time.Millisecond)
	}
}

func (tri *trial) checkKey(key string) {
	owners, token := []string(nil), uint64(0)
	for _, hol := range tri.holders {
		row := hol.servedRow(key)
		if row == nil {
			continue
		}
		owners = append(owners, hol.name)
		// No request starts under a row that is being released; its key may already have an override with a
		// newer token.
		if row.GetPhase() == controlpb.Phase_PHASE_OWNED {
			token = max(token, row.GetToken())
		}
	}
	if len(owners) > 1 {
		tri.addFault("%v: key %s has the owners %v", time.Now(), key, owners)
	}
	if token != 0 && token < tri.tokens[key] {
		tri.addFault("token of key %s decreases from %d to %d", key, tri.tokens[key], token)
	}
	if token != 0 {
		tri.tokens[key] = token
		tri.lastServed[key] = time.Now()
	}
}

// checkSettled checks that every key was served within the last second before the end, and collects the
// violations that agents have found.
func (tri *trial) checkSettled(end time.Time) {
	for _, hol := range tri.holders {
		hol.mut.Lock()
		if hol.fault != "" {
			tri.addFault("%s", hol.fault)
		}
		hol.mut.Unlock()
	}
	for _, key := range tri.keys {
		if end.Sub(tri.lastServed[key]) > time.Second {
			tri.addFault("key %s was not served in the last second after all faults had ended", key)
		}
	}
}

// Guards against two owners of a key at the same time, tokens that decrease, configurations that revert and
// resent changes with another answer, under pauses, lost and duplicated messages, and leaders that have not
// noticed their replacement.
func TestLeaseProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pln := drawPlan(rt)
		if faults := runPlan(t, pln, hooks{}); len(faults) > 0 {
			rt.Fatalf("%d violations, the first: %s", len(faults), faults[0])
		}
	})
}

// Guards against a property test that does not detect when a safety rule of the leases is disabled; the same
// runs must pass with all rules.
func TestBrokenRulesAreNoticed(t *testing.T) {
	// One agent connects to the new leader while others stay with the old one, which does not notice its
	// replacement for 3 s.
	staleLeader := []event{{Kind: eventElect, Target: 1, For: 3 * time.Second}}
	for range 6 {
		staleLeader = append(staleLeader, event{After: 150 * time.Millisecond, Kind: eventDisconnect})
	}
	cases := map[string]struct {
		hooks  hooks
		events []event
	}{
		"renewal without confirmation":  {hooks{skipConfirm: true}, staleLeader},
		"new leader that does not wait": {hooks{skipWait: true}, staleLeader},
		"move without release":          {hooks{skipReleases: true}, []event{{Kind: eventDrain}, {After: time.Second, Kind: eventDrain, For: 3 * time.Second}}},
	}
	for name, tcs := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(12) {
				pln := plan{Seed: seed, Agents: 3, Events: tcs.events}
				if faults := runPlan(t, pln, hooks{}); len(faults) > 0 {
					t.Fatalf("seed %d with all rules: %s", seed, faults[0])
				}
				if faults := runPlan(t, pln, tcs.hooks); len(faults) > 0 {
					t.Logf("seed %d: %s", seed, faults[0])
					return
				}
			}
			t.Fatal("no run detected the disabled rule")
		})
	}
}
