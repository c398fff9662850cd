package soak_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/soak"
)

func TestRequestsBesideSlowReadersAreComparedWithOthers(t *testing.T) {
	type served struct {
		gateway       string
		served, asked int
	}
	for name, x := range map[string]struct {
		counts []served
		want   int
	}{
		"all alike":            {[]served{{"slow", 190, 200}, {"other", 950, 1000}}, 0},
		"within the slack":     {[]served{{"slow", 180, 200}, {"other", 950, 1000}}, 0},
		"held up":              {[]served{{"slow", 179, 200}, {"other", 950, 1000}}, 1},
		"too few to tell":      {[]served{{"slow", 0, 99}, {"other", 950, 1000}}, 0},
		"too few to compare":   {[]served{{"slow", 0, 200}, {"other", 99, 99}}, 0},
		"was not at work":      {[]served{{"slow", 190, 200}, {"other", 950, 1000}, {"away", 0, 1000}}, 0},
		"more often than else": {[]served{{"slow", 200, 200}, {"other", 500, 1000}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := &soak.Beside{}
			for _, n := range x.counts {
				for i := range n.asked {
					b.Note(soak.PlainRequest{Gateway: n.gateway, Served: i < n.served})
				}
			}
			atWork := func(gateway string, _, _ time.Time) bool { return gateway != "away" }
			NewWithT(t).Expect(b.Judge("slow", atWork)).To(HaveLen(x.want))
		})
	}
}
