package suspend_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/suspend"
)

// fakeVM has clocks that a test sets.
type fakeVM struct {
	monotonic, boot time.Duration
	err             error
}

func (v *fakeVM) clocks() (monotonic, boot time.Duration, err error) {
	return v.monotonic, v.boot, v.err
}

// run advances both clocks.
func (v *fakeVM) run(d time.Duration) { v.monotonic, v.boot = v.monotonic+d, v.boot+d }

// suspend advances only the clock that includes suspensions.
func (v *fakeVM) suspend(d time.Duration) { v.boot += d }

func TestSuspensionIsReportedOnce(t *testing.T) {
	g := NewWithT(t)
	v := &fakeVM{monotonic: time.Hour, boot: 3 * time.Hour}
	d := suspend.NewDetector(v.clocks)
	v.run(time.Minute)
	g.Expect(d.Suspended()).To(BeZero(), "suspensions before the process started do not count")
	v.suspend(4 * time.Second)
	v.run(time.Second)
	g.Expect(d.Suspended()).To(Equal(4 * time.Second))
	g.Expect(d.Suspended()).To(BeZero())
	v.suspend(100*time.Millisecond - 1)
	g.Expect(d.Suspended()).To(BeZero(), "below the minimum, since the clocks are not read at the same time")
	v.suspend(1)
	g.Expect(d.Suspended()).To(Equal(100*time.Millisecond), "short suspensions add up")
}

func TestUnreadableClocksReportNoSuspension(t *testing.T) {
	g := NewWithT(t)
	v := &fakeVM{monotonic: time.Hour, boot: time.Hour, err: errors.New("no such clock")}
	d := suspend.NewDetector(v.clocks)
	g.Expect(d.Suspended()).To(BeZero())
	v.err = nil
	g.Expect(d.Suspended()).To(BeZero(), "first successful read")
	v.suspend(time.Second)
	g.Expect(d.Suspended()).To(Equal(time.Second))
}

func TestSystemClocksCanBeRead(t *testing.T) {
	g := NewWithT(t)
	monotonic, boot, err := suspend.SystemClocks()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(monotonic).To(BeNumerically(">", 0))
	g.Expect(boot).To(BeNumerically(">", 0))
}
