package telemetry

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Limits of a Writer.
const (
	// maxPending bounds what waits to be written, in bytes.
	maxPending = 256 << 10
	// writeEvery is how often what waits is written.
	writeEvery = 50 * time.Millisecond
)

// Writer passes lines on to a slower writer without ever waiting for it. Lines
// for which there is no room are dropped and counted; the count is written once
// there is room again.
type Writer struct {
	to io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// NewWriter returns a Writer to w and starts it.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{to: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go out.run()
	return out
}

// NewStandardWriter returns a Writer to standard output.
func NewStandardWriter() *Writer {
	return NewWriter(os.Stdout)
}

// Write implements io.Writer. It always takes all of p, or drops all of it.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(p) > maxPending {
		w.dropped++
		return len(p), nil
	}
	first := len(w.pending) == 0
	w.pending = append(w.pending, p...)
	if first {
		w.signal()
	}
	return len(p), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes what waits and stops the Writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeLimit):
	}
	return nil
}

// closeLimit is how long Close waits for a writer that stands still.
const closeLimit = 200 * time.Millisecond

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		batch, closed := w.swap()
		if len(batch) > 0 {
			_, _ = w.to.Write(batch)
		}
		if closed {
			return
		}
		time.Sleep(writeEvery)
	}
}

// swap takes what waits, with a line on what was dropped.
func (w *Writer) swap() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	if w.dropped > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", w.dropped)...)
		w.dropped = 0
	}
	w.pending, w.spare = w.spare[:0], batch
	return batch, w.closed
}
