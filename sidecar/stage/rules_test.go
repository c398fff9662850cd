package stage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
)

func TestSwitchTime(t *testing.T) {
	replaced := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		completed time.Duration
		offset    float64
		want      time.Duration
	}{
		{0, 0, 3600 * time.Millisecond},
		{0, 0.5, 6050 * time.Millisecond},
		{0, 1, 8500 * time.Millisecond},
		// Weights that are complete later leave less time to spread over, or none.
		{6500 * time.Millisecond, 0, 6500 * time.Millisecond},
		{6500 * time.Millisecond, 0.5, 7500 * time.Millisecond},
		{6500 * time.Millisecond, 1, 8500 * time.Millisecond},
		{8500 * time.Millisecond, 1, 8500 * time.Millisecond},
		{12 * time.Second, 1, 12 * time.Second},
	} {
		got := stage.SwitchTime(replaced, 10*time.Second, replaced.Add(c.completed), c.offset)
		NewWithT(t).Expect(got.Sub(replaced)).To(BeNumerically("~", c.want, time.Microsecond))
	}
}

func TestDrainTime(t *testing.T) {
	usual := stage.Capacity{Slots: 16, AnswerTime: 800 * time.Millisecond}
	for name, c := range map[string]struct {
		capacity   stage.Capacity
		running    int
		left, want time.Duration
	}{
		"1.25 times the usual response time": {usual, 12, time.Hour, time.Second},
		"more free slots do not extend it":   {usual, 1, time.Hour, time.Second},
		"an eighth of the slots free":        {usual, 14, time.Hour, 500 * time.Millisecond},
		"no slot free":                       {usual, 16, time.Hour, 0},
		"more requests than slots":           {usual, 20, time.Hour, 0},
		"very long responses":                {stage.Capacity{Slots: 16, AnswerTime: time.Minute}, 8, time.Hour, 1800 * time.Millisecond},
		"response time unknown":              {stage.Capacity{Slots: 16}, 8, time.Hour, 0},
		"slots unknown":                      {stage.Capacity{AnswerTime: time.Second}, 8, time.Hour, 0},
		"close to expiry":                    {usual, 8, 900 * time.Millisecond, 300 * time.Millisecond},
		"too close to expiry":                {usual, 8, 600 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(stage.DrainTime(c.capacity, c.running, c.left)).To(Equal(c.want))
		})
	}
}

func TestWorthLoading(t *testing.T) {
	g := NewWithT(t)
	limit := time.Date(2030, 1, 1, 0, 0, 8, 0, time.UTC)
	g.Expect(stage.WorthLoading(limit, limit.Add(-1500*time.Millisecond), false)).To(BeTrue())
	g.Expect(stage.WorthLoading(limit, limit.Add(-1500*time.Millisecond+1), false)).To(BeFalse())
	g.Expect(stage.WorthLoading(limit, limit.Add(-800*time.Millisecond), true)).To(BeTrue())
	g.Expect(stage.WorthLoading(limit, limit.Add(-800*time.Millisecond+1), true)).To(BeFalse())
}

func TestWorthFinishing(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.WorthFinishing(7, 10)).To(BeTrue())
	g.Expect(stage.WorthFinishing(6, 10)).To(BeFalse())
}

func TestShouldFallBack(t *testing.T) {
	stalled := 1200 * time.Millisecond
	for name, c := range map[string]struct {
		progress stage.Progress
		want     bool
	}{
		"stalled":                        {stage.Progress{Idle: stalled, OlderChunks: 1}, true},
		"not stalled yet":                {stage.Progress{Idle: stalled - 1, OlderChunks: 1}, false},
		"no chunks of the older version": {stage.Progress{Idle: time.Hour}, false},
		"older version expired":          {stage.Progress{Idle: stalled, OlderChunks: 1, OlderExpired: true}, false},
	} {
		NewWithT(t).Expect(stage.ShouldFallBack(c.progress)).To(Equal(c.want), name)
	}
}

func TestStallTimeout(t *testing.T) {
	for _, c := range []struct {
		chunkTime, want time.Duration
	}{
		{0, 1200 * time.Millisecond}, // unknown
		{10 * time.Millisecond, 450 * time.Millisecond},
		{30 * time.Millisecond, 450 * time.Millisecond},
		{40 * time.Millisecond, 600 * time.Millisecond},
		{80 * time.Millisecond, 1200 * time.Millisecond},
		{time.Second, 1200 * time.Millisecond},
	} {
		g := NewWithT(t)
		g.Expect(stage.StallTimeout(c.chunkTime)).To(Equal(c.want))
		g.Expect(stage.ShouldFallBack(stage.Progress{Idle: c.want, ChunkTime: c.chunkTime, OlderChunks: 1})).To(BeTrue())
		g.Expect(stage.ShouldFallBack(stage.Progress{Idle: c.want - 1, ChunkTime: c.chunkTime, OlderChunks: 1})).To(BeFalse())
	}
}

func TestManifestSuspect(t *testing.T) {
	g := NewWithT(t)
	g.Expect(stage.ManifestSuspect(1, 3*time.Second+1)).To(BeTrue())
	g.Expect(stage.ManifestSuspect(1, 3*time.Second)).To(BeFalse())
	g.Expect(stage.ManifestSuspect(0, time.Hour)).To(BeFalse(), "no corrupt chunk")
}

func TestManifestReaders(t *testing.T) {
	for waited, want := range map[time.Duration]int{0: 2, 300*time.Millisecond - 1: 2, 300 * time.Millisecond: 4, time.Second: 8} {
		NewWithT(t).Expect(stage.ManifestReaders(waited)).To(Equal(want), "%v", waited)
	}
}

func TestHeadStart(t *testing.T) {
	for name, c := range map[string]struct{ heard, named, want time.Duration }{
		"named before it was heard of":    {100 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond},
		"at the limit":                    {100 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond},
		"all hear late":                   {100 * time.Millisecond, 401 * time.Millisecond, 100 * time.Millisecond},
		"all hear late, manifest later":   {900 * time.Millisecond, 8 * time.Second, 400 * time.Millisecond},
		"clocks differ: named afterwards": {100 * time.Millisecond, -50 * time.Millisecond, 100 * time.Millisecond},
	} {
		NewWithT(t).Expect(stage.HeadStart(c.heard, c.named)).To(Equal(c.want), name)
	}
}

func TestLoadBackoff(t *testing.T) {
	for crashes, want := range map[int]time.Duration{
		0: 0, 2: 0, 3: time.Second, 4: 2 * time.Second, 9: 64 * time.Second, 10: 64 * time.Second, 1000: 64 * time.Second,
	} {
		NewWithT(t).Expect(stage.LoadBackoff(crashes)).To(Equal(want), "%d", crashes)
	}
}
