package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
)

func TestEveryEndpointHasOneOwnerOfItsZone(t *testing.T) {
	g := NewWithT(t)
	list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
	for i := range 12 {
		id := fmt.Sprintf("i-%d", i)
		list.Endpoints[id] = &roster.Endpoint{ID: id, Service: "s", Zone: []string{"a", "b", "c"}[i%3]}
	}
	live := []member.Entry{{Name: "a1", Zone: "a"}, {Name: "a2", Zone: "a"}, {Name: "b1", Zone: "b"}}
	owners := map[string]int{}
	for _, e := range live {
		mine := owned(list, live, e.Name)
		for id := range mine {
			owners[id]++
			if zone := list.Endpoints[id].Zone; zone != "c" {
				g.Expect(zone).To(Equal(e.Zone))
			}
		}
	}
	g.Expect(owners).To(HaveLen(12))
	for id, n := range owners {
		g.Expect(n).To(Equal(1), id)
	}
	g.Expect(owned(list, live, "a1")).To(HaveLen(2 + 2))
	g.Expect(owned(nil, live, "a1")).To(BeEmpty())
}

func TestTheFloorRisesWithEachVersionAfterTheLimit(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	v := newVersions(7 * time.Second)
	g.Expect(v.named("m", 2, at(0))).To(BeTrue())
	g.Expect(v.named("m", 3, at(4))).To(BeTrue())
	g.Expect(v.named("m", 2, at(5))).To(BeFalse())
	for _, c := range []struct {
		at   int
		want int64
	}{{6, 0}, {7, 2}, {10, 2}, {11, 3}} {
		g.Expect(v.floor("m", at(c.at))).To(Equal(c.want))
	}
	g.Expect(v.floor("other", at(60))).To(BeZero())
}
