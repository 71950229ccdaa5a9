package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/grpc"

	"github.com/siskinrill/siskinrill/internal/host/egress"
)

// TestLongAnswersPaced guards against long answers that fill the link of their host, and against short ones that wait with
// them.
func TestLongAnswersPaced(t *testing.T) {
	t.Parallel()
	const mbps, long = 8, 300 << 10 // 750 KB a second
	own := &fakeOwner{handle: echo}
	srv := NewServer(own, nil)
	srv.SetPacer(egress.NewPacer(mbps))
	addr := serve(t, func(gsv *grpc.Server) { srv.Register(gsv) })
	poo := NewPool(Options{})
	t.Cleanup(poo.Close)
	ask := func(size int) ([]byte, time.Duration) {
		begin := time.Now()
		ans, err := poo.Forward(t.Context(), addr, newAttempt(idempotent, bytes.Repeat([]byte("x"), size)))
		must.NoError(t, err)
		bdy, err := readAnswer(ans)
		must.NoError(t, err)
		return bdy, time.Since(begin)
	}
	done := make(chan time.Duration)
	go func() {
		bdy, took := ask(long)
		must.Len(t, long, bdy)
		done <- took
	}()
	time.Sleep(100 * time.Millisecond)
	_, short := ask(1 << 10)
	must.Less(t, 100*time.Millisecond, short)
	must.Between(t, 300*time.Millisecond, <-done, 2*time.Second)
}
