package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// row is one run in the ledger of a stand-in.
type row struct {
	Sequence       uint64 `json:"sequence"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Service        string `json:"service"`
	Key            string `json:"key"`
	FencePartition string `json:"fence_partition"`
	FenceToken     uint64 `json:"fence_token"`
	Started        int64  `json:"started_unix_us"`
	Ended          int64  `json:"ended_unix_us"` // 0 while running
	Status         int    `json:"status"`
	BodyHash       string `json:"body_sha256"`
	Instance       string `json:"instance"` // of the stand-in's process

	source string // ledger that holds the row
}

// ledgers reads the stand-ins' ledgers, from where they stood when the run began.
type ledgers struct {
	client *http.Client
	urls   []string
	files  []string
	after  map[string]uint64
	first  bool // the rows read are those of earlier runs, which may have been dropped
}

func newLedgers(urls, files []string) *ledgers {
	return &ledgers{
		client: &http.Client{Timeout: 10 * time.Second},
		urls:   urls,
		files:  files,
		after:  map[string]uint64{},
	}
}

// skipEarlier notes the newest row of each ledger, so that rows of earlier runs are not read again.
func (led *ledgers) skipEarlier(ctx context.Context) error {
	led.first = true
	for _, url := range led.urls {
		if _, err := led.readAll(ctx, url); err != nil {
			return err
		}
	}
	led.first = false
	return nil
}

func (led *ledgers) fetch(ctx context.Context) ([]row, error) {
	var all []row
	for _, url := range led.urls {
		rows, err := led.readAll(ctx, url)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	for _, fil := range led.files {
		rows, err := readFile(fil)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

func (led *ledgers) readAll(ctx context.Context, url string) ([]row, error) {
	var all []row
	for {
		rows, err := led.page(ctx, url, led.after[url])
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return all, nil
		}
		for idx := range rows {
			rows[idx].source = url
		}
		if fst := rows[0].Sequence; fst != led.after[url]+1 && !led.first {
			return nil, errors.Errorf("ledger of %s lost the rows %d to %d", url, led.after[url]+1, fst-1)
		}
		all = append(all, rows...)
		led.after[url] = rows[len(rows)-1].Sequence
	}
}

func (led *ledgers) page(ctx context.Context, url string, aft uint64) ([]row, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/standin/ledger?after=%d", url, aft), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build ledger request")
	}
	rsp, err := led.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read ledger")
	}
	defer rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read ledger of %s: status %d", url, rsp.StatusCode)
	}
	var rows []row
	if err := json.NewDecoder(rsp.Body).Decode(&rows); err != nil {
		return nil, errors.Wrapf(err, "read ledger of %s", url)
	}
	return rows, nil
}

// readFile reads a ledger file: one JSON row a line when a run starts and again when it ends; an incomplete last line is left out.
func readFile(nam string) ([]row, error) {
	fil, err := os.Open(nam)
	if err != nil {
		return nil, errors.Wrap(err, "open ledger file")
	}
	defer fil.Close()
	var all []row
	seen := map[string]int{}
	rdr := bufio.NewReader(fil)
	for {
		lin, err := rdr.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read ledger file")
		}
		var one row
		if err := json.Unmarshal(lin, &one); err != nil {
			return nil, errors.Wrapf(err, "ledger file %s", nam)
		}
		one.source = nam
		nam := fmt.Sprintf("%s#%d", one.Instance, one.Sequence)
		if pos, ok := seen[nam]; ok {
			all[pos] = one
			continue
		}
		seen[nam] = len(all)
		all = append(all, one)
	}
}
