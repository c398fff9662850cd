package balance_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/balance"
)

var _ = It("tells how many endpoints are excluded for which reason", func() {
	l := endpoints(5)
	l.Endpoints["e0"].Leaving = true
	l.Endpoints["e1"].Weights[0].Version = 1
	l.Endpoints["e2"].Weights[0].Version = 2
	l.Endpoints["e3"].Weights[0].Version = 2
	l.Endpoints["e4"].Weights[0].Version = 2
	b := balancer(l)
	q := &balance.Query{Service: "s", Model: "m", MinVersion: 2, Exclude: []string{"e2", "e3"}}
	Expect(b.Exclusions(q)).To(Equal("1 leaving, 1 with older weights or none, 2 attempted before"))
	Expect(b.Exclusions(&balance.Query{Service: "other"})).To(BeEmpty())
})
