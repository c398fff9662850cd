package upstream

import (
	"errors"
	"os"
	"sync"
	"time"
)

// When a Watch asks.
const (
	// askEvery is how often. Half a heartbeat.
	askEvery = 100 * time.Millisecond
	// askedLate is how much later than planned this process may come to ask. After that it
	// stood still, and what came meanwhile is read first. Half of askEvery.
	askedLate = askEvery / 2
	// readFirst is for how long it then looks for what has come.
	readFirst = 10 * time.Millisecond
)

// Watch asks from time to time whether an endpoint that sends nothing is given up. It may
// be used for one exchange after the other, and woken from any goroutine.
type Watch struct {
	giveUp func() bool

	mu sync.Mutex
	// awaited is the connection that is waited for now, or nil.
	awaited *conn
	// woken is set when it is to be asked at once.
	woken bool
}

// NewWatch returns a Watch that asks giveUp.
func NewWatch(giveUp func() bool) *Watch {
	return &Watch{giveUp: giveUp}
}

// Wake makes it ask at once.
func (w *Watch) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.awaited != nil {
		_ = w.awaited.SetReadDeadline(time.Now())
	}
}

// await waits until bytes have come on c, or returns os.ErrDeadlineExceeded once giveUp
// says so. Other errors are left for the next reading. A nil Watch does not wait.
func (w *Watch) await(c *conn) error {
	if w == nil {
		return nil
	}
	pause, looked := askEvery, false
	for c.reader.Buffered() == 0 {
		until := w.arm(c, pause)
		_, err := c.reader.Peek(1)
		woken := w.disarm()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if !woken && !looked && time.Since(until) > askedLate {
			// The deadline is told before bytes that came while this process stood still:
			// without a second look all of its endpoints would seem silent at once.
			pause, looked = readFirst, true
			continue
		}
		if w.giveUp() {
			return err
		}
		pause, looked = askEvery, false
	}
	_ = c.SetReadDeadline(time.Time{})
	return nil
}

// arm bounds the next reading of c and returns until when, which is now if woken.
func (w *Watch) arm(c *conn, pause time.Duration) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken {
		pause = 0
	}
	until := time.Now().Add(pause)
	w.awaited = c
	_ = c.SetReadDeadline(until)
	return until
}

// disarm ends what arm began and returns whether it was woken.
func (w *Watch) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	woken := w.woken
	w.awaited, w.woken = nil, false
	return woken
}
