package sidecar_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar"
)

// Guards against a gateway that starts while an endpoint drains and sends it requests, which the
// load then cuts.
func TestGatewaysThatStartDuringAPauseAreNotified(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var p sidecar.Pause
	unnotified, _ := p.Unnotified([]string{"a"}, now)
	g.Expect(unnotified).To(BeEmpty(), "there is no pause")
	p.Begin(now.Add(2*time.Second), []string{"a", "b"})
	unnotified, remaining := p.Unnotified([]string{"a", "b", "c"}, now.Add(500*time.Millisecond))
	g.Expect(unnotified).To(Equal([]string{"c"}))
	g.Expect(remaining).To(Equal(1500 * time.Millisecond))
	unnotified, _ = p.Unnotified([]string{"a", "b", "c"}, now.Add(600*time.Millisecond))
	g.Expect(unnotified).To(BeEmpty(), "each gateway is notified once")
	unnotified, _ = p.Unnotified([]string{"a", "c"}, now.Add(700*time.Millisecond))
	g.Expect(unnotified).To(BeEmpty(), "one gateway has left")
	unnotified, _ = p.Unnotified([]string{"a", "b", "c"}, now.Add(800*time.Millisecond))
	g.Expect(unnotified).To(Equal([]string{"b"}), "it has been restarted")
	unnotified, _ = p.Unnotified([]string{"d"}, now.Add(2*time.Second))
	g.Expect(unnotified).To(BeEmpty(), "the pause has expired")
	p.Begin(now.Add(2*time.Second), nil)
	p.End()
	unnotified, _ = p.Unnotified([]string{"d"}, now)
	g.Expect(unnotified).To(BeEmpty(), "the load has ended the pause")
}
