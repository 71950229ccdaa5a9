package member

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// BenchmarkPropose measures five processes on loopback with synced files, with one proposer and with many proposers
// whose entries share appends and syncs.
func BenchmarkPropose(bch *testing.B) {
	for name, callers := range map[string]int{"alone": 1, "batched": 512} {
		bch.Run(name, func(bch *testing.B) {
			clu := newCluster(bch, 5)
			ldr := clu.awaitLeader(10 * time.Second)
			clu.proposeSequence(ldr, "warm", 50)
			cmd := command("0123456789abcdef")
			before, disk := clu.received(), clu.written()
			bch.SetParallelism(max(1, callers/10))
			bch.ResetTimer()
			if callers == 1 {
				for range bch.N {
					_, err := ldr.Propose(context.Background(), cmd)
					must.NoError(bch, err)
				}
			} else {
				bch.RunParallel(func(pbr *testing.PB) {
					for pbr.Next() {
						if _, err := ldr.Propose(context.Background(), cmd); err != nil {
							bch.Error(err)
							return
						}
					}
				})
			}
			bch.StopTimer()
			bch.ReportMetric(float64(bch.N)/bch.Elapsed().Seconds(), "proposals/s")
			bch.ReportMetric(float64(clu.received()-before)/float64(bch.N), "net-B/commit")
			bch.ReportMetric(float64(clu.written()-disk)/float64(bch.N)/5, "disk-B/commit/process")
		})
	}
}

func (clu *cluster) received() int64 {
	sum := int64(0)
	for _, prc := range clu.processes {
		sum += prc.trf.received.Load()
	}
	return sum
}

func (clu *cluster) written() int64 {
	sum := int64(0)
	for _, prc := range clu.processes {
		must.NoError(clu.tst, prc.call(context.Background(), func() { sum += prc.wal.Written() }))
	}
	return sum
}
