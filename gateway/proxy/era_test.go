package proxy_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/proxy"
	"github.com/silverdeck/silverdeck/routes"
)

// TestAConfigurationWrittenAfterAReturnFromACopyIsPutInForce guards against keeping the one with the higher revision.
func TestAConfigurationWrittenAfterAReturnFromACopyIsPutInForce(t *testing.T) {
	g := NewWithT(t)
	p := proxy.New(proxy.Config{})
	put := func(era, revision, version int64) bool {
		c := routes.New(nil, nil)
		c.Era, c.Revision, c.Version = era, revision, version
		return p.SetConfig(c)
	}
	g.Expect(put(1, 40, 22)).To(BeTrue())
	g.Expect(put(1, 49, 28)).To(BeTrue())
	g.Expect(put(2, 40, 22)).To(BeFalse(), "the version in force does not go back")
	g.Expect(put(2, 41, 25)).To(BeFalse())
	g.Expect(put(2, 43, 28)).To(BeTrue(), "the same version, written again")
	g.Expect(put(1, 60, 31)).To(BeFalse(), "a late copy of the former era")
	g.Expect(put(2, 45, 31)).To(BeTrue())
}
