package owner

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/bench/standin"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// fixedSession avoids copying the row, which is a cost of the session and not of the owner.
type fixedSession struct {
	*fakeSession
	row *controlpb.Shard
}

func (fxs *fixedSession) Shard(string, string) *controlpb.Shard { return fxs.row }

// benchKinds measures the handling of idempotent and non-idempotent requests.
func benchKinds(b *testing.B, own *Owner) {
	own.opt.MaxRecords = 1 << 30
	time.Sleep(10 * time.Millisecond) // wait for the end of the ramp
	num := uint64(0)
	for _, kind := range []controlpb.RequestKind{controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT, controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT} {
		b.Run(kind.String(), func(b *testing.B) {
			b.ReportAllocs()
			opn := open(0, "ab")
			opn.Kind = uint32(kind)
			for b.Loop() {
				num++
				opn.Attempt.Counter = num
				_, err := own.Handle(b.Context(), siskinrill.NewAttempt(opn, nil))
				must.NoError(b, err)
			}
		})
	}
}

// BenchmarkHandle measures admission without a backend server.
func BenchmarkHandle(b *testing.B) {
	bnc := newBench(b.Context(), 64)
	bnc.own.ses = &fixedSession{fakeSession: bnc.ses, row: bnc.ses.Shard(svcName, "ab")}
	benchKinds(b, bnc.own)
}

// BenchmarkHandleLoopback measures requests through owner and client to a stand-in, compared with direct requests to
// the same stand-in.
func BenchmarkHandleLoopback(b *testing.B) {
	rgg := newRig(b, standin.Options{})
	benchKinds(b, rgg.own)
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			res, err := http.Post(rgg.srv.URL()+"/orders/ab/payment", "", nil)
			must.NoError(b, err)
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
	})
}

// BenchmarkSketch measures counting a key, with four of five requests to keys that have no counter.
func BenchmarkSketch(b *testing.B) {
	skt := newSketch()
	keys := make([]string, 1024)
	for num := range keys {
		keys[num] = "order-" + strconv.Itoa(num)
	}
	b.ReportAllocs()
	for num := 1; b.Loop(); num++ {
		skt.add(keys[num%len(keys)*min(num%5, 1)], 1)
	}
}

// liveHeap returns the size of the heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkRecordMemory measures the memory of an attempt record, of the id of an ended attempt, and of an
// idempotency record with an answer of 2 bytes; -benchtime 1x is enough.
func BenchmarkRecordMemory(b *testing.B) {
	const count = 50_000
	tests := map[string]func(opn *peerpb.Open){
		"attempt":     func(*peerpb.Open) {},
		"idempotency": func(opn *peerpb.Open) { opn.IdempotencyKey = strconv.FormatUint(opn.GetAttempt().GetCounter(), 10) },
		"past":        func(opn *peerpb.Open) { opn.Kind = uint32(controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT) },
	}
	for name, edit := range tests {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				bnc := newBench(b.Context(), 4)
				before := liveHeap()
				for num := range uint64(count) {
					opn := open(num+1, "ab")
					edit(opn)
					_, err := bnc.own.Handle(b.Context(), siskinrill.NewAttempt(opn, nil))
					must.NoError(b, err)
				}
				b.ReportMetric(float64(liveHeap()-before)/count, "B/record")
				runtime.KeepAlive(bnc)
			}
		})
	}
}
