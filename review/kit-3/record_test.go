package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case notes what was sent, answered and run. It is safe
// for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("kit-3: creating the record: %w", err)
	}
	return &record{file: f, buffer: bufio.NewWriter(f), started: time.Now()}, nil
}

// printf adds a line, with the seconds since the start.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buffer, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.buffer, format+"\n", values...)
}

// summary adds a line and prints it.
func (r *record) summary(format string, values ...any) {
	r.printf(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.buffer.Flush()
	_ = r.file.Close()
}
