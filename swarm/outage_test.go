package swarm_test

import (
	"testing"
	"time"
)

// The origin was away for six seconds. On its return all VMs had all chunks due at once and
// read several copies side by side, so that the first whole one took as long as four.
func TestAfterAnOutageOfTheOriginEachChunkLeavesItOnceFirst(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		left, reads := 0, 0
		var took time.Duration
		in(t, func(net *network) {
			_, m := version(0)
			list := regions(n, 16)
			net.options = fleetOptions(len(list))
			net.origin.set(func(o *fakeOrigin) { o.down = true })
			net.start(m, list)
			time.Sleep(6 * time.Second)
			failed := net.origin.readCount()
			net.origin.set(func(o *fakeOrigin) { o.down = false })
			time.Sleep(copyTime * 2)
			left, reads = net.origin.distinct(), net.origin.readCount()-failed
			took = net.finish(time.Minute)
		})
		expectAllLeft(t, n, left, reads, took, 3*bound/2)
	}
}
