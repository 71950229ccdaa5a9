package owner

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

const (
	// linkRate is the bandwidth of the host's link in the tests, in bytes a second (9.9 Mbit/s).
	linkRate = 1_237_500
	// linkLatency is the time between the first read of a body and its first byte on an idle link.
	linkLatency = 4 * time.Millisecond
	// linkChunk is the size of the parts in which a body arrives.
	linkChunk = 16 << 10
)

// fakeLink delivers bodies in the order in which they were requested.
type fakeLink struct {
	mu        sync.Mutex
	busyUntil time.Time     // when everything sent so far has arrived
	maxDelay  time.Duration // maximum time for which a short message would have waited behind bodies
	slow      int           // divides the rate, 0 for 1
}

// send returns the times at which the parts of a body arrive.
func (lnk *fakeLink) send(size int) []time.Time {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	now := time.Now().Add(linkLatency)
	if lnk.busyUntil.Before(now) {
		lnk.busyUntil = now
	}
	var ats []time.Time
	for sent := 0; sent < size; sent += linkChunk {
		num := min(linkChunk, size-sent)
		lnk.busyUntil = lnk.busyUntil.Add(time.Duration(num*max(lnk.slow, 1)) * time.Second / linkRate)
		ats = append(ats, lnk.busyUntil)
	}
	lnk.maxDelay = max(lnk.maxDelay, lnk.busyUntil.Sub(now))
	return ats
}

// linkBody is a body that is sent over a link from the first read on.
type linkBody struct {
	ctx       context.Context
	link      *fakeLink
	data      []byte
	part      []byte // part of data that has arrived and was not read
	stallAt   int    // number of remaining bytes at which the transfer stalls, 0: none
	err       error  // returned in place of io.EOF
	ats       []time.Time
	requested bool
}

func (bdy *linkBody) Read(buf []byte) (int, error) {
	if !bdy.requested {
		bdy.requested = true
		bdy.ats = bdy.link.send(len(bdy.data))
	}
	if len(bdy.part) == 0 {
		if err := bdy.next(); err != nil {
			return 0, err
		}
	}
	num := copy(buf, bdy.part)
	bdy.part = bdy.part[num:]
	return num, nil
}

// next waits for the next part.
func (bdy *linkBody) next() error {
	if len(bdy.ats) == 0 {
		return cmp.Or(bdy.err, io.EOF)
	}
	wait := time.Until(bdy.ats[0])
	if bdy.stallAt > 0 && len(bdy.data) <= bdy.stallAt {
		wait = time.Hour
	}
	select {
	case <-time.After(wait):
	case <-bdy.ctx.Done():
		return bdy.ctx.Err()
	}
	num := min(linkChunk, len(bdy.data))
	bdy.part, bdy.data, bdy.ats = bdy.data[:num], bdy.data[num:], bdy.ats[1:]
	return nil
}

// upload sends an upload whose body is transferred over a link; edit may change it first.
func (bnc *bench) upload(ctx context.Context, num uint64, lnk *fakeLink, size int, edit func(opn *peerpb.Open, bdy *linkBody)) <-chan error {
	opn := open(num, "ab")
	opn.Kind, opn.BodyEnd, opn.BodyLength = uint32(controlpb.RequestKind_REQUEST_KIND_UPLOAD), false, int64(size)
	ctx, cancel := context.WithCancel(ctx)
	bdy := &linkBody{ctx: ctx, link: lnk, data: bytes.Repeat([]byte("x"), size)}
	if edit != nil {
		edit(opn, bdy)
	}
	out := make(chan error, 1)
	go func() {
		// As between agents, the end of the attempt ends its stream.
		defer cancel()
		_, err := bnc.own.Handle(ctx, siskinrill.NewAttempt(opn, bdy))
		out <- err
	}()
	synctest.Wait()
	return out
}

// runAfterBody returns a backend server that reads the complete body and then runs for a time.
func runAfterBody(run time.Duration, runs *atomic.Int32) func(context.Context, *siskinrill.Attempt, siskinrill.Grant) (*siskinrill.Answer, error) {
	return func(ctx context.Context, att *siskinrill.Attempt, grt siskinrill.Grant) (*siskinrill.Answer, error) {
		runs.Add(1)
		got := len(att.Open().GetBody())
		if att.Body() != nil {
			rst, err := io.ReadAll(att.Body())
			if err != nil {
				return nil, siskinrill.Unknown(siskinrill.ReasonCallerGone, err)
			}
			got += len(rst)
		}
		if lng := att.Open().GetBodyLength(); lng >= 0 && lng != int64(got) {
			return nil, siskinrill.Unknown(siskinrill.ReasonBackendLost, io.ErrUnexpectedEOF)
		}
		time.Sleep(run)
		return answerOK(ctx, att, grt)
	}
}

