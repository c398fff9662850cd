package swarm_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/swarm"
)

// Guards against concurrent reads of several copies after an outage of the origin. After six seconds
// of outage all chunks were due at all VMs at once, and the VMs read several copies in parallel, so
// that the first complete copy took as long as four.
func TestAfterAnOutageEachChunkIsReadOnceBeforeAnyIsReadTwice(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		distinct, reads := 0, 0
		var took time.Duration
		simulate(t, func(net *network) {
			_, m := version(0)
			list := regions(n, 16)
			net.options = fleetOptions(len(list))
			net.origin.set(func(o *fakeOrigin) { o.down = true })
			net.start(m, list)
			time.Sleep(6 * time.Second)
			failed := net.origin.readCount()
			net.origin.set(func(o *fakeOrigin) { o.down = false })
			time.Sleep(copyTime * 2)
			distinct, reads = net.origin.distinctReads(), net.origin.readCount()-failed
			took = net.finish(time.Minute)
		})
		expectAllRead(t, n, distinct, reads, took, 3*minDuration/2)
	}
}

func TestRetryPause(t *testing.T) {
	const shortest = 250 * time.Millisecond
	for unknown, want := range map[int]time.Duration{
		0: shortest, 16: shortest, 17: 255 * time.Millisecond, 66: 990 * time.Millisecond, 67: time.Second, 1000: time.Second,
	} {
		NewWithT(t).Expect(swarm.RetryPause(unknown, shortest)).To(Equal(want), "%d", unknown)
	}
	NewWithT(t).Expect(swarm.RetryPause(1000, 2*time.Second)).To(Equal(2 * time.Second))
}
