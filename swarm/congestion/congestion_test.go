package congestion_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/swarm/congestion"
)

// linkRate is the bandwidth of the link in bytes per second.
const linkRate = 1 << 20

func TestALinkIsCongestedWhenChunksTakeMuchLongerThanExpected(t *testing.T) {
	const chunk = 48 << 10
	baseline := time.Duration(chunk / float64(linkRate) * float64(time.Second))
	for name, c := range map[string]struct {
		took       time.Duration
		concurrent int
		want       bool
	}{
		"alone at the expected rate": {baseline, 1, false},
		"three sharing the link":     {6 * baseline, 3, false},
		"three on a narrow link":     {30 * baseline, 3, true},
		"alone on a narrow link":     {9 * baseline, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := congestion.New(linkRate, chunk)
			l.Observe(c.took, c.concurrent)
			NewWithT(t).Expect(l.Congested()).To(Equal(c.want))
		})
	}
}

func TestACongestedLinkRecovers(t *testing.T) {
	g := NewWithT(t)
	l := congestion.New(linkRate, 48<<10)
	l.Observe(2*time.Second, 1)
	g.Expect(l.Congested()).To(BeTrue())
	for range 20 {
		l.Observe(50*time.Millisecond, 1)
	}
	g.Expect(l.Congested()).To(BeFalse())
}

func TestALinkOfUnknownBandwidthIsNeverCongested(t *testing.T) {
	l := congestion.New(0, 48<<10)
	l.Observe(time.Minute, 1)
	NewWithT(t).Expect(l.Congested()).To(BeFalse())
}

func TestOnlyAFewNeighboursAreSkipped(t *testing.T) {
	for name, c := range map[string]struct {
		lagging, neighbours int
		congested           bool
		want                bool
	}{
		"one lags":                     {1, 7, false, true},
		"one lags, own link congested": {1, 7, true, true},
		"the only one lags":            {1, 1, false, true},
		"two of four lag":              {2, 4, false, true},
		"two lag, own link congested":  {2, 7, true, false},
		"most lag":                     {4, 7, false, false},
		"all lag":                      {3, 3, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(congestion.ShouldSkip(c.lagging, c.neighbours, c.congested)).To(Equal(c.want))
		})
	}
}

func TestChunksInFlightAreCountedOverAllDownloads(t *testing.T) {
	g := NewWithT(t)
	l := congestion.New(linkRate, 48<<10)
	l.Begin()
	l.Begin()
	l.Begin()
	g.Expect(l.End()).To(Equal(3))
	l.Begin()
	g.Expect(l.End()).To(Equal(3))
	g.Expect(l.End()).To(Equal(2))
}
