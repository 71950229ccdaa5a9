package rawclient_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill/internal/bench/memory"
	"github.com/siskinrill/siskinrill/internal/bench/rawclient"
)

const (
	// descriptors is the limit of the process.
	descriptors = 1000
	// maxDescriptors is the number that it may have open; the rest is for its files and its connections to other processes.
	maxDescriptors = descriptors * 3 / 4
	// holders is the number of clients that hold connections.
	holders = 1200
	// settleTime is the time in which they connect.
	settleTime = 5 * time.Second
)

// unsentBody is a head whose body does not follow.
const unsentBody = "POST /orders/o1/payment HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 65536\r\n\r\n"

// TestHeldConnectionsKeepCallersOut guards against clients that hold connections which they never use to an end, so that the
// process has no descriptor left for ordinary callers.
func TestHeldConnectionsKeepCallersOut(t *testing.T) {
	answered := rawclient.Finish(rawclient.ShortLines(1))
	for name, tcs := range map[string]struct {
		listener string
		script   rawclient.Script
	}{
		"nothing sent":              {"callers", rawclient.Script{Redial: true}},
		"nothing sent to the admin": {"admin", rawclient.Script{Redial: true}},
		"head never finished": {
			"callers", rawclient.Script{Start: rawclient.ShortLines(1), Repeat: []byte("a:\r\n"), Pause: time.Second, Redial: true},
		},
		"idle after an answer":           {"callers", rawclient.Script{Start: answered, Redial: true}},
		"part of a line after an answer": {"callers", rawclient.Script{Start: append(bytes.Clone(answered), "GET"...), Redial: true}},
		"blank after an answer":          {"callers", rawclient.Script{Start: append(bytes.Clone(answered), "\r\n"...), Redial: true}},
		"body never sent":                {"callers", rawclient.Script{Start: []byte(unsentBody), Redial: true}},
		"idle after an answer, backend":  {"backend", rawclient.Script{Start: answered, Redial: true}},
	} {
		t.Run(name, func(t *testing.T) {
			prc := start(t, descriptors)
			ctx, cancel := context.WithCancel(t.Context())
			var all sync.WaitGroup
			defer all.Wait()
			defer cancel()
			all.Go(func() {
				rawclient.Run(ctx, prc.address(tcs.listener), holders, func(int) rawclient.Script { return tcs.script })
			})
			time.Sleep(settleTime)
			prc.requireAnswer(t)
			prc.requireAlive(t)
			num, err := memory.ProcessDescriptors(prc.cmd.Process.Pid)
			must.NoError(t, err)
			t.Logf("%d descriptors", num)
			must.LessEq(t, maxDescriptors, num)
		})
	}
}
