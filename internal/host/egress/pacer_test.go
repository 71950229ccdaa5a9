package egress

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testMbps  = 9.0
	testChunk = 16 << 10
)

// link is a model of a host's link: what is sent queues behind all that was sent before, over any connection.
type link struct {
	mu    sync.Mutex
	until time.Time
	sent  int
}

// send returns how long the data waits on the link before its first byte leaves.
func (lnk *link) send(num int) time.Duration {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	now := time.Now()
	if lnk.until.Before(now) {
		lnk.until = now
	}
	wait := lnk.until.Sub(now)
	lnk.until = lnk.until.Add(time.Duration(float64(num) * bitsPerByte / (testMbps * 1e6) * float64(time.Second)))
	lnk.sent += num
	return wait
}

// replay sends 14 downloads of 90 KB a second, more than the link carries, and a short message each 20 ms; each download may
// have 128 KB in transit, as between agents. It returns the longest wait of a short message and the bytes sent.
func replay(pac *Pacer) (time.Duration, int) {
	const length, downloads, size, short = 5 * time.Second, 14, 90 << 10, 300
	lnk := &link{}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			group.Go(func() {
				for sent := 0; sent < size; sent += testChunk {
					if pac.Wait(ctx, testChunk) != nil {
						return
					}
					lnk.send(testChunk)
				}
			})
			time.Sleep(time.Second / downloads)
		}
	})
	longest := time.Duration(0)
	for ctx.Err() == nil {
		longest = max(longest, lnk.send(short))
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	return longest, lnk.sent
}

// TestShortMessagesBesideDownloads guards against requests and cancellations that wait on their host's link behind the
// downloads that it sends, and against a link that is left idle for it.
func TestShortMessagesBesideDownloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unpaced, _ := replay(nil)
		must.Greater(t, 500*time.Millisecond, unpaced, must.Sprint("the load does not fill the link"))
		paced, sent := replay(NewPacer(testMbps))
		must.Less(t, 100*time.Millisecond, paced)
		must.Greater(t, int(0.7*testMbps*1e6/bitsPerByte*5), sent)
	})
}

// TestCancelledWait guards against data that is never sent and holds up the rest.
func TestCancelledWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pac := NewPacer(testMbps)
		must.NoError(t, pac.Wait(t.Context(), 10*maxBurst))
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		for range 100 {
			must.Error(t, pac.Wait(ctx, maxBurst))
		}
		begin := time.Now()
		must.NoError(t, pac.Wait(t.Context(), MinPaced))
		must.Less(t, pac.duration(10*maxBurst), time.Since(begin))
	})
}
