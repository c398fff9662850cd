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
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					f := newStagedFleet(x, io.Discard)
					f.play(t, 12*sec)
					t.Logf("%d chunks lost when the origin failed, %d read twice", f.lost, f.served-f.site.chunks)
					lost, twice = append(lost, f.lost), append(twice, f.served-f.site.chunks)
				})
			}
			slices.Sort(lost)
			slices.Sort(twice)
			g := NewWithT(t)
			// Turns that passed before the manifest came, and one more.
			g.Expect(lost[runs/2]).To(BeNumerically("<=", 4))
			g.Expect(twice[runs/2]).To(BeNumerically("<=", 2))
		})
	}
}
