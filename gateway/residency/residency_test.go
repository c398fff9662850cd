package residency_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/residency"
)

func TestARegionIsPermittedIfAllListsNameIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		lists     [][]string
		permitted []string
		refused   []string
	}{
		{"no lists", nil, []string{"a", "b", ""}, nil},
		{"empty lists", [][]string{{}, nil}, []string{"a", ""}, nil},
		{"one list", [][]string{{"a", "b"}}, []string{"a", "b"}, []string{"c", ""}},
		{"an empty list restricts nothing", [][]string{{}, {"a"}}, []string{"a"}, []string{"b"}},
		{"both lists bind", [][]string{{"a", "b"}, {"b", "c"}}, []string{"b"}, []string{"a", "c"}},
		{"nothing in common", [][]string{{"a"}, {"b"}}, nil, []string{"a", "b", ""}},
		{"an empty name is not a region", [][]string{{""}}, nil, []string{""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			regions := residency.Intersect(c.lists...)
			for _, region := range c.permitted {
				g.Expect(regions.Permits(region)).To(BeTrue(), region)
			}
			for _, region := range c.refused {
				g.Expect(regions.Permits(region)).To(BeFalse(), region)
			}
		})
	}
}

func TestIntersectKeepsItsArguments(t *testing.T) {
	list := []string{"a", "b"}
	residency.Intersect(list, []string{"b"})
	NewWithT(t).Expect(list).To(Equal([]string{"a", "b"}))
}

func TestARegionIsPossibleIfOneListNamesIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		lists    [][]string
		possible []string
		refused  []string
	}{
		{"no lists", nil, []string{"a", ""}, nil},
		{"one list", [][]string{{"a"}}, []string{"a"}, []string{"b", ""}},
		{"two lists", [][]string{{"a"}, {"b"}}, []string{"a", "b"}, []string{"c", ""}},
		{"an empty list allows all", [][]string{{"a"}, {}}, []string{"a", "b", ""}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			union := residency.Union(c.lists...)
			for _, region := range c.possible {
				g.Expect(union.Permits(region)).To(BeTrue(), region)
			}
			for _, region := range c.refused {
				g.Expect(union.Permits(region)).To(BeFalse(), region)
			}
		})
	}
}
