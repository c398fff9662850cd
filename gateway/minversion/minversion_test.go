package minversion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/minversion"
)

func TestTheFloorRisesWithEachVersionAfterTheLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	v := minversion.New(7 * time.Second)
	g.Expect(v.Add("m", 2, at(0))).To(BeTrue())
	g.Expect(v.Add("m", 3, at(4))).To(BeTrue())
	g.Expect(v.Add("m", 2, at(5))).To(BeFalse())
	for _, c := range []struct {
		at   int
		want int64
	}{{6, 0}, {7, 2}, {10, 2}, {11, 3}} {
		g.Expect(v.Required("m", at(c.at))).To(Equal(c.want))
	}
	g.Expect(v.Required("other", at(60))).To(BeZero())
}
