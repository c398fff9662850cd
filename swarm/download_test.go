package swarm_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// minDuration is the lower bound set by the links: every VM receives each chunk once.
const minDuration = chunks * chunkTime

func TestHealthySwarmReadsEachChunkOnceFromTheOrigin(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, members(12, "east"))
		took := n.finish(time.Minute)
		n.g.Expect(n.origin.readCount()).To(Equal(chunks))
		n.g.Expect(took).To(BeNumerically("<", minDuration*7/4))
	})
}

// Guards against a second origin read of a chunk whose only holder has a queue. When all members
// request the chunk at once, the last in the queue waits 250 ms; the holder was then taken for
// one with a narrow link, and the reader next in rank read the chunk from the origin again. The
// test above, in which the queue forms by chance, failed in 13 of 480 runs. Here chunks of
// another version fill the queue.
func TestAQueueAtAHolderIsNotTakenForANarrowLink(t *testing.T) {
	const queue = 10 * chunkTime
	list := members(12, "east")
	for i, x := range list {
		for _, after := range []time.Duration{minDuration / 8, minDuration / 4, minDuration / 2} {
			t.Run(fmt.Sprintf("%s after %v", x.VM, after), func(t *testing.T) {
				simulate(t, func(n *network) {
					_, m := version(0)
					n.start(m, list)
					time.Sleep(after)
					up := n.get(list[i].VM).up
					up <- struct{}{}
					time.Sleep(queue)
					<-up
					n.finish(time.Minute)
					n.g.Expect(n.origin.readCount()).To(Equal(chunks))
				})
			})
		}
	}
}

func TestKilledReadersAreTakenOver(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, members(10, "east"))
		time.Sleep(5 * chunkTime)
		n.kill("east-03")
		n.kill("east-07")
		n.finish(time.Minute)
		n.g.Expect(n.origin.readCount()).To(BeNumerically("<=", chunks*5/4))
	})
}

func TestNewcomerTakesFromOthersNotFromTheOrigin(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		list := members(8, "east")
		n.start(m, list)
		time.Sleep(minDuration * 3 / 4)
		list = append(list, member(8, "east"))
		for _, x := range list[:8] {
			n.get(x.VM).download.SetMembers(list)
		}
		n.join(m, list[8], list)
		n.finish(time.Minute)
		n.g.Expect(n.origin.readCount()).To(BeNumerically("<=", chunks+2))
	})
}

func TestCorruptMemberIsAvoided(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, members(8, "east"))
		n.get("east-02").update(func(v *vm) { v.corrupt = true })
		n.finish(time.Minute)
		caught := 0
		for _, x := range members(8, "east") {
			s := n.get(x.VM).download.Stats()
			n.g.Expect(s.CorruptPeer).To(BeNumerically("<=", 6), "corrupt member is asked repeatedly")
			caught += s.CorruptPeer
		}
		n.g.Expect(caught).To(BeNumerically(">", 0))
	})
}

func TestCorruptOriginIsReadAgain(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.origin.set(func(o *fakeOrigin) { o.corrupt = 3 })
		n.start(m, members(8, "east"))
		n.finish(time.Minute)
		n.g.Expect(n.origin.readCount()).To(BeNumerically("<=", chunks+3+2))
	})
}

func TestStalledLinkDoesNotDelayOthers(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, members(10, "east"))
		time.Sleep(10 * chunkTime)
		stalled := n.get("east-04")
		stalled.update(func(v *vm) { v.stalled = true })
		n.mu.Lock()
		delete(n.vms, "east-04")
		n.mu.Unlock()
		took := n.finish(time.Minute)
		n.g.Expect(took).To(BeNumerically("<", 3*minDuration))
	})
}

func TestVersionThatChangesMidCopyIsFinishedFromOthersOrNotAtAll(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		other, _ := version(7)
		n.start(m, members(8, "east"))
		time.Sleep(10 * chunkTime)
		n.origin.set(func(o *fakeOrigin) { o.data = other })
		time.Sleep(5 * time.Second)
		for _, x := range members(8, "east") {
			v := n.get(x.VM)
			n.g.Expect(v.set.Complete()).To(BeFalse())
			for i := range chunks {
				b := v.set.Get(i)
				n.g.Expect(b == nil || b[0] != other[i*chunkSize]).To(BeTrue(), "set holds a chunk of the other version")
			}
		}
	})
}

