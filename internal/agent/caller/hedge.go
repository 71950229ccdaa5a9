package caller

import (
	"context"
	"time"

	"github.com/siskinrill/siskinrill"
)

// result is the end of one of several attempts.
type result struct {
	number int
	ans    *siskinrill.Answer
	ref    *siskinrill.Refusal
}

// race runs attempts of an idempotent request side by side; the first answer wins.
type race struct {
	cal     *call
	tgt     target
	results chan result
	cancels []context.CancelFunc
	left    int
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
			rac.left--
			if res.ref == nil {
				rac.abandon(res.number)
				return bound(res.ans, nil, rac.cancels[res.number])
			}
			rac.cancels[res.number]()
			cal.ran = cal.ran || !res.ref.NotRun()
			if rac.left == 0 {
				return nil, res.ref
			}
		}
	}
}

func (rac *race) start() {
	ctx, cancel := rac.cal.han.attemptContext(rac.cal.req.Context(), rac.cal.deadline)
	num := len(rac.cancels)
	rac.cancels = append(rac.cancels, cancel)
	rac.left++
	opn := rac.cal.open(rac.tgt)
	go func() {
		ans, ref := rac.cal.send(ctx, rac.tgt, opn)
		rac.results <- result{number: num, ans: ans, ref: ref}
	}()
}

// abandon cancels the attempts that lost and drops what they may still bring.
func (rac *race) abandon(winner int) {
	for num, cancel := range rac.cancels {
		if num != winner {
			cancel()
		}
	}
	for range rac.left {
		go func() {
			if res := <-rac.results; res.ans != nil {
				_ = res.ans.Close()
			}
		}()
	}
}
