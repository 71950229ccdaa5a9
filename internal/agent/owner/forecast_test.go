package owner

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestJudge guards against requests that wait although they cannot end in time, and against refusals while there is room.
func TestJudge(t *testing.T) {
	ms := time.Millisecond
	for nam, tcs := range map[string]struct {
		dmd  demand
		blg  backlog
		want verdict
	}{
		"no slots":              {dmd: demand{run: 10 * ms, aim: time.Second, deadline: time.Second}, blg: backlog{}, want: refused},
		"free slot":             {dmd: demand{run: 100 * ms, aim: 500 * ms, deadline: time.Second}, blg: backlog{slots: 2, running: 1}, want: timely},
		"free slot, aim over":   {dmd: demand{run: 100 * ms, deadline: time.Second}, blg: backlog{slots: 2, running: 1}, want: late},
		"short queue":           {dmd: demand{run: 100 * ms, aim: 500 * ms, deadline: time.Second}, blg: backlog{slots: 2, running: 2, rest: 100 * ms, timely: 400 * ms, all: 400 * ms}, want: timely},
		"long queue, no load":   {dmd: demand{run: 100 * ms, aim: 300 * ms, deadline: time.Second}, blg: backlog{slots: 2, running: 2, rest: 100 * ms, timely: 500 * ms, all: 500 * ms}, want: late},
		"long queue under load": {dmd: demand{run: 100 * ms, aim: 300 * ms, deadline: time.Second}, blg: backlog{slots: 2, running: 2, rest: 100 * ms, timely: 500 * ms, all: 500 * ms, load: 1.2}, want: refused},
		"late ones do not count": {
			dmd: demand{run: 100 * ms, aim: 500 * ms, deadline: time.Second},
			blg: backlog{slots: 2, running: 2, rest: 100 * ms, timely: 200 * ms, all: 5 * time.Second, load: 1.2}, want: timely,
		},
	} {
		t.Run(nam, func(t *testing.T) {
			got, wait := judge(tcs.dmd, tcs.blg)
			must.Eq(t, tcs.want, got)
			must.Eq(t, got == refused, wait >= leastReturn)
		})
	}
}

// load is a pattern of arrivals at one owner.
type load struct {
	slots    int
	run      time.Duration
	aim      time.Duration
	deadline time.Duration
	factor   float64 // offered work as a multiple of the slots
}

// outcomes count what became of the requests of a replay.
type outcomes struct {
	asked, timely, late, wasted, refused int
}

// replayed is one request of a replay.
type replayed struct {
	came time.Duration
	late bool
}

// replay plays a load against an admission rule with one queue, in steps of a millisecond.
func (lod load) replay(admit func(demand, backlog) verdict) outcomes {
	rnd := rand.New(rand.NewSource(1))
	var out outcomes
	var queue []replayed
	running := map[time.Duration][]replayed{} // by their end
	busy := 0
	rate := lod.factor * float64(lod.slots) / lod.run.Seconds() / 1000
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		for _, req := range running[now] {
			busy--
			switch took := now - req.came; {
			case took <= lod.aim:
				out.timely++
			case took <= lod.deadline:
				out.late++
			default:
				out.wasted++
			}
		}
		delete(running, now)
		for num := rate; num > 0 && (num >= 1 || rnd.Float64() < num); num-- {
			out.asked++
			blg := backlog{slots: lod.slots, running: busy, load: lod.factor, all: time.Duration(len(queue)) * lod.run}
			blg.rest = time.Duration(busy) * lod.run / 2
			for _, req := range queue {
				if !req.late {
					blg.timely += lod.run
				}
			}
			vdt := admit(demand{run: lod.run, aim: lod.aim, deadline: lod.deadline}, blg)
			if vdt == refused {
				out.refused++
				continue
			}
			queue = append(queue, replayed{came: now, late: vdt == late})
		}
		slices.SortStableFunc(queue, func(one, two replayed) int {
			switch {
			case one.late == two.late:
				return int(one.came - two.came)
			case one.late:
				return 1
			default:
				return -1
			}
		})
		for busy < lod.slots && len(queue) > 0 {
			end := now + lod.run
			running[end] = append(running[end], queue[0])
			queue = queue[1:]
			busy++
		}
	}
	return out
}

// TestOverloadServesInTime replays the lookups of a day of high load at half as much again as the slots can do; it guards against a queue in which every request ends late, and counts them beside the queue of 72 that was used before.
func TestOverloadServesInTime(t *testing.T) {
	lod := load{slots: 18, run: 160 * time.Millisecond, aim: 500 * time.Millisecond, deadline: 1200 * time.Millisecond, factor: 1.5}
	plain := lod.replay(func(_ demand, blg backlog) verdict {
		if blg.all >= 72*lod.run {
			return refused
		}
		return timely
	})
	judged := lod.replay(func(dmd demand, blg backlog) verdict {
		vdt, _ := judge(dmd, blg)
		return vdt
	})
	t.Logf("queue of 72: %+v; forecast: %+v", plain, judged)
	capacity := float64(judged.asked) / lod.factor
	must.Greater(t, 0.95*capacity, float64(judged.timely))
	must.Less(t, 0.1*capacity, float64(plain.timely))
	must.Eq(t, 0, judged.wasted)
}
