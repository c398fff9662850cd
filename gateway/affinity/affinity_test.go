package affinity_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/affinity"
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
		mine := affinity.Preferred(list, live, e.Name)
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
	g.Expect(affinity.Preferred(list, live, "a1")).To(HaveLen(2 + 2))
	g.Expect(affinity.Preferred(nil, live, "a1")).To(BeEmpty())
}
