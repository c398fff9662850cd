package stage_test

import (
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against chunks that an origin sends in vain. Its link was shared by 8 to 13 reads, all of
// which were lost when it failed, and after its return VMs that had not noticed the outage read
// chunks whose readers had just begun.
//
// Runs differ in the scheduling of goroutines that are ready at the same time, so the median
// run is checked.
func TestAnOriginThatFailsSendsHardlyAnyChunkInVain(t *testing.T) {
	for name, away := range map[string]time.Duration{"early": time.Second, "late": 2500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			const runs = 3
			x := story{fleet: narrowFleet, limit: 10300 * ms, named: []time.Duration{0}, away: [2]time.Duration{away, away + 3*sec}}
			var lost, twice []int
			var idle []time.Duration
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					f := newStagedFleet(x, io.Discard)
					f.play(t, 12*sec)
					t.Logf("%d chunks lost when the origin failed, %d read twice", f.lost, f.served-f.site.chunks)
					idle = append(idle, f.idleAfterReturn())
					t.Logf("its link idle for %v after its return", idle[len(idle)-1])
					lost, twice = append(lost, f.lost), append(twice, f.served-f.site.chunks)
				})
			}
			slices.Sort(lost)
			slices.Sort(twice)
			slices.Sort(idle)
			g := NewWithT(t)
			// Turns that passed before the manifest came, and one more.
			g.Expect(lost[runs/2]).To(BeNumerically("<=", 4))
			g.Expect(twice[runs/2]).To(BeNumerically("<=", 2))
			g.Expect(idle[runs/2]).To(BeNumerically("<=", x.chunkTime()), "until the return is noticed")
		})
	}
}

// idleAfterReturn returns for how long the origin's link sent nothing between its return and the last
// chunk that was missing.
func (s *rollout) idleAfterReturn() time.Duration {
	last, before := s.outage[1], 0
	for _, at := range s.firstServed {
		if at.Before(s.outage[1]) {
			before++
		} else if at.After(last) {
			last = at
		}
	}
	sent := time.Duration(float64((s.served-before)*s.site.chunkSize) / s.site.origin * float64(time.Second))
	return last.Sub(s.outage[1]) - sent
}

// chunkTime returns how long the origin's link takes for a chunk.
func (x story) chunkTime() time.Duration {
	site := sites[x.fleet.site]
	return time.Duration(float64(site.chunkSize) / site.origin * float64(time.Second))
}
