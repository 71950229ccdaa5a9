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

	source string // URL or file of the ledger
}

// ledgerReader reads the rows that were added to the stand-ins' ledgers since the run began.
type ledgerReader struct {
	client   *http.Client
	urls     []string
	files    []string
	lastRead map[string]uint64 // highest sequence number read, by URL
	skipping bool              // set while reading rows of earlier runs, of which some may have been dropped
}

func newLedgerReader(urls, files []string) *ledgerReader {
	return &ledgerReader{
		client:   &http.Client{Timeout: 10 * time.Second},
		urls:     urls,
		files:    files,
		lastRead: map[string]uint64{},
	}
}

// skipEarlier reads past the rows of earlier runs in all ledgers.
func (led *ledgerReader) skipEarlier(ctx context.Context) error {
	led.skipping = true
	for _, url := range led.urls {
		if _, err := led.readLedger(ctx, url); err != nil {
			return err
		}
	}
	led.skipping = false
	return nil
}

func (led *ledgerReader) readNew(ctx context.Context) ([]row, error) {
	var all []row
	for _, url := range led.urls {
		rows, err := led.readLedger(ctx, url)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	for _, fil := range led.files {
		rows, err := readLedgerFile(fil)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

func (led *ledgerReader) readLedger(ctx context.Context, url string) ([]row, error) {
	var all []row
	for {
		rows, err := led.page(ctx, url, led.lastRead[url])
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return all, nil
		}
		for idx := range rows {
			rows[idx].source = url
		}
		if fst := rows[0].Sequence; fst != led.lastRead[url]+1 && !led.skipping {
			return nil, errors.Errorf("ledger of %s no longer has rows %d to %d", url, led.lastRead[url]+1, fst-1)
		}
		all = append(all, rows...)
		led.lastRead[url] = rows[len(rows)-1].Sequence
	}
}

func (led *ledgerReader) page(ctx context.Context, url string, aft uint64) ([]row, error) {
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

// readLedgerFile reads a ledger file, which has one JSON row per line when a run starts and another when it ends;
// an incomplete last line is ignored.
func readLedgerFile(nam string) ([]row, error) {
	fil, err := os.Open(nam)
	if err != nil {
		return nil, errors.Wrap(err, "open ledger file")
	}
	defer fil.Close()
	var all []row
	positions := map[string]int{}
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
			return nil, errors.Wrapf(err, "decode ledger file %s", nam)
		}
		one.source = nam
		nam := fmt.Sprintf("%s#%d", one.Instance, one.Sequence)
		if pos, ok := positions[nam]; ok {
			all[pos] = one
			continue
		}
		positions[nam] = len(all)
		all = append(all, one)
	}
}
