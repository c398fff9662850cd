// Package suspend tells for how long the VM of this process was suspended. The steady clock
// stands still meanwhile, while other VMs and the platform go on: what counts from an earlier
// moment by it, such as the limit of a version of weights, would end that much too late.
//
// It owns the difference of two clocks as it was seen last.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspended is the shortest time that is told: the two clocks are read one after the
// other, and a busy VM may take some milliseconds between.
const minSuspended = 100 * time.Millisecond

// Clocks returns the time of the steady clock and that since the VM's start, which also counts
// while it is suspended.
type Clocks func() (steady, boot time.Duration, err error)

// SystemClocks reads the kernel's clocks.
func SystemClocks() (steady, boot time.Duration, err error) {
	if boot, err = read(unix.CLOCK_BOOTTIME); err != nil {
		return 0, 0, err
	}
	steady, err = read(unix.CLOCK_MONOTONIC)
	return steady, boot, err
}

func read(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(clock, &ts)
	return time.Duration(ts.Nano()), err
}

// Watch finds out when the VM was suspended. It is for one goroutine.
type Watch struct {
	clocks Clocks
	// told is by how much the clocks differed when that was told last, known once they were
	// read.
	told  time.Duration
	known bool
}

// NewWatch returns a Watch of clocks, which are read for the first time now.
func NewWatch(clocks Clocks) *Watch {
	w := &Watch{clocks: clocks}
	w.Suspended()
	return w
}

// Suspended returns for how long the VM was suspended since it was last told. Where the
// clocks can't be read, it is as if it never was.
func (w *Watch) Suspended() time.Duration {
	steady, boot, err := w.clocks()
	if err != nil {
		return 0
	}
	differ := boot - steady
	passed := differ - w.told
	if w.known && passed < minSuspended {
		return 0
	}
	first := !w.known
	w.told, w.known = differ, true
	if first {
		return 0
	}
	return passed
}
