package swarm_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/swarm"
)

// copyTime is the time that the origin's link takes for one copy.
const copyTime = chunks * chunkTime / 2

// fleetOptions returns the options of a fleet with a short time limit for new versions: readers
// wait only briefly for each other, and the number of copies is in effect unlimited.
func fleetOptions(members int) []swarm.Option {
	return []swarm.Option{
		swarm.WithOriginBudget(originRate, float64(members+1)),
		swarm.WithTakeoverDelay(copyTime / 6),
		swarm.WithMinTimeout(copyTime / 3),
		swarm.WithParallel(3, 1),
	}
}

// regions returns the members of n regions with each VMs per region.
func regions(n, each int) []swarm.Member {
	var out []swarm.Member
	for i := range n {
		out = append(out, members(each, string(rune('a'+i)))...)
	}
	return out
}

// distinctReads returns the number of chunks that have been read at least once.
func (o *fakeOrigin) distinctReads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reads)
}

// expectAllRead checks that all chunks have been read from the origin and that all n regions were
// complete less than limit later.
func expectAllRead(t *testing.T, n, distinct, reads int, took, limit time.Duration) {
	t.Helper()
	t.Logf("%d regions: %d of %d chunks read from the origin in %d reads; all VMs complete %v later", n, distinct, chunks, reads, took)
	g := NewWithT(t)
	g.Expect(distinct).To(Equal(chunks), "%d regions", n)
	g.Expect(took).To(BeNumerically("<", limit), "%d regions", n)
}

// Guards against regions reading further copies of a chunk before every chunk has been read once.
// An origin failed 2.5 s after a version was published, long enough for two copies. Some chunks had
// been read five times, once per region whose reader had not waited, and others not at all, so
// that no VM could complete the version.
func TestEachChunkLeavesTheOriginOnceBeforeAnyLeavesItTwice(t *testing.T) {
	for _, n := range []int{2, 3, 5} {
		distinct, reads := 0, 0
		var took time.Duration
		simulate(t, func(net *network) {
			_, m := version(0)
			list := regions(n, 8)
			net.options = fleetOptions(len(list))
			net.start(m, list)
			time.Sleep(copyTime * 13 / 10)
			distinct, reads = net.origin.distinctReads(), net.origin.readCount()
			if distinct == chunks {
				net.origin.set(func(o *fakeOrigin) { o.down = true })
			}
			took = net.finish(time.Minute)
		})
		expectAllRead(t, n, distinct, reads, took, 2*minDuration)
	}
}

// A region waits for another region's reader only for the time of one copy. If all VMs of that
// region are gone, it reads the chunks from the origin itself.
func TestARegionThatIsGoneDelaysOthersOnlyBriefly(t *testing.T) {
	simulate(t, func(net *network) {
		_, m := version(0)
		list := regions(3, 8)
		net.options = fleetOptions(len(list))
		net.start(m, list)
		for _, x := range list[:8] {
			net.kill(x.VM)
		}
		took := net.finish(time.Minute)
		t.Logf("complete after %v; one copy takes %v", took, copyTime)
		net.g.Expect(took).To(BeNumerically("<", 5*copyTime))
	})
}

// The origin is read for little more than one copy, and little more than one copy crosses into each
// further region. Runs differ by the order in which goroutines are scheduled at the same instant,
// so the test checks the sum over several runs.
func TestAChunkCrossesIntoARegionOnce(t *testing.T) {
	const runs = 10
	reads, crossed := 0, 0
	for range runs {
		simulate(t, func(net *network) {
			_, m := version(0)
			list := regions(3, 8)
			net.options = fleetOptions(len(list))
			net.start(m, list)
			net.finish(time.Minute)
			for _, n := range net.cross {
				crossed += n
			}
			reads += net.origin.readCount()
		})
	}
	t.Logf("%d chunks: %d transfers between regions, %d origin reads", runs*chunks, crossed, reads)
	g := NewWithT(t)
	g.Expect(reads).To(BeNumerically("<=", runs*chunks*7/5))
	g.Expect(crossed).To(BeNumerically("<=", runs*2*chunks*5/4))
}

// Guards against two versions sharing the origin's link, so that neither is complete before the
// older one expires. The version that is to wait takes what other members have, and leaves the
// origin to the other one.
func TestADownloadThatMayNotReadTheOriginTakesOnlyWhatMembersHave(t *testing.T) {
	simulate(t, func(net *network) {
		_, m := version(0)
		list := regions(3, 8)
		net.options = fleetOptions(len(list))
		net.start(m, list)
		time.Sleep(copyTime * 6 / 10)
		for _, x := range list {
			net.get(x.VM).download.SetMode(swarm.ModeMembers)
		}
		time.Sleep(copyTime / 4) // reads that had begun
		before, distinct := net.origin.readCount(), net.origin.distinctReads()
		net.g.Expect(distinct).To(BeNumerically("<", chunks))
		time.Sleep(2 * copyTime)
		net.g.Expect(net.origin.readCount()).To(Equal(before))
		for _, x := range list {
			net.g.Expect(net.get(x.VM).set.Len()).To(Equal(distinct), "chunks that were read reach every member")
		}
		for _, x := range list {
			net.get(x.VM).download.SetMode(swarm.ModeAll)
		}
		time.Sleep(copyTime * 6 / 10)
		net.g.Expect(net.origin.distinctReads()).To(Equal(chunks), "the rest is read at the full rate")
		net.g.Expect(net.origin.readCount()-before).To(BeNumerically("<=", chunks*6/10), "no chunk is read twice")
		net.finish(time.Minute)
	})
}

// Guards against regions that wait the time of one copy for a chunk whose reader in another region is
// gone, although the member next in rank there has it. After five VMs had been killed, three chunks
// of a version were at one region only until it had expired.
func TestAReaderThatIsGoneDelaysOtherRegionsOnlyBriefly(t *testing.T) {
	play := func(kill int) (took time.Duration, reads int) {
		simulate(t, func(net *network) {
			_, m := version(0)
			list := regions(3, 8)
			net.options = fleetOptions(len(list))
			net.start(m, list)
			for _, x := range list[:kill] {
				net.kill(x.VM)
			}
			took, reads = net.finish(time.Minute), net.origin.readCount()
		})
		return took, reads
	}
	free, _ := play(0)
	took, reads := play(2)
	t.Logf("complete after %v and %d reads, %v without readers that are gone", took, reads, free)
	g := NewWithT(t)
	// The takeover, which is at worst begun by a timeout, and the copies to all members.
	g.Expect(took).To(BeNumerically("<=", free+copyTime/6+copyTime/3+6*chunkTime))
	g.Expect(reads).To(BeNumerically("<=", chunks*11/10))
}
