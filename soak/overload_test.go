package soak_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/soak"
)

// served holds how many requests of a class were served.
type served struct {
	class         soak.Class
	served, asked int
}

func TestSharesTellWhoStarvesAndWhoWasPutBehind(t *testing.T) {
	urgent, bulk := soak.Class{Account: "acme", Host: "reader.example"}, soak.Class{Account: "acme", Host: "bulk.example"}
	small := soak.Class{Account: "globex", Host: "bulk.example"}
	for name, x := range map[string]struct {
		counts []served
		want   int
	}{
		"all alike":                       {[]served{{urgent, 600, 1000}, {bulk, 600, 1000}, {small, 60, 100}}, 0},
		"urgent behind, within the slack": {[]served{{urgent, 550, 1000}, {bulk, 600, 1000}}, 0},
		"urgent behind":                   {[]served{{urgent, 549, 1000}, {bulk, 600, 1000}}, 1},
		"a class at a quarter":            {[]served{{urgent, 400, 400}, {bulk, 100, 400}, {small, 20, 100}}, 0},
		"a class below a quarter":         {[]served{{urgent, 400, 400}, {bulk, 100, 400}, {small, 10, 100}}, 1},
		"too few to tell":                 {[]served{{urgent, 0, 99}, {bulk, 100, 100}}, 0},
		"too few to compare ranks":        {[]served{{urgent, 500, 999}, {bulk, 600, 1000}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := soak.NewShares()
			for _, n := range x.counts {
				for i := range n.asked {
					s.Note(n.class, i < n.served)
				}
			}
			NewWithT(t).Expect(s.Judge()).To(HaveLen(x.want))
		})
	}
}
