package standin

import (
	"sync"
	"time"
)

// Row is one run in the ledger.
type Row struct {
	Sequence       uint64 `json:"sequence"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Attempt        string `json:"attempt"`
	Service        string `json:"service"`
	Key            string `json:"key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	FencePartition string `json:"fence_partition"`
	FenceToken     uint64 `json:"fence_token"`
	StartedUnixUs  int64  `json:"started_unix_us"`
	EndedUnixUs    int64  `json:"ended_unix_us"` // 0 while it runs
	Status         int    `json:"status"`
	BodyBytes      int64  `json:"body_bytes"`
	BodySha256     string `json:"body_sha256"`
	Injected       string `json:"injected"`
}

// ledger keeps the newest rows.
type ledger struct {
	mu    sync.Mutex
	limit int
	next  uint64 // sequence of the next row
	rows  []Row  // in order of their sequence, the last one is next-1
}

func newLedger(limit int) *ledger { return &ledger{limit: limit, next: 1} }

// start adds a row as a run starts and returns its sequence.
func (led *ledger) start(row Row) uint64 {
	led.mu.Lock()
	defer led.mu.Unlock()
	if len(led.rows) >= led.limit {
		led.rows = append(make([]Row, 0, led.limit), led.rows[led.limit/2:]...)
	}
	row.Sequence = led.next
	row.StartedUnixUs = time.Now().UnixMicro()
	led.rows = append(led.rows, row)
	led.next++
	return row.Sequence
}

// end completes a row if it is still kept.
func (led *ledger) end(seq uint64, status int, bdy bodySum) {
	led.mu.Lock()
	defer led.mu.Unlock()
	first := led.first()
	if seq < first {
		return
	}
	row := &led.rows[seq-first]
	row.EndedUnixUs = time.Now().UnixMicro()
	row.Status = status
	row.BodyBytes = bdy.length
	row.BodySha256 = bdy.hash
}

// first returns the sequence of the oldest row that is kept.
func (led *ledger) first() uint64 { return led.next - uint64(len(led.rows)) }

// page returns copies of up to limit rows after a sequence, and the oldest sequence that is kept.
func (led *ledger) page(after uint64, limit int) ([]Row, uint64) {
	led.mu.Lock()
	defer led.mu.Unlock()
	first := led.first()
	from := 0
	if after >= first {
		from = int(min(after+1-first, uint64(len(led.rows))))
	}
	upto := min(from+limit, len(led.rows))
	return append([]Row{}, led.rows[from:upto]...), first
}
