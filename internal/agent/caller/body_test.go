package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/bench/memory"
	"github.com/siskinrill/siskinrill/internal/host/ingress"
)

// stoppingBody yields a text and then nothing until it is closed.
type stoppingBody struct {
	io.Reader
	closed <-chan struct{}
}

func (sbd stoppingBody) Read(buf []byte) (int, error) {
	if num, _ := sbd.Reader.Read(buf); num > 0 {
		return num, nil
	}
	<-sbd.closed
	return 0, io.ErrUnexpectedEOF
}

func (stoppingBody) Close() error { return nil }

// TestUnfinishedBodiesFillMemory guards against callers that announce bodies and do not send them to their end, and together fill the
// memory of the smallest host.
func TestUnfinishedBodiesFillMemory(t *testing.T) {
	const (
		callers  = 6000
		maxBytes = 284 << 20
	)
	for name, tcs := range map[string]struct {
		length  int64
		sent    int
		refuses bool
	}{
		"nothing sent":           {maxBufferedBody, 0, false},
		"nothing sent of chunks": {-1, 0, false},
		"almost all sent":        {maxBufferedBody, maxBufferedBody - 1, true},
		"of a long one":          {1 << 20, maxBufferedBody - 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			var mu sync.Mutex
			refused, text := 0, strings.Repeat("b", tcs.sent)
			growth := memory.Growth(func() {
				var all sync.WaitGroup
				for range callers {
					all.Go(func() {
						req := httptest.NewRequest(http.MethodPost, "/", nil)
						req.ContentLength = tcs.length
						req.Body = stoppingBody{Reader: strings.NewReader(text), closed: closed}
						_, err := readBody(httptest.NewRecorder(), req, 1<<20)
						mu.Lock()
						defer mu.Unlock()
						if errors.Is(err, errNoBodyMemory) {
							refused++
						}
					})
				}
				time.Sleep(time.Second)
				close(closed)
				all.Wait()
			})
			t.Logf("%d KB more at the peak, %d refused", growth>>10, refused)
			must.Less(t, uint64(maxBytes), growth)
			must.Eq(t, tcs.refuses, refused > 0)
			must.Eq(t, 0, ingress.CallerBodies().Used())
		})
	}
}
