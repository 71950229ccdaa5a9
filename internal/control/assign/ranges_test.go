package assign

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
)

// numericWorld is a service of 512 ranges of numeric keys whose assignments take effect immediately.
type numericWorld struct {
	pol *Policy
	svc siskinrill.ServiceRows
	now time.Duration
}

func newNumericWorld(upstreams int) *numericWorld {
	wld := &numericWorld{pol: New(Limits{BySpeed: true, BalanceFrom: 0.6, FillShare: 0.4, Window: 2 * time.Second, HighFor: 500 * time.Millisecond, MoveCooldown: 6 * time.Second})}
	wld.svc.Service = &controlpb.Service{Name: "vitrine", Partitions: 512, KeyMode: controlpb.KeyMode_KEY_MODE_NUMBER}
	for pos := range uint32(512) {
		wld.svc.Partitions = append(wld.svc.Partitions, siskinrill.ShardRow{Partition: pos})
	}
	for num := range upstreams {
		wld.svc.Upstreams = append(wld.svc.Upstreams, siskinrill.UpstreamRow{
			Session: uint64(num + 1), Zone: string(rune('a' + num%3)), Slots: 13, Age: time.Hour,
			State: controlpb.UpstreamState_UPSTREAM_STATE_SERVING,
		})
	}
	return wld
}

// tick plans once, applies the assignments, and returns the number of rows whose owner changed.
func (wld *numericWorld) tick(idx uint64) int {
	wld.now += 100 * time.Millisecond
	moved := 0
	for _, asg := range wld.pol.Plan(wld.now, &siskinrill.Tables{Services: []siskinrill.ServiceRows{wld.svc}}) {
		row := &wld.svc.Partitions[asg.GetShard().GetPartition()]
		if row.Token != asg.GetShard().GetToken() {
			continue
		}
		if row.Owner != asg.GetTarget() {
			moved++
		}
		row.Owner, row.Token, row.Phase = asg.GetTarget(), idx, controlpb.Phase_PHASE_OWNED
	}
	return moved
}

// removeFirst removes the first upstream and orphans its rows.
func (wld *numericWorld) removeFirst() {
	gone := wld.svc.Upstreams[0].Session
	wld.svc.Upstreams = wld.svc.Upstreams[1:]
	for pos := range wld.svc.Partitions {
		if row := &wld.svc.Partitions[pos]; row.Owner == gone {
			row.Owner, row.Phase = 0, controlpb.Phase_PHASE_ORPHAN
		}
	}
}

// maxRanges returns the highest number of ranges of an upstream; adjacent rows with the same token form one
// range.
func (wld *numericWorld) maxRanges() int {
	counts, highest := map[uint64]int{}, 0
	for pos, row := range wld.svc.Partitions {
		if pos == 0 || wld.svc.Partitions[pos-1].Owner != row.Owner || wld.svc.Partitions[pos-1].Token != row.Token {
			counts[row.Owner]++
		}
		highest = max(highest, counts[row.Owner])
	}
	return highest
}

// TestRangesStayFew guards against an upstream that gets more ranges than a heartbeat answer can hold (4 KiB,
// 150 ranges) while the other upstreams fail one after the other.
func TestRangesStayFew(t *testing.T) {
	wld := newNumericWorld(6)
	idx := uint64(1)
	must.Eq(t, 512, wld.tick(idx))
	must.LessEq(t, 30, wld.maxRanges())
	for len(wld.svc.Upstreams) > 1 {
		wld.removeFirst()
		for range 80 {
			idx++
			wld.tick(idx)
		}
		must.LessEq(t, 100, wld.maxRanges(), must.Sprint(len(wld.svc.Upstreams)))
		for _, row := range wld.svc.Partitions {
			must.Positive(t, row.Owner)
		}
	}
	must.Eq(t, 1, wld.maxRanges())
}

// TestSlowUpstreamGetsFewerKeys guards against equal request rates at upstreams of unequal speed, and against
// moves while no upstream is busy.
func TestSlowUpstreamGetsFewerKeys(t *testing.T) {
	for nam, tcs := range map[string]struct {
		rate  float64 // requests per second of the service
		moves bool
	}{
		"busy": {rate: 300, moves: true},
		"idle": {rate: 60},
	} {
		t.Run(nam, func(t *testing.T) {
			wld := newNumericWorld(4)
			wld.tick(1)
			serviceTimes := []float64{0.13, 0.065, 0.065, 0.043}
			moved := 0
			for idx := uint64(2); idx < 200; idx++ {
				counts := map[uint64]float64{}
				for pos := range wld.svc.Partitions {
					wld.svc.Partitions[pos].Load = tcs.rate / 512
					counts[wld.svc.Partitions[pos].Owner]++
				}
				for num := range wld.svc.Upstreams {
					ups := &wld.svc.Upstreams[num]
					ups.Requests = counts[ups.Session] * tcs.rate / 512
					ups.Busy = min(ups.Requests*serviceTimes[num], 13)
				}
				moved += wld.tick(idx)
			}
			must.Eq(t, tcs.moves, moved > 0)
			if tcs.moves {
				must.Less(t, 0.85*13, wld.svc.Upstreams[0].Busy)
				must.Less(t, 256, moved)
			}
		})
	}
}

// TestNewLeaderWaits guards against moves by a leader that has not received load reports for long enough.
func TestNewLeaderWaits(t *testing.T) {
	wld := newNumericWorld(3)
	wld.tick(1)
	wld.svc.Upstreams = append(wld.svc.Upstreams, siskinrill.UpstreamRow{Session: 9, Zone: "a", Slots: 13, State: controlpb.UpstreamState_UPSTREAM_STATE_SERVING})
	for num := range wld.svc.Upstreams {
		wld.svc.Upstreams[num].ReportAge = time.Hour
	}
	for idx := uint64(2); idx < 30; idx++ {
		must.Eq(t, 0, wld.tick(idx))
	}
	for num := range wld.svc.Upstreams {
		wld.svc.Upstreams[num].ReportAge = 0
	}
	moved := 0
	for idx := uint64(30); idx < 90; idx++ {
		moved += wld.tick(idx)
	}
	must.Positive(t, moved)
}
