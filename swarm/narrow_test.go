package swarm_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/swarm"
)

// narrowChunkTime is what a chunk takes on a narrow link: fifty times as long as on others.
const narrowChunkTime = time.Second

// outcome is how a region got a version.
type outcome struct {
	// took is when the last member was complete whose link is not narrow.
	took time.Duration
	// copies is what came from the origin in all, in copies of the weights.
	copies float64
}

// squeeze is how one link becomes narrow.
type squeeze struct {
	vm string
	// after is when, from the beginning of the download.
	after time.Duration
	// express lets requests and refusals pass the chunks on the link.
	express bool
}

// fill has a region of count members get a version, with the settings of a sidecar,
// while a link becomes narrow.
func fill(t *testing.T, count int, s squeeze) (out outcome) {
	in(t, func(n *network) {
		_, m := version(0)
		list := members(count, "east")
		n.options = []swarm.Option{
			swarm.WithOriginBudget(originRate, float64(count+1)),
			swarm.WithLateness(250 * time.Millisecond),
			swarm.WithParallel(3, 1),
			// Members send one chunk after the other here, and waiting behind one is
			// no narrow link.
			swarm.WithLinkRate(chunkSize / chunkTime.Seconds() / 2),
			swarm.WithPatience(4),
			swarm.WithMinTimeout(600 * time.Millisecond),
		}
		n.express = s.express
		began := time.Now()
		n.start(m, list)
		if s.vm != "" {
			time.Sleep(s.after)
			n.get(s.vm).update(func(v *vm) { v.narrow = narrowChunkTime })
		}
		n.finishBut(time.Minute, s.vm)
		out.took = time.Since(began)
		var bytes int64
		for _, x := range list {
			bytes += n.get(x.VM).download.Stats().OriginBytes
		}
		out.copies = float64(bytes) / float64(m.Size)
	})
	return out
}

// Requests began on old weights longer than 8 s after a newer version was named. A
// version was named while the links of two VMs in two of three regions were narrow (a
// twentieth of their bandwidth). The region without one was complete after 3.3 s; in the
// two others every VM stood at 46 of 48 chunks for 1.2 s and longer, and was complete
// after 5.2 s and 8.0 s. The missing chunks were those of which the VM with the narrow
// link is the first reader: it said that it reads them, each was left to it again and
// again, and once it had one, all the others waited for it to come over that link.
func TestANarrowReaderDoesNotHoldUpItsRegion(t *testing.T) {
	for _, count := range []int{6, 8} {
		free := fill(t, count, squeeze{})
		for i := range count {
			vm := member(i, "east").VM
			for name, s := range map[string]squeeze{
				"from the start":                   {vm: vm},
				"from the start, refusals at once": {vm: vm, express: true},
				"soon":                             {vm: vm, after: 200 * time.Millisecond},
				"midway":                           {vm: vm, after: 600 * time.Millisecond},
			} {
				t.Run(fmt.Sprintf("%s of %d, %s", vm, count, name), func(t *testing.T) {
					g := gomega.NewWithT(t)
					held := fill(t, count, s)
					t.Logf("%v and %.2f copies; without a narrow link %v and %.2f copies", held.took, held.copies, free.took, free.copies)
					g.Expect(held.took).To(gomega.BeNumerically("<=", free.took*3/2))
					g.Expect(held.copies).To(gomega.BeNumerically("<=", free.copies+0.15))
				})
			}
		}
	}
}
