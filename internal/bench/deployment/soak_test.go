package deployment

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/bench/load"
)

// The defaults keep CI short; 100 s at 1,100 requests per second send over 100,000 requests.
var (
	soakDuration = flag.Duration("deployment.soak", 15*time.Second, "duration of the mixed faults")
	soakRate     = flag.Float64("deployment.rate", 300, "requests per second under mixed faults")
	soakSeed     = flag.Uint64("deployment.seed", 1, "seed of the choice of faults")
)

// faultInterval is the time between the end of a fault and the start of the next. It is shorter than the expiry of a
// session, so that the effects of faults overlap.
const faultInterval = time.Second

// Guards against promises that are kept under a single fault but broken by faults whose effects overlap.
func mixedFaults(t *testing.T, sut *suite) {
	rng := rand.New(rand.NewPCG(*soakSeed, 0))
	pick := func(names []string) string { return names[rng.IntN(len(names))] }
	faults := []func(){
		func() {
			agt := pick(sut.Names("agent", ""))
			std := strings.Replace(agt, "agent", "standin", 1)
			sut.Kill(agt, std)
			time.Sleep(faultInterval)
			must.NoError(t, sut.Launch(agt))
			must.NoError(t, sut.Launch(std))
		},
		func() {
			std := pick(sut.Names("standin", ""))
			sut.Kill(std)
			time.Sleep(faultInterval)
			must.NoError(t, sut.Launch(std))
		},
		func() { sut.freezeFor(pick(sut.Names("agent", "")), 2*time.Second) },
		func() { sut.freezeFor(pick(sut.Names("standin", "")), 2*time.Second) },
		func() { sut.freezeFor(pick(sut.Names("control", "")), 2*time.Second) },
		func() {
			ctl := pick(sut.Names("control", ""))
			sut.Kill(ctl)
			time.Sleep(faultInterval)
			must.NoError(t, sut.Launch(ctl))
		},
		func() {
			std := pick(sut.Names("standin", ""))
			must.NoError(t, sut.Terminate(std, stopTimeout))
			must.NoError(t, sut.Launch(std))
		},
	}
	rep := sut.runLoad(t, load.Options{Duration: *soakDuration, Rate: *soakRate, Timeout: 3 * time.Second, ResendUnknown: true}, func() {
		for end := time.Now().Add(*soakDuration - 3*time.Second); time.Now().Before(end); time.Sleep(faultInterval) {
			faults[rng.IntN(len(faults))]()
		}
	})
	must.Greater(t, int(soakDuration.Seconds()**soakRate*0.9), rep.Requests)
}

func (dep *deployment) freezeFor(nam string, dur time.Duration) {
	dep.Freeze(nam)
	time.Sleep(dur)
	dep.Resume(nam)
}
