package upstream

import (
	"errors"
	"os"
	"sync"
	"time"
)

// Timing of the calls of giveUp.
const (
	// checkInterval is the interval between two calls, half a heartbeat interval.
	checkInterval = 100 * time.Millisecond
	// suspensionThreshold is how late a check may be before this process is assumed to have
	// been suspended. Data that arrived in the meantime is then read before giveUp is called.
	suspensionThreshold = checkInterval / 2
	// pendingReadWindow is how long that read waits for data.
	pendingReadWindow = 10 * time.Millisecond
)

// Watchdog periodically calls a function that decides whether to give up on an endpoint that
// sends nothing. It may be used for several exchanges in sequence; Wake may be called from any
// goroutine.
type Watchdog struct {
	giveUp func() bool

	mu sync.Mutex
	// current is the connection being waited for, or nil.
	current *conn
	// woken requests an immediate call of giveUp.
	woken bool
}

// NewWatchdog returns a Watchdog that calls giveUp.
func NewWatchdog(giveUp func() bool) *Watchdog {
	return &Watchdog{giveUp: giveUp}
}

// Wake causes giveUp to be called without delay.
func (w *Watchdog) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.current != nil {
		_ = w.current.SetReadDeadline(time.Now())
	}
}

// await waits until data has arrived on c, or returns os.ErrDeadlineExceeded once giveUp
// returns true. Other errors are left to the next read. A nil Watchdog does not wait.
func (w *Watchdog) await(c *conn) error {
	c.checkAt = time.Now().Add(checkInterval)
	return w.awaitRest(c)
}

// awaitRest is like await, but giveUp is called at the time at which it would have been without the data
// that has arrived since the last call of await.
func (w *Watchdog) awaitRest(c *conn) error {
	if w == nil {
		return nil
	}
	if c.reader.Buffered() == 0 {
		_, err := w.poll(c, func() (int, error) {
			_, err := c.reader.Peek(1)
			return 0, err
		})
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	return nil
}

// poll calls read until it returns something other than an expired read deadline of c, or until giveUp,
// which is called at c.checkAt and in intervals from then on, returns true.
func (w *Watchdog) poll(c *conn, read func() (int, error)) (int, error) {
	deadline, rechecked := c.checkAt, false
	for {
		w.arm(c, deadline)
		n, err := read()
		woken := w.disarm()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !woken && !rechecked && time.Since(deadline) > suspensionThreshold {
			// An expired deadline is reported even if data arrived while this process was
			// suspended. Without a second read, all of its endpoints would appear silent at
			// once.
			deadline, rechecked = time.Now().Add(pendingReadWindow), true
			continue
		}
		if w.giveUp() {
			return n, err
		}
		c.checkAt = time.Now().Add(checkInterval)
		deadline, rechecked = c.checkAt, false
	}
}

// arm sets the read deadline of c, which is now if the watchdog has been woken.
func (w *Watchdog) arm(c *conn, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken {
		deadline = time.Now()
	}
	w.current = c
	_ = c.SetReadDeadline(deadline)
}

// disarm undoes arm and reports whether the watchdog has been woken.
func (w *Watchdog) disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	woken := w.woken
	w.current, w.woken = nil, false
	return woken
}
