package sidecar_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar"
)

// Answers slow endpoints that gateways would send as many requests as any other, among gateways
// that start later and notices that are lost.
func TestGatewaysAreToldThePace(t *testing.T) {
	const repeat = 10 * time.Second
	both := []string{"a", "b"}
	type observation struct {
		at       time.Duration
		reported float64
		gateways []string
		untold   []string
		pace     float64
	}
	for name, c := range map[string][]observation{
		"none if the endpoint works at its figures": {{0, 1, both, nil, 0}, {repeat, 1, both, nil, 0}},
		"none if it reports no pace":                {{0, 0, both, nil, 0}},
		"none for a small difference":               {{0, 1.09, both, nil, 0}},
		"each once, then again after some time": {
			{0, 2.5, both, both, 2.5}, {1, 2.5, both, nil, 2.5},
			{repeat - 1, 2.5, both, nil, 2.5}, {repeat, 2.5, both, both, 2.5}, {repeat + 1, 2.5, both, nil, 2.5},
		},
		"those that start later": {
			{0, 2.5, nil, nil, 2.5}, {1, 2.5, []string{"a"}, []string{"a"}, 2.5}, {2, 2.5, both, []string{"b"}, 2.5},
		},
		"a larger change at once": {
			{0, 2.5, both, both, 2.5}, {1, 2.7, both, nil, 2.5}, {2, 2.8, both, both, 2.8},
		},
		"the return to its figures, once": {
			{0, 2.5, both, both, 2.5}, {1, 1, both, both, 1}, {2 * repeat, 1, both, nil, 1},
		},
		"nothing new if a report lacks it": {{0, 2.5, both, both, 2.5}, {1, 0, both, nil, 2.5}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var p sidecar.Pace
			start := time.Now()
			for _, o := range c {
				untold, pace := p.Observe(o.reported, o.gateways, start.Add(o.at))
				g.Expect(untold).To(Equal(o.untold), "at %v", o.at)
				g.Expect(pace).To(Equal(o.pace), "at %v", o.at)
				g.Expect(p.Current()).To(Equal(max(o.pace, 1)), "at %v", o.at)
			}
		})
	}
}
