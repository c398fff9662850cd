package roster_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
)

func TestDropReplaced(t *testing.T) {
	at := func(id, addr string) *roster.Endpoint { return &roster.Endpoint{ID: id, Addr: addr} }
	for _, c := range []struct {
		name      string
		endpoints []*roster.Endpoint
		since     map[string]mirror.Position
		want      []string
	}{
		{"different addresses", []*roster.Endpoint{at("a", "1:1"), at("b", "1:2")}, map[string]mirror.Position{"a": {Revision: 1}, "b": {Revision: 2}}, []string{"a", "b"}},
		{"the later one at an address stays", []*roster.Endpoint{at("a", "1:1"), at("b", "1:1"), at("c", "1:1")}, map[string]mirror.Position{"a": {Revision: 1}, "b": {Revision: 3}, "c": {Revision: 2}}, []string{"b"}},
		{"one without a record goes", []*roster.Endpoint{at("a", "1:1"), at("b", "1:1")}, map[string]mirror.Position{"b": {Revision: 2}}, []string{"b"}},
		{"the later one is of a later era", []*roster.Endpoint{at("a", "1:1"), at("b", "1:1")}, map[string]mirror.Position{"a": {Era: 1, Revision: 9}, "b": {Era: 2, Revision: 4}}, []string{"b"}},
		{"it is not known which is later", []*roster.Endpoint{at("a", "1:1"), at("b", "1:1")}, map[string]mirror.Position{"a": {Revision: 4}, "b": {Revision: 4}}, []string{"a", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list := &roster.List{Endpoints: map[string]*roster.Endpoint{}}
			for _, e := range c.endpoints {
				list.Endpoints[e.ID] = e
			}
			dropped := roster.DropReplaced(list, c.since)
			g.Expect(slices.Sorted(maps.Keys(list.Endpoints))).To(Equal(c.want))
			g.Expect(dropped).To(HaveLen(len(c.endpoints) - len(c.want)))
		})
	}
}
