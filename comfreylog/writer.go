// Package comfreylog writes log lines without ever blocking the writer: lines
// wait in a bounded queue, and those that do not fit are counted and reported.
package comfreylog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"comfreyridge.example/comfreyridge/comfreygroup"
)

// TimeLayout is the form of the time in log lines, with the date, because
// incidents are read days later.
const TimeLayout = "2006-01-02T15:04:05.000Z07:00"

// The defaults of Config.
const (
	// defaultQueueBytes bounds the memory of waiting lines.
	defaultQueueBytes = 256 << 10
	// defaultBytesPerSecond bounds the volume: about 600 lines of 300 bytes, ten
	// times what a gateway writes on a busy day of the deployments in use.
	defaultBytesPerSecond = 180 << 10
	// flushInterval is how long a line may wait, so that lines share writes.
	flushInterval = 100 * time.Millisecond
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Config holds the settings of a Writer. The zero value of each field but Out
// selects its default.
type Config struct {
	// Out receives the lines.
	Out io.Writer
	// QueueBytes bounds the waiting lines; 256 KiB by default.
	QueueBytes int
	// BytesPerSecond bounds the volume; 180 KiB by default.
	BytesPerSecond int
}

// Writer queues lines. It is safe for concurrent use.
type Writer struct {
	config Config

	mu      sync.Mutex
	queue   []byte
	allowed int
	dropped uint64
}

// New returns a writer. Run must be called for lines to appear.
func New(c Config) *Writer {
	if c.QueueBytes <= 0 {
		c.QueueBytes = defaultQueueBytes
	}
	if c.BytesPerSecond <= 0 {
		c.BytesPerSecond = defaultBytesPerSecond
	}
	return &Writer{config: c, allowed: c.BytesPerSecond}
}

// Write implements io.Writer for one line. It never fails and never blocks on
// the output.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(p) > w.config.QueueBytes || len(p) > w.allowed {
		w.dropped++
		return len(p), nil
	}
	w.allowed -= len(p)
	w.queue = append(w.queue, p...)
	return len(p), nil
}

// Run writes queued lines until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	var spare []byte
	reported := time.Duration(0)
	for comfreygroup.Sleep(ctx, flushInterval) {
		reported += flushInterval
		spare = w.flush(spare)
		if reported >= reportInterval {
			reported = 0
			w.refill()
		}
	}
	w.flush(spare)
	return nil
}

// flush writes the queue and returns its memory for the next one.
func (w *Writer) flush(spare []byte) []byte {
	w.mu.Lock()
	b := w.queue
	w.queue = spare[:0]
	w.mu.Unlock()
	if len(b) > 0 {
		// There is nowhere to report that the log itself cannot be written.
		_, _ = w.config.Out.Write(b)
	}
	return b
}

// refill starts a new second and reports what the last one dropped.
func (w *Writer) refill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowed = w.config.BytesPerSecond
	if w.dropped > 0 {
		w.queue = fmt.Appendf(w.queue, "level=warning event=log-dropped lines=%d\n", w.dropped)
		w.dropped = 0
	}
}