func TestOriginThatRefusesTheVersionIsNotRetried(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, members(8, "east"))
		time.Sleep(10 * chunkTime)
		n.origin.set(func(o *fakeOrigin) { o.changed = true })
		time.Sleep(time.Second)
		reads := n.origin.readCount()
		time.Sleep(20 * time.Second)
		n.g.Expect(n.origin.readCount()).To(BeNumerically("<=", reads+8), "each member reads at most once more")
		n.g.Expect(n.get("east-00").download.Stats().Blocked).To(ContainSubstring("no longer has this version"))
	})
}

func TestBrokenOriginIsNotOverloaded(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.origin.set(func(o *fakeOrigin) { o.down = true })
		n.start(m, members(8, "east"))
		time.Sleep(10 * time.Second)
		before := n.origin.readCount()
		time.Sleep(10 * time.Second)
		n.g.Expect(n.origin.readCount()-before).To(BeNumerically("<=", 8*2*10), "each member reads at most twice per second")
	})
}

func TestOriginThatComesBackIsUsed(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.origin.set(func(o *fakeOrigin) { o.down = true })
		n.start(m, members(8, "east"))
		time.Sleep(20 * time.Second)
		n.origin.set(func(o *fakeOrigin) { o.down = false })
		n.finish(10 * time.Minute)
	})
}

func TestLongLinkCarriesEachChunkOnce(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, append(members(8, "east"), members(8, "west")...))
		n.finish(time.Minute)
		n.g.Expect(n.origin.readCount()).To(BeNumerically("<=", chunks*21/20))
		n.g.Expect(n.cross["east"] + n.cross["west"]).To(BeNumerically("<=", chunks*21/20))
	})
}

func TestRegionThatIsCutOffFinishesAlone(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		n.start(m, append(members(8, "east"), members(8, "west")...))
		time.Sleep(10 * chunkTime)
		n.mu.Lock()
		n.partitioned["west"] = true
		n.mu.Unlock()
		n.finish(time.Minute)
		n.g.Expect(n.origin.readCount()).To(BeNumerically("<=", 2*chunks*5/4), "each region stays within its budget")
	})
}

func TestARegionTakesFromAnotherWhenTheOriginFails(t *testing.T) {
	simulate(t, func(n *network) {
		_, m := version(0)
		west, all := members(4, "west"), append(members(4, "west"), members(4, "east")...)
		n.start(m, west)
		n.finish(time.Minute)
		n.origin.set(func(o *fakeOrigin) { o.down = true })
		for _, x := range members(4, "east") {
			n.join(m, x, all)
		}
		for _, x := range members(4, "east") {
			v := n.get(x.VM)
			select {
			case err := <-v.done:
				n.g.Expect(err).NotTo(HaveOccurred())
			case <-time.After(20 * time.Second):
				n.g.Expect(v.download.Stats()).To(BeNil(), x.VM+" is not complete")
			}
		}
	})
}

// alwaysReading is a Transport to members that report that they are reading every chunk and never
// deliver one.
type alwaysReading struct{}

func (alwaysReading) Have(ctx context.Context, _ swarm.Member, _ weights.Digest, _ int) ([]int, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (alwaysReading) Chunk(context.Context, swarm.Member, swarm.ChunkRequest) ([]byte, error) {
	return nil, &swarm.RefusalError{Refusal: swarm.RefusalReading}
}

func TestASlowReaderIsWaitedForUpToMaxPostponements(t *testing.T) {
	took := func(opts ...swarm.Option) (d time.Duration) {
		simulate(t, func(n *network) {
			_, m := version(0)
			list := members(2, "east")
			opts = append(opts, swarm.WithOriginBudget(originRate, 3), swarm.WithTakeoverDelay(250*time.Millisecond))
			began := time.Now()
			n.g.Expect(swarm.NewDownload(list[0], list, weights.NewSet(m), alwaysReading{}, n.origin, opts...).Run(n.ctx)).To(Succeed())
			d = time.Since(began)
		})
		return d
	}
	NewWithT(t).Expect(took(swarm.WithMaxPostponements(4))).To(BeNumerically("<", took()-time.Second))
}
