package roster_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/roster"
)

func TestLivesOfAnEndpoint(t *testing.T) {
	for _, c := range []struct {
		name         string
		l, m         roster.Life
		same, before bool
	}{
		{"one life", roster.Life{ID: "e", Born: 5}, roster.Life{ID: "e", Born: 5}, true, false},
		{"started again", roster.Life{ID: "e", Born: 5}, roster.Life{ID: "e", Born: 6}, false, true},
		{"told late of an earlier one", roster.Life{ID: "e", Born: 6}, roster.Life{ID: "e", Born: 5}, false, false},
		{"not told by an older program", roster.Life{ID: "e"}, roster.Life{ID: "e", Born: 6}, true, false},
		{"not told before", roster.Life{ID: "e", Born: 6}, roster.Life{ID: "e"}, true, false},
		{"another endpoint", roster.Life{ID: "e", Born: 5}, roster.Life{ID: "f", Born: 6}, false, false},
	} {
		g := NewWithT(t)
		g.Expect(c.l.Same(c.m)).To(Equal(c.same), c.name)
		g.Expect(c.l.Before(c.m)).To(Equal(c.before), c.name)
	}
}
