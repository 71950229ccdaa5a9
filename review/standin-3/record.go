package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a play, with the time since its start on each line.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	fil, err := os.Create(path)
	return &record{file: fil, start: time.Now()}, err
}

func (rec *record) printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = rec.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

func (rec *record) close() { _ = rec.file.Close() }
