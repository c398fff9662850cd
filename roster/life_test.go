package roster_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/roster"
)

func TestLivesOfAnEndpoint(t *testing.T) {
	for _, c := range []struct {
		name         string
		l, m         roster.Incarnation
		same, before bool
	}{
		{"same incarnation", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e", Born: 5}, true, false},
		{"restarted", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "e", Born: 6}, false, true},
		{"late report of an earlier incarnation", roster.Incarnation{ID: "e", Born: 6}, roster.Incarnation{ID: "e", Born: 5}, false, false},
		{"start time missing from an older version", roster.Incarnation{ID: "e"}, roster.Incarnation{ID: "e", Born: 6}, true, false},
		{"start time unknown so far", roster.Incarnation{ID: "e", Born: 6}, roster.Incarnation{ID: "e"}, true, false},
		{"another endpoint", roster.Incarnation{ID: "e", Born: 5}, roster.Incarnation{ID: "f", Born: 6}, false, false},
	} {
		g := NewWithT(t)
		g.Expect(c.l.Same(c.m)).To(Equal(c.same), c.name)
		g.Expect(c.l.Before(c.m)).To(Equal(c.before), c.name)
	}
}
