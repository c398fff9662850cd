package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

func TestEndpointsChangeSpreadOverTheLimit(t *testing.T) {
	replaced := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		whole time.Duration
		draw  float64
		want  time.Duration
	}{
		{0, 0, 3600 * time.Millisecond},
		{0, 0.5, 6050 * time.Millisecond},
		{0, 1, 8500 * time.Millisecond},
		// Weights that come later leave less time to spread over, or none.
		{6500 * time.Millisecond, 0, 6500 * time.Millisecond},
		{6500 * time.Millisecond, 0.5, 7500 * time.Millisecond},
		{6500 * time.Millisecond, 1, 8500 * time.Millisecond},
		{8500 * time.Millisecond, 1, 8500 * time.Millisecond},
		{12 * time.Second, 1, 12 * time.Second},
	} {
		got := stage.ChangeTime(replaced, 10*time.Second, replaced.Add(c.whole), c.draw)
		NewWithT(t).Expect(got.Sub(replaced)).To(BeNumerically("~", c.want, time.Microsecond))
	}
}

func TestHowLongAnEndpointDrains(t *testing.T) {
	for name, c := range map[string]struct {
		answerTime, left, want time.Duration
	}{
		"a usual answer, and a quarter": {800 * time.Millisecond, time.Hour, time.Second},
		"answers are very long":         {time.Minute, time.Hour, 1800 * time.Millisecond},
		"nothing is known of answers":   {0, time.Hour, 0},
		"the limit is near":             {800 * time.Millisecond, 900 * time.Millisecond, 300 * time.Millisecond},
		"the limit is too near":         {800 * time.Millisecond, 600 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(stage.DrainTime(c.answerTime, c.left)).To(Equal(c.want))
		})
	}
}

func TestAnOlderVersionIsOfUseUntilShortlyBeforeTheNewestsLimit(t *testing.T) {
	g := NewWithT(t)
	limit := time.Date(2030, 1, 1, 0, 0, 8, 0, time.UTC)
	g.Expect(stage.Useful(limit, limit.Add(-1500*time.Millisecond))).To(BeTrue())
	g.Expect(stage.Useful(limit, limit.Add(-1500*time.Millisecond+1))).To(BeFalse())
}

func TestWhatOfAVersionIsWorthFinishing(t *testing.T) {
	for name, c := range map[string]struct {
		have         int
		link, origin float64
		want         bool
	}{
		"most, rates not known":               {70, 0, 0, true},
		"not most, rates not known":           {69, 0, 0, false},
		"rest as long as a copy at origin":    {40, 6, 10, true},
		"rest longer than that":               {39, 6, 10, false},
		"fast links, a quarter":               {25, 20, 10, true},
		"fast links, too little":              {24, 20, 10, false},
		"slow links, most":                    {70, 1, 10, true},
		"slow links, not most":                {69, 1, 10, false},
		"the origin's rate alone, most":       {70, 0, 10, true},
		"the origin's rate alone, not enough": {69, 0, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(stage.WorthFinishing(c.have, 100, c.link, c.origin)).To(Equal(c.want))
		})
	}
}

func TestHowLongANewerVersionWaitsForTheRestOfAnOlderOne(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.FinishTime(1000, 1000)).To(Equal(1500 * time.Millisecond))
	g.Expect(stage.FinishTime(100, 1000)).To(Equal(500*time.Millisecond), "at the least")
	g.Expect(stage.FinishTime(1000, 0)).To(Equal(500*time.Millisecond), "the rate is not known")
}

func TestAnOlderVersionIsGoneOnWithOnceTheNewestStalls(t *testing.T) {
	stalled := 1200 * time.Millisecond
	for name, c := range map[string]struct {
		progress stage.Progress
		want     bool
	}{
		"stalled":            {stage.Progress{Idle: stalled, OlderHave: 1}, true},
		"not yet":            {stage.Progress{Idle: stalled - 1, OlderHave: 1}, false},
		"nothing of it":      {stage.Progress{Idle: time.Hour}, false},
		"too late to use it": {stage.Progress{Idle: stalled, OlderHave: 1, Outdated: true}, false},
	} {
		NewWithT(t).Expect(stage.FallsBack(c.progress)).To(Equal(c.want), name)
	}
}

func TestAManifestIsDoubtedOnceCorruptChunksHoldADownloadUp(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.ManifestInDoubt(1, 3*time.Second+1)).To(BeTrue())
	g.Expect(stage.ManifestInDoubt(1, 3*time.Second)).To(BeFalse())
	g.Expect(stage.ManifestInDoubt(0, time.Hour)).To(BeFalse(), "no chunk was corrupt")
}

func TestMoreAndMoreVMsMayReadAManifest(t *testing.T) {
	for waited, want := range map[time.Duration]int{0: 2, 300*time.Millisecond - 1: 2, 300 * time.Millisecond: 4, time.Second: 8} {
		NewWithT(t).Expect(stage.ManifestReaders(waited)).To(Equal(want), "%v", waited)
	}
}
