package sidecar_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar"
)

// Guards against a gateway that starts while an endpoint drains and sends it requests, which
// the load then cuts.
func TestGatewaysThatStartDuringAPauseAreToldOfIt(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var p sidecar.Pause
	untold, _ := p.Untold([]string{"a"}, now)
	g.Expect(untold).To(BeEmpty(), "there is no pause")
	p.Begin(now.Add(2*time.Second), []string{"a", "b"})
	untold, left := p.Untold([]string{"a", "b", "c"}, now.Add(500*time.Millisecond))
	g.Expect(untold).To(Equal([]string{"c"}))
	g.Expect(left).To(Equal(1500 * time.Millisecond))
	untold, _ = p.Untold([]string{"a", "b", "c"}, now.Add(600*time.Millisecond))
	g.Expect(untold).To(BeEmpty(), "told once")
	untold, _ = p.Untold([]string{"a", "c"}, now.Add(700*time.Millisecond))
	g.Expect(untold).To(BeEmpty(), "one has left")
	untold, _ = p.Untold([]string{"a", "b", "c"}, now.Add(800*time.Millisecond))
	g.Expect(untold).To(Equal([]string{"b"}), "it has started again")
	untold, _ = p.Untold([]string{"d"}, now.Add(2*time.Second))
	g.Expect(untold).To(BeEmpty(), "it is over")
	p.Begin(now.Add(2*time.Second), nil)
	p.End()
	untold, _ = p.Untold([]string{"d"}, now)
	g.Expect(untold).To(BeEmpty(), "the load has ended it")
}
