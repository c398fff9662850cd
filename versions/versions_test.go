package versions_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/versions"
)

// at returns a fixed reference time plus s seconds.
func at(s int) time.Time {
	return time.Date(2030, 1, 1, 0, 0, s, 0, time.UTC)
}

func TestVersionIsRequiredOnceItsLimitHasPassed(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	g.Expect(h.Add("m", 2, at(0))).To(BeTrue())
	g.Expect(h.Add("m", 3, at(4))).To(BeTrue())
	g.Expect(h.Add("m", 2, at(5))).To(BeFalse())
	for _, c := range []struct {
		at   int
		want int64
	}{{6, 0}, {7, 2}, {10, 2}, {11, 3}} {
		g.Expect(h.Required("m", at(c.at))).To(Equal(c.want))
	}
	g.Expect(h.Required("other", at(60))).To(BeZero())
}

func TestDeadlineCountsFromTheFirstNewerVersion(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	h.Add("m", 1, at(0))
	_, replaced := h.Deadline("m", 1)
	g.Expect(replaced).To(BeFalse())
	h.Add("m", 2, at(10))
	h.Add("m", 3, at(12))
	for version, want := range map[int64]time.Time{0: at(7), 1: at(17), 2: at(19)} {
		deadline, replaced := h.Deadline("m", version)
		g.Expect(replaced).To(BeTrue())
		g.Expect(deadline).To(Equal(want), "version %d", version)
	}
	_, replaced = h.Deadline("m", 3)
	g.Expect(replaced).To(BeFalse())
}

func TestAddKeepsTheEarliestTime(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	g.Expect(h.Add("m", 3, at(20))).To(BeTrue())
	g.Expect(h.Add("m", 2, at(10))).To(BeFalse(), "not the newest version")
	h.Add("m", 3, at(12))
	h.Add("m", 3, at(30))
	g.Expect(h.Newest()).To(Equal([]versions.Naming{{Model: "m", Version: 3, At: at(12)}}))
	g.Expect(h.Required("m", at(17))).To(Equal(int64(2)))
	g.Expect(h.Required("m", at(19))).To(Equal(int64(3)))
}

func TestOldestNamingsAreDropped(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	for v := range 64 {
		h.Add("m", int64(v+1), at(v))
	}
	replaced, _ := h.Replaced("m", 1)
	g.Expect(replaced.At).To(Equal(at(1)))
	h.Add("m", 65, at(64))
	h.Add("m", 66, at(65))
	replaced, _ = h.Replaced("m", 1)
	g.Expect(replaced.At).To(Equal(at(2)), "the first two versions are dropped")
}

func TestKnownTimeReplacesUnknownTime(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	g.Expect(h.AddExisting("m", 3, at(10))).To(BeTrue())
	h.Add("m", 4, at(12))
	g.Expect(h.WithKnownTime()).To(Equal([]versions.Naming{{Model: "m", Version: 4, At: at(12)}}))
	h.Add("m", 3, at(11))
	h.AddExisting("m", 3, at(1))
	h.AddExisting("m", 4, at(1))
	g.Expect(h.WithKnownTime()).To(Equal([]versions.Naming{{Model: "m", Version: 3, At: at(11)}, {Model: "m", Version: 4, At: at(12)}}))
}

func TestRequireDoesNotSetTheTimeOfANaming(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	h.AddExisting("m", 2, at(0))
	h.Require("m", 2)
	h.Require("m", 9)
	g.Expect(h.Required("m", at(1))).To(Equal(int64(2)))
	g.Expect(h.WithKnownTime()).To(BeEmpty())
	h.Add("m", 2, at(0))
	g.Expect(h.Required("m", at(1))).To(Equal(int64(2)), "still required once its time is known")
}

func TestMergeReportedDoesNotAddNewVersions(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	h.Add("m", 3, at(10))
	g.Expect(h.MergeReported(versions.Naming{Model: "m", Version: 3, At: at(8)})).To(Equal(2 * time.Second))
	g.Expect(h.MergeReported(versions.Naming{Model: "m", Version: 3, At: at(9)})).To(BeZero())
	g.Expect(h.MergeReported(versions.Naming{Model: "m", Version: 2, At: at(5)})).To(BeZero(), "the version was unknown")
	g.Expect(h.Required("m", at(12))).To(Equal(int64(2)))
	g.Expect(h.MergeReported(versions.Naming{Model: "m", Version: 4, At: at(9)})).To(BeZero())
	g.Expect(h.Add("m", 4, at(11))).To(BeTrue(), "the version is still new")
}

// Guards against requests to weights past their limit: the monotonic clock does not count a
// suspension of the VM, so after one of five seconds a gateway used weights for five seconds too
// long.
func TestSuspensionCountsTowardsLimits(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(8 * time.Second)
	h.Add("m", 2, at(0))
	h.AdjustForSuspension(5 * time.Second)
	g.Expect(h.Required("m", at(2))).To(BeZero())
	g.Expect(h.Required("m", at(3))).To(Equal(int64(2)))
	deadline, _ := h.Deadline("m", 1)
	g.Expect(deadline).To(Equal(at(3)))
}
