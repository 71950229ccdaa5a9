package owner

import (
	"context"
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

var benchKinds = map[string]controlpb.RequestKind{
	"idempotent":     controlpb.RequestKind_REQUEST_KIND_IDEMPOTENT,
	"non-idempotent": controlpb.RequestKind_REQUEST_KIND_NON_IDEMPOTENT,
}

// fixedSession spares the copy of the row, which is the session's cost and not the owner's.
type fixedSession struct {
	*fakeSession
	row *controlpb.Shard
}

func (fxs *fixedSession) Shard(string, string) *controlpb.Shard { return fxs.row }

// BenchmarkHandle shows what admission costs without a backend server.
func BenchmarkHandle(b *testing.B) {
	for name, kind := range benchKinds {
		b.Run(name, func(b *testing.B) {
			bnc := newBench(b.Context(), 64)
			bnc.own.opt.MaxRecords = 1 << 30
			bnc.own.ses = &fixedSession{fakeSession: bnc.ses, row: bnc.ses.Shard(svcName, "ab")}
			time.Sleep(10 * time.Millisecond)
			b.ReportAllocs()
			num := uint64(0)
			opn := open(num, "ab")
			opn.Kind = uint32(kind)
			for b.Loop() {
				num++
				opn.Attempt.Counter = num
				_, err := bnc.own.Handle(b.Context(), siskinrill.NewAttempt(opn, nil))
				must.NoError(b, err)
			}
		})
	}
}

// BenchmarkHandleLoopback shows the way through owner and client to a stand-in, beside direct requests to the same stand-in.
func BenchmarkHandleLoopback(b *testing.B) {
	for name, kind := range benchKinds {
		b.Run(name, func(b *testing.B) {
			rgg := newRig(b, standin.Options{})
			rgg.own.opt.MaxRecords = 1 << 30
			b.ReportAllocs()
			num := uint64(0)
			for b.Loop() {
				num++
				opn := open(num, "ab")
				opn.Kind = uint32(kind)
				_, err := rgg.call(b.Context(), siskinrill.NewAttempt(opn, nil))
				must.NoError(b, err)
			}
		})
	}
	b.Run("direct", func(b *testing.B) {
		rgg := newRig(b, standin.Options{})
		b.ReportAllocs()
		for b.Loop() {
			must.NoError(b, direct(b.Context(), rgg.srv.URL()))
		}
	})
}

func direct(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/orders/ab/payment", http.NoBody)
	if err != nil {
		return err
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// BenchmarkSketch shows the cost of a hot key counter, with four of five requests to keys that are not among the counters.
func BenchmarkSketch(b *testing.B) {
	skt := newSketch()
	keys := make([]string, 1024)
	for num := range keys {
		keys[num] = "order-" + strconv.Itoa(num)
	}
	b.ReportAllocs()
	num := 0
	for b.Loop() {
		num++
		if num%5 == 0 {
			skt.add(keys[0], 1)
			continue
		}
		skt.add(keys[num%len(keys)], 1)
	}
}

// heapAfter returns the live heap after a collection.
func heapAfter() uint64 {
	runtime.GC()
	var mst runtime.MemStats
	runtime.ReadMemStats(&mst)
	return mst.HeapAlloc
}

// BenchmarkRecordMemory shows the memory of an attempt record, a forgotten one and an idempotency record with an answer of 2 bytes.
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
				before := heapAfter()
				for num := range uint64(count) {
					opn := open(num+1, "ab")
					edit(opn)
					_, err := bnc.own.Handle(b.Context(), siskinrill.NewAttempt(opn, nil))
					must.NoError(b, err)
				}
				b.ReportMetric(float64(heapAfter()-before)/count, "B/record")
				runtime.KeepAlive(bnc)
			}
		})
	}
}
