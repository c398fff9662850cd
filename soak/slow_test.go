package soak_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/soak"
)

func TestRequestsBesideSlowReadersAreComparedWithOthers(t *testing.T) {
	type served struct {
		gateway               string
		inTime, served, asked int
	}
	for name, x := range map[string]struct {
		counts []served
		want   int
	}{
		"all alike":            {[]served{{"slow", 190, 190, 200}, {"other", 950, 950, 1000}}, 0},
		"within the slack":     {[]served{{"slow", 180, 180, 200}, {"other", 950, 950, 1000}}, 0},
		"held up":              {[]served{{"slow", 179, 179, 200}, {"other", 950, 950, 1000}}, 2},
		"too few to tell":      {[]served{{"slow", 0, 0, 99}, {"other", 950, 950, 1000}}, 0},
		"too few to compare":   {[]served{{"slow", 0, 0, 200}, {"other", 99, 99, 99}}, 0},
		"was not at work":      {[]served{{"slow", 190, 190, 200}, {"other", 950, 950, 1000}, {"away", 0, 0, 1000}}, 0},
		"served, but late":     {[]served{{"slow", 100, 200, 200}, {"other", 950, 950, 1000}}, 1},
		"late everywhere":      {[]served{{"slow", 100, 200, 200}, {"other", 500, 950, 1000}}, 0},
		"held up at both":      {[]served{{"slow", 100, 100, 200}, {"large", 100, 100, 200}, {"other", 950, 950, 1000}}, 4},
		"one measures nothing": {[]served{{"slow", 100, 100, 200}, {"large", 190, 190, 200}, {"other", 950, 950, 1000}}, 2},
		"more often than else": {[]served{{"slow", 200, 200, 200}, {"other", 500, 500, 1000}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := &soak.Beside{}
			for _, n := range x.counts {
				for i := range n.asked {
					b.Note(soak.PlainRequest{Gateway: n.gateway, Served: i < n.served, InTime: i < n.inTime})
				}
			}
			atWork := func(gateway string, _, _ time.Time) bool { return gateway != "away" }
			NewWithT(t).Expect(b.Judge([]string{"slow", "large"}, atWork)).To(HaveLen(x.want))
		})
	}
}
