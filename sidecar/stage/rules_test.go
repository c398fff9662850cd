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
	usual := stage.Capacity{Slots: 16, AnswerTime: 800 * time.Millisecond}
	for name, c := range map[string]struct {
		capacity   stage.Capacity
		running    int
		left, want time.Duration
	}{
		"a usual answer, and a quarter": {usual, 12, time.Hour, time.Second},
		"more is free":                  {usual, 1, time.Hour, time.Second},
		"an eighth is free":             {usual, 14, time.Hour, 500 * time.Millisecond},
		"nothing is free":               {usual, 16, time.Hour, 0},
		"more runs than it has slots":   {usual, 20, time.Hour, 0},
		"answers are very long":         {stage.Capacity{Slots: 16, AnswerTime: time.Minute}, 8, time.Hour, 1800 * time.Millisecond},
		"nothing is known of answers":   {stage.Capacity{Slots: 16}, 8, time.Hour, 0},
		"nothing is known of slots":     {stage.Capacity{AnswerTime: time.Second}, 8, time.Hour, 0},
		"the limit is near":             {usual, 8, 900 * time.Millisecond, 300 * time.Millisecond},
		"the limit is too near":         {usual, 8, 600 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(stage.DrainTime(c.capacity, c.running, c.left)).To(Equal(c.want))
		})
	}
}

func TestAnOlderVersionIsOfUseUntilShortlyBeforeTheNewestsLimit(t *testing.T) {
	g := NewWithT(t)
	limit := time.Date(2030, 1, 1, 0, 0, 8, 0, time.UTC)
	g.Expect(stage.Useful(limit, limit.Add(-1500*time.Millisecond))).To(BeTrue())
	g.Expect(stage.Useful(limit, limit.Add(-1500*time.Millisecond+1))).To(BeFalse())
}

func TestMostOfAVersionIsWorthFinishing(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.WorthFinishing(7, 10)).To(BeTrue())
	g.Expect(stage.WorthFinishing(6, 10)).To(BeFalse())
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

func TestAVersionStallsSoonerWhereChunksComeFast(t *testing.T) {
	for _, c := range []struct {
		chunkTime, want time.Duration
	}{
		{0, 1200 * time.Millisecond}, // not known
		{10 * time.Millisecond, 450 * time.Millisecond},
		{30 * time.Millisecond, 450 * time.Millisecond},
		{40 * time.Millisecond, 600 * time.Millisecond},
		{80 * time.Millisecond, 1200 * time.Millisecond},
		{time.Second, 1200 * time.Millisecond},
	} {
		g := NewWithT(t)
		g.Expect(stage.StallLimit(c.chunkTime)).To(Equal(c.want))
		g.Expect(stage.FallsBack(stage.Progress{Idle: c.want, ChunkTime: c.chunkTime, OlderHave: 1})).To(BeTrue())
		g.Expect(stage.FallsBack(stage.Progress{Idle: c.want - 1, ChunkTime: c.chunkTime, OlderHave: 1})).To(BeFalse())
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

func TestAnEndpointIsLeftAloneLongerWithEachLoadUnderWhichItEnded(t *testing.T) {
	for ended, want := range map[int]time.Duration{
		0: 0, 2: 0, 3: time.Second, 4: 2 * time.Second, 9: 64 * time.Second, 10: 64 * time.Second, 1000: 64 * time.Second,
	} {
		NewWithT(t).Expect(stage.LoadPause(ended)).To(Equal(want), "%d", ended)
	}
}
