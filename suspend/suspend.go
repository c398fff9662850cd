// Package suspend detects for how long the VM of this process was suspended. The monotonic clock
// stops during a suspension while other VMs and the platform continue, so a deadline that is
// measured with it, such as the limit of a version of weights, would expire too late by that
// time.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspended is the shortest suspension that is reported. The two clocks are read one after
// the other, and some milliseconds may pass in between on a busy VM.
const minSuspended = 100 * time.Millisecond

// Clocks returns the time of the monotonic clock and the time since boot, which includes
// suspensions.
type Clocks func() (monotonic, boot time.Duration, err error)

// SystemClocks reads the kernel's clocks.
func SystemClocks() (monotonic, boot time.Duration, err error) {
	if boot, err = read(unix.CLOCK_BOOTTIME); err != nil {
		return 0, 0, err
	}
	monotonic, err = read(unix.CLOCK_MONOTONIC)
	return monotonic, boot, err
}

func read(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(clock, &ts)
	return time.Duration(ts.Nano()), err
}

// Detector detects suspensions of the VM. It is not safe for concurrent use.
type Detector struct {
	clocks Clocks
	// lastOffset is the difference between the clocks when a suspension was last reported. It is
	// valid once initialized is set, after the clocks were first read.
	lastOffset  time.Duration
	initialized bool
}

// NewDetector returns a Detector that uses clocks and reads them for the first time now.
func NewDetector(clocks Clocks) *Detector {
	d := &Detector{clocks: clocks}
	d.Suspended()
	return d
}

// Suspended returns for how long the VM was suspended since the last suspension that it
// reported, or 0 if the clocks can't be read.
func (d *Detector) Suspended() time.Duration {
	monotonic, boot, err := d.clocks()
	if err != nil {
		return 0
	}
	offset := boot - monotonic
	suspended := offset - d.lastOffset
	if d.initialized && suspended < minSuspended {
		return 0
	}
	first := !d.initialized
	d.lastOffset, d.initialized = offset, true
	if first {
		return 0
	}
	return suspended
}