// TestBodyBeforeSlot guards against slots that are blocked by the bodies of slow callers.
func TestBodyBeforeSlot(t *testing.T) {
	bubble(t, 1, func(t *testing.T, bnc *bench) {
		var runs atomic.Int32
		bnc.bck.do = runAfterBody(20*time.Millisecond, &runs)
		slow := bnc.upload(t.Context(), 1, &fakeLink{}, 200<<10, nil)
		beg := time.Now()
		must.NoError(t, <-bnc.start(t.Context(), open(2, "ab")))
		must.Less(t, 30*time.Millisecond, time.Since(beg))
		must.NoError(t, <-slow)
	})
}

// TestLinkQueue guards against bodies that queue for seconds on the host's link, and against a link that idles while
// bodies wait.
func TestLinkQueue(t *testing.T) {
	const (
		size     = 60_000
		interval = 40 * time.Millisecond // 1.2 times the capacity of the fast link
	)
	tests := map[string]struct {
		uploads int
		slow    int
		longest time.Duration
	}{
		"fast": {uploads: 150, slow: 1, longest: 110 * time.Millisecond},
		"slow": {uploads: 20, slow: 4, longest: 440 * time.Millisecond},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 18, func(t *testing.T, bnc *bench) {
				bnc.ses.svc.QueueLimit = uint32(tcs.uploads)
				var runs atomic.Int32
				bnc.bck.do = runAfterBody(460*time.Millisecond, &runs)
				lnk := &fakeLink{slow: tcs.slow}
				beg := time.Now()
				outs := make([]<-chan error, 0, tcs.uploads)
				for num := range uint64(tcs.uploads) {
					outs = append(outs, bnc.upload(t.Context(), num+1, lnk, size, func(opn *peerpb.Open, _ *linkBody) { opn.TimeoutMs = 12_000 }))
					time.Sleep(interval)
				}
				for _, out := range outs {
					must.NoError(t, <-out)
				}
				must.Less(t, tcs.longest, lnk.maxDelay)
				minTime := time.Duration(tcs.uploads*size*tcs.slow) * time.Second / linkRate
				must.Less(t, minTime+minTime/20, lnk.busyUntil.Sub(beg))
			})
		})
	}
}

// TestLinkForecast guards against uploads beyond the link's capacity that are refused only after a delay, or that
// make all others miss their aims.
func TestLinkForecast(t *testing.T) {
	const (
		uploads        = 300
		size           = 60_000
		interval       = 32 * time.Millisecond // 1.5 times the capacity of the link
		aim            = 1500 * time.Millisecond
		maxRefusalTime = 50 * time.Millisecond // maximum time until a refusal
		minShare       = 0.85                  // minimum share of the link's capacity used by answers within their aims
	)
	bubble(t, 18, func(t *testing.T, bnc *bench) {
		bnc.ses.svc.QueueLimit = 100
		var runs, timely, badRefusals atomic.Int32
		bnc.bck.do = runAfterBody(460*time.Millisecond, &runs)
		lnk := &fakeLink{}
		edit := func(opn *peerpb.Open, _ *linkBody) {
			opn.TimeoutMs, opn.AimMs, opn.Route = 12_000, uint32(aim.Milliseconds()), "print-upload"
		}
		var callers sync.WaitGroup
		beg := time.Now()
		for num := range uint64(uploads) {
			out := bnc.upload(t.Context(), num+1, lnk, size, edit)
			callers.Go(func() {
				arrived := time.Now()
				err := <-out
				if err == nil && time.Since(arrived) <= aim {
					timely.Add(1)
				}
				if err != nil && (refusalOf(err).RetryAfter() == 0 || time.Since(arrived) > maxRefusalTime) {
					badRefusals.Add(1)
				}
			})
			time.Sleep(interval)
		}
		capacity := time.Since(beg).Seconds() * linkRate / size
		callers.Wait()
		t.Logf("%d runs, %d within the aim, %d refused late or without Retry-After, capacity %.0f", runs.Load(), timely.Load(), badRefusals.Load(), capacity)
		must.Less(t, 0.05*uploads, float64(badRefusals.Load()))
		must.Greater(t, minShare*capacity, float64(timely.Load()))
	})
}

