package roster_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/roster"
)

func TestAVersionIsHeldByMost(t *testing.T) {
	for _, c := range []struct {
		held []int64
		want bool
	}{
		{nil, false},
		{[]int64{0, 0}, false},
		{[]int64{1, 2}, false},
		{[]int64{1, 2, 3}, true},
		{[]int64{0, 0, 2}, true}, // endpoints without weights don't count
		{[]int64{1, 1, 2}, false},
	} {
		list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
		for i, v := range c.held {
			e := &roster.Endpoint{ID: strconv.Itoa(i)}
			if v > 0 {
				e.Weights = []roster.Weights{{Model: "m", Version: v}}
			}
			list.Endpoints[e.ID] = e
		}
		NewWithT(t).Expect(list.HeldByMost("m", 2)).To(Equal(c.want), "%v", c.held)
	}
}
