package swarm_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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

// Guards against an origin that recovers and is read by all members at the same moment: reads then
// took long, others took them for stalled and read the same chunks, and the last chunk was read
// after more than two copies' time.
func TestAnOriginThatRecoversIsReadAtTheRateOfItsLink(t *testing.T) {
	for _, n := range []int{1, 3} {
		left, reads := 0, 0
		var took time.Duration
		simulate(t, func(net *network) {
			_, m := version(0)
			list := regions(n, 66/n)
			net.options = fleetOptions(len(list))
			net.start(m, list)
			time.Sleep(copyTime / 2)
			net.origin.set(func(o *fakeOrigin) { o.down = true })
			time.Sleep(6 * time.Second)
			left, reads = chunks-net.origin.distinctReads(), net.origin.readCount()
			net.origin.set(func(o *fakeOrigin) { o.down = false })
			began := time.Now()
			for net.origin.distinctReads() < chunks {
				time.Sleep(10 * time.Millisecond)
			}
			took, reads = time.Since(began), net.origin.readCount()-reads
			net.finish(time.Minute)
		})
		g := gomega.NewWithT(t)
		t.Logf("%d regions: %d chunks left, read in %d reads and %v; a copy takes %v", n, left, reads, took, copyTime)
		g.Expect(reads).To(gomega.BeNumerically("<=", left+left/4))
		g.Expect(took).To(gomega.BeNumerically("<=", 3*copyTime/2))
	}
}
