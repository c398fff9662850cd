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
	// maxPending is the maximum size of the buffered lines, in bytes.
	maxPending = 256 << 10
	// writeInterval is the minimum time between two writes to the underlying writer.
	writeInterval = 50 * time.Millisecond
	// closeTimeout is how long Close waits for an underlying writer that blocks.
	closeTimeout = 200 * time.Millisecond
)

// Writer buffers lines for a slower writer, so that Write never blocks on it. Lines that do not
// fit into the buffer are dropped and counted; the next write reports their number.
type Writer struct {
	to io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	closed  bool
	closing chan struct{}
	done    chan struct{}
}

// NewWriter returns a Writer to w and starts its goroutine, which Close stops.
func NewWriter(w io.Writer) *Writer {
	out := &Writer{
		to:      w,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go out.run()
	return out
}

// NewStdoutWriter returns a Writer to standard output.
func NewStdoutWriter() *Writer {
	return NewWriter(os.Stdout)
}

// Write implements io.Writer. It buffers p as a whole or drops it as a whole, and never returns
// an error.
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

// Close writes the buffered lines and stops the Writer. It returns after closeTimeout at the
// latest.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.closing)
		w.signal()
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

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
		w.pause()
	}
}

// pause waits for writeInterval, or until the Writer is closed.
func (w *Writer) pause() {
	select {
	case <-w.closing:
	case <-time.After(writeInterval):
	}
}

// swap returns the buffered lines, followed by a line with the number of dropped ones if there
// are any, and whether the Writer is closed.
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
