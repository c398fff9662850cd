package versions_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/versions"
)

// at returns the time that many seconds after an arbitrary one.
func at(s int) time.Time {
	return time.Date(2030, 1, 1, 0, 0, s, 0, time.UTC)
}

func TestTheFloorRisesWithEachVersionAfterTheLimit(t *testing.T) {
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

func TestAVersionEndsTheLimitAfterTheFirstNewerOne(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	h.Add("m", 1, at(0))
	_, ends := h.End("m", 1)
	g.Expect(ends).To(BeFalse())
	h.Add("m", 2, at(10))
	h.Add("m", 3, at(12))
	for version, want := range map[int64]time.Time{0: at(7), 1: at(17), 2: at(19)} {
		end, ends := h.End("m", version)
		g.Expect(ends).To(BeTrue())
		g.Expect(end).To(Equal(want), "version %d", version)
	}
	_, ends = h.End("m", 3)
	g.Expect(ends).To(BeFalse())
}

func TestAnEarlierNamingThatIsHeardOfLaterCounts(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	g.Expect(h.Add("m", 3, at(20))).To(BeTrue())
	g.Expect(h.Add("m", 2, at(10))).To(BeFalse(), "not the newest")
	h.Add("m", 3, at(12))
	h.Add("m", 3, at(30))
	g.Expect(h.Newest()).To(Equal([]versions.Naming{{Model: "m", Version: 3, At: at(12)}}))
	g.Expect(h.Required("m", at(17))).To(Equal(int64(2)))
	g.Expect(h.Required("m", at(19))).To(Equal(int64(3)))
}

func TestOnlyTheNewestNamingsAreRemembered(t *testing.T) {
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
	g.Expect(replaced.At).To(Equal(at(2)), "the first two are forgotten")
}

func TestWhatIsToldOfAFoundVersionTakesThePlaceOfWhatWasFound(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	g.Expect(h.Find("m", 3, at(10))).To(BeTrue())
	h.Add("m", 4, at(12))
	g.Expect(h.Told()).To(Equal([]versions.Naming{{Model: "m", Version: 4, At: at(12)}}))
	h.Add("m", 3, at(11))
	h.Find("m", 3, at(1))
	h.Find("m", 4, at(1))
	g.Expect(h.Told()).To(Equal([]versions.Naming{{Model: "m", Version: 3, At: at(11)}, {Model: "m", Version: 4, At: at(12)}}))
}

func TestARequiredVersionIsNotToldAsNamedEarlier(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	h.Find("m", 2, at(0))
	h.Require("m", 2)
	h.Require("m", 9)
	g.Expect(h.Required("m", at(1))).To(Equal(int64(2)))
	g.Expect(h.Told()).To(BeEmpty())
	h.Add("m", 2, at(0))
	g.Expect(h.Required("m", at(1))).To(Equal(int64(2)), "also once it is known when it was named")
}

func TestACorrectionIsNoNews(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(7 * time.Second)
	h.Add("m", 3, at(10))
	g.Expect(h.Correct(versions.Naming{Model: "m", Version: 3, At: at(8)})).To(Equal(2 * time.Second))
	g.Expect(h.Correct(versions.Naming{Model: "m", Version: 3, At: at(9)})).To(BeZero())
	g.Expect(h.Correct(versions.Naming{Model: "m", Version: 2, At: at(5)})).To(BeZero(), "was not known")
	g.Expect(h.Required("m", at(12))).To(Equal(int64(2)))
	g.Expect(h.Correct(versions.Naming{Model: "m", Version: 4, At: at(9)})).To(BeZero())
	g.Expect(h.Add("m", 4, at(11))).To(BeTrue(), "it is news still")
}

// A VM was suspended for five seconds, which its steady clock does not count. Its gateway then
// sent requests to weights for five seconds past their limit.
func TestTimeThatTheVMWasSuspendedCountsTowardsLimits(t *testing.T) {
	g := NewWithT(t)
	h := versions.New(8 * time.Second)
	h.Add("m", 2, at(0))
	h.Suspended(5 * time.Second)
	g.Expect(h.Required("m", at(2))).To(BeZero())
	g.Expect(h.Required("m", at(3))).To(Equal(int64(2)))
	end, _ := h.End("m", 1)
	g.Expect(end).To(Equal(at(3)))
}
