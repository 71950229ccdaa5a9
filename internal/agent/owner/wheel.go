package owner

import "time"

// expirer is a record that expires.
type expirer interface {
	// expire drops the record, or returns the time at which to try again.
	expire(own *Owner) (again time.Time)
}

// wheel is a timing wheel with one slot for each second of expiry.
type wheel struct {
	slots map[int64][]expirer
	swept int64
}

func newWheel() *wheel {
	return &wheel{slots: map[int64][]expirer{}, swept: time.Now().Unix()}
}

// add schedules the expiry of a record for the second after the given time.
func (whe *wheel) add(at time.Time, rec expirer) {
	sec := max(at.Unix()+1, whe.swept+1)
	whe.slots[sec] = append(whe.slots[sec], rec)
}

// sweep expires the records that are due.
func (whe *wheel) sweep(own *Owner, now time.Time) {
	last := now.Unix()
	if last-whe.swept > int64(len(whe.slots)) {
		whe.sweepSparse(own, last)
		return
	}
	for sec := whe.swept + 1; sec <= last; sec++ {
		whe.swept = sec
		whe.expire(own, sec)
	}
}

// sweepSparse iterates over the existing slots instead of the elapsed seconds, after a long pause.
func (whe *wheel) sweepSparse(own *Owner, last int64) {
	whe.swept = last
	for sec := range whe.slots {
		if sec <= last {
			whe.expire(own, sec)
		}
	}
}

func (whe *wheel) expire(own *Owner, sec int64) {
	recs := whe.slots[sec]
	delete(whe.slots, sec)
	for _, rec := range recs {
		if again := rec.expire(own); !again.IsZero() {
			whe.add(again, rec)
		}
	}
}
