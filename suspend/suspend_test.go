package suspend_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/suspend"
)

// vm has clocks that a test sets.
type vm struct {
	steady, boot time.Duration
	err          error
}

func (v *vm) clocks() (steady, boot time.Duration, err error) { return v.steady, v.boot, v.err }

// run lets time pass.
func (v *vm) run(d time.Duration) { v.steady, v.boot = v.steady+d, v.boot+d }

// suspend lets time pass for others only.
func (v *vm) suspend(d time.Duration) { v.boot += d }

func TestASuspensionIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	v := &vm{steady: time.Hour, boot: 3 * time.Hour}
	w := suspend.NewWatch(v.clocks)
	v.run(time.Minute)
	g.Expect(w.Suspended()).To(BeZero(), "what was before the process began does not count")
	v.suspend(4 * time.Second)
	v.run(time.Second)
	g.Expect(w.Suspended()).To(Equal(4 * time.Second))
	g.Expect(w.Suspended()).To(BeZero())
	v.suspend(100*time.Millisecond - 1)
	g.Expect(w.Suspended()).To(BeZero(), "the clocks are not read at one moment")
	v.suspend(1)
	g.Expect(w.Suspended()).To(Equal(100*time.Millisecond), "several short ones count together")
}

func TestClocksThatCannotBeReadTellNothing(t *testing.T) {
	g := NewWithT(t)
	v := &vm{steady: time.Hour, boot: time.Hour, err: errors.New("no such clock")}
	w := suspend.NewWatch(v.clocks)
	g.Expect(w.Suspended()).To(BeZero())
	v.err = nil
	g.Expect(w.Suspended()).To(BeZero(), "the first reading")
	v.suspend(time.Second)
	g.Expect(w.Suspended()).To(Equal(time.Second))
}

func TestTheSystemsClocksCanBeRead(t *testing.T) {
	g := NewWithT(t)
	steady, boot, err := suspend.SystemClocks()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(steady).To(BeNumerically(">", 0))
	g.Expect(boot).To(BeNumerically(">", 0))
}
