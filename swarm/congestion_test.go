package swarm

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestALinkIsCongestedWhenChunksTakeMuchLongerThanTheyShould(t *testing.T) {
	const chunk = 48 << 10
	cfg := &Config{LinkRate: 1 << 20}
	free := time.Duration(float64(chunk) / cfg.LinkRate * float64(time.Second))
	for name, c := range map[string]struct {
		took     time.Duration
		together int
		want     bool
	}{
		"alone, as it should":    {free, 1, false},
		"three that share":       {6 * free, 3, false},
		"three on a narrow link": {30 * free, 3, true},
		"alone on a narrow link": {9 * free, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newCongestion(cfg, chunk)
			l.took(c.took, c.together)
			NewWithT(t).Expect(l.congested()).To(Equal(c.want))
		})
	}
}

func TestACongestedLinkRecovers(t *testing.T) {
	g := NewWithT(t)
	l := newCongestion(&Config{LinkRate: 1 << 20}, 48<<10)
	l.took(2*time.Second, 1)
	g.Expect(l.congested()).To(BeTrue())
	for range 20 {
		l.took(50*time.Millisecond, 1)
	}
	g.Expect(l.congested()).To(BeFalse())
}

func TestALinkOfUnknownBandwidthIsNeverCongested(t *testing.T) {
	l := newCongestion(&Config{}, 48<<10)
	l.took(time.Minute, 1)
	NewWithT(t).Expect(l.congested()).To(BeFalse())
}
