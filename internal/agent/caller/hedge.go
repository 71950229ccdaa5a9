package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
	"github.com/siskinrill/siskinrill/internal/wire/controlpb"
	"github.com/siskinrill/siskinrill/internal/wire/peerpb"
)

// result is the answer or refusal of one of several concurrent attempts.
type result struct {
	number int
	id     *peerpb.AttemptId
	ans    *siskinrill.Answer
	ref    *siskinrill.Refusal
}

// race runs attempts of an idempotent request concurrently; the first answer wins.
type race struct {
	cal     *call
	tgt     target
	results chan result
	cancels []context.CancelFunc
	pending int
}

// hedgeAfter returns after how long without an answer the request is sent a second time, 0 for never. The large answer of
// a download would take twice the bandwidth of the links that it crosses.
func (cal *call) hedgeAfter() time.Duration {
	if !cal.body.complete || cal.route.GetKind() == controlpb.RequestKind_REQUEST_KIND_DOWNLOAD {
		return 0
	}
	return time.Duration(cal.service.GetHedgeAfterMs()) * time.Millisecond
}

// tryHedged makes an attempt and, if no answer arrives within after, a second one.
func (cal *call) tryHedged(tgt target, after time.Duration) (*siskinrill.Answer, *siskinrill.Refusal) {
	rac := &race{cal: cal, tgt: tgt, results: make(chan result, 2)}
	rac.start()
	tmr := time.NewTimer(after)
	defer tmr.Stop()
	for {
		select {
		case <-tmr.C:
			if cal.tries < cal.maxAttempts() && cal.han.budgets.take(cal.service.GetName()) {
				cal.tries++
				cal.han.counters.Event("hedge")
				rac.start()
			}
		case res := <-rac.results:
			rac.pending--
			if res.ref == nil {
				rac.cancelOthers(res.number)
				return cancelOnClose(res.ans, nil, rac.cancels[res.number])
			}
			rac.cancels[res.number]()
			cal.mayHaveRun = cal.mayHaveRun || !res.ref.NotRun()
			cal.noteUnknown(tgt, res.id, res.ref)
			if rac.pending == 0 {
				return nil, res.ref
			}
		}
	}
}

func (rac *race) start() {
	ctx, cancel := rac.cal.han.attemptContext(rac.cal.req.Context(), rac.cal.deadline)
	num := len(rac.cancels)
	rac.cancels = append(rac.cancels, cancel)
	rac.pending++
	opn := rac.cal.openMessage(rac.tgt)
	go func() {
		ans, ref := rac.cal.send(ctx, rac.tgt, opn)
		rac.results <- result{number: num, id: opn.GetAttempt(), ans: ans, ref: ref}
	}()
}

// cancelOthers cancels the other attempts and closes answers that still arrive from them.
func (rac *race) cancelOthers(winner int) {
	for num, cancel := range rac.cancels {
		if num != winner {
			cancel()
		}
	}
	for range rac.pending {
		go func() {
			if res := <-rac.results; res.ans != nil {
				_ = res.ans.Close()
			}
		}()
	}
}
