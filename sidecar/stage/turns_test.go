package stage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/sidecar/stage"
)

// maxRequests is the number of lease requests per second that the grantor is to receive at most, not
// counting the first one of each endpoint.
const maxRequests = 200

// Guards against large fleets whose endpoints ask so rarely, or so often, that they do not change at
// an even pace.
func TestLargeFleetsChangeEvenlyWithFewRequests(t *testing.T) {
	for _, size := range []int{100, 200, 440} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := &loadedFleet{size: size, table: leases.NewTable(), scheduled: true}
			f.change(t, 0.8, func(b *testEnv, f *loadedFleet, stagers []*stage.Stager) {
				end := nameVersion(stagers, 2)
				time.Sleep(limit)
				f.expectAllRun(b, 2)
				b.Expect(f.last).To(BeTemporally("<", end.Add(-500*time.Millisecond)))
			})
			most, all := f.mostRequests()
			t.Logf("%+v, %d requests, %d in one second", f.changeStats, all, most)
			g := NewWithT(t)
			g.Expect(most).To(BeNumerically("<=", maxRequests))
			g.Expect(f.loads).To(Equal(size))
			g.Expect(f.mostOut).To(BeNumerically("<=", size/2), "out at once")
			g.Expect(f.refused).To(BeNumerically("<=", f.asked/100), "refused although all fit")
		})
	}
}

// mostRequests returns the largest number of lease requests within a second, without the first one of
// each endpoint, and the number of all requests.
func (f *loadedFleet) mostRequests() (most, all int) {
	var times []time.Time
	for _, asked := range f.requests {
		all += len(asked)
		times = append(times, asked[1:]...)
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, all
}