// TestStalledBody guards against one caller that blocks the bodies of others, and against a request that waits for
// its body past its deadline.
func TestStalledBody(t *testing.T) {
	tests := map[string]int{"from the first byte": 200 << 10, "in the middle": 100 << 10}
	for name, stall := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				var runs atomic.Int32
				bnc.bck.do = runAfterBody(20*time.Millisecond, &runs)
				beg := time.Now()
				stalled := bnc.upload(t.Context(), 1, &fakeLink{}, 200<<10, func(opn *peerpb.Open, bdy *linkBody) { bdy.stallAt, opn.TimeoutMs = stall, 900 })
				must.NoError(t, <-bnc.upload(t.Context(), 2, &fakeLink{}, 60_000, nil))
				must.Less(t, 500*time.Millisecond, time.Since(beg))
				ref := refusalOf(<-stalled)
				must.True(t, ref.NotRun())
				must.Eq(t, siskinrill.ReasonDeadlineInQueue, ref.Reason())
				must.Eq(t, 900*time.Millisecond, time.Since(beg))
				must.Eq(t, 1, runs.Load())
				must.Eq(t, "0", bnc.own.Vars()["owner_body_bytes_pending"].String())
				must.Eq(t, "0", bnc.own.Vars()["owner_queued"].String())
			})
		})
	}
}

// TestBodyNotReceived guards against a run, or an unproven outcome, of a request whose body was not received
// completely.
func TestBodyNotReceived(t *testing.T) {
	tests := map[string]struct {
		edit   func(opn *peerpb.Open, bdy *linkBody)
		then   func(t *testing.T, bnc *bench, cancel func())
		reason siskinrill.Reason
	}{
		"truncated":   {edit: func(_ *peerpb.Open, bdy *linkBody) { bdy.err = io.ErrUnexpectedEOF }, reason: siskinrill.ReasonCallerGone},
		"longer":      {edit: func(opn *peerpb.Open, _ *linkBody) { opn.BodyLength-- }, reason: siskinrill.ReasonCallerGone},
		"caller gone": {then: func(_ *testing.T, _ *bench, cancel func()) { cancel() }, reason: siskinrill.ReasonCallerGone},
		"withdrawn": {
			then: func(t *testing.T, bnc *bench, _ func()) {
				ans, err := bnc.own.Withdraw(t.Context(), withdrawal(1, 0))
				must.NoError(t, err)
				must.Eq(t, peerpb.WithdrawResult_WITHDRAW_RESULT_WITHDRAWN, ans.GetResult())
			},
			reason: siskinrill.ReasonWithdrawn,
		},
	}
	for name, tcs := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, 1, func(t *testing.T, bnc *bench) {
				var runs atomic.Int32
				bnc.bck.do = runAfterBody(0, &runs)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				out := bnc.upload(ctx, 1, &fakeLink{}, 100<<10, tcs.edit)
				if tcs.then != nil {
					time.Sleep(30 * time.Millisecond)
					tcs.then(t, bnc, cancel)
				}
				ref := refusalOf(<-out)
				must.Eq(t, tcs.reason, ref.Reason())
				must.True(t, ref.NotRun())
				must.Eq(t, 0, runs.Load())
				must.NoError(t, <-bnc.upload(t.Context(), 2, &fakeLink{}, 60_000, nil), must.Sprint("the next upload"))
			})
		})
	}
}

// TestBodyDivided guards against a body or a fingerprint that depends on how the body was split for the transfer.
func TestBodyDivided(t *testing.T) {
	for name, size := range map[string]int{"fits in the buffer": 60_000, "as long as the buffer": 256 << 10, "longer": 300_000} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, func(t *testing.T, bnc *bench) {
				var runs atomic.Int32
				bnc.bck.do = runAfterBody(0, &runs)
				keyed := func(first int, known bool) func(opn *peerpb.Open, bdy *linkBody) {
					return func(opn *peerpb.Open, bdy *linkBody) {
						opn.IdempotencyKey = "photo"
						opn.Body, bdy.data = bdy.data[:first], bdy.data[first:]
						if !known {
							opn.BodyLength = -1
						}
					}
				}
				for num, edit := range []func(opn *peerpb.Open, bdy *linkBody){keyed(0, true), keyed(1000, true), keyed(0, false), keyed(size, false)} {
					must.NoError(t, <-bnc.upload(t.Context(), uint64(num+1), &fakeLink{}, size, edit))
				}
				must.Eq(t, 1, runs.Load())
				must.Eq(t, "3", counter(bnc.cnt, "events", "idempotency_repeated"))
			})
		})
	}
}
