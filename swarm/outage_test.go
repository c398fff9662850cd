package swarm_test

import (
	"slices"
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

func TestNextTry(t *testing.T) {
	const pause, shortest = 600 * time.Millisecond, 125 * time.Millisecond
	for _, c := range []struct {
		since time.Duration
		place float64
		want  time.Duration
	}{
		{0, 0, pause},
		{0, 0.5, 300 * time.Millisecond},
		{pause, 0.5, 300 * time.Millisecond},
		{200 * time.Millisecond, 0.5, 700 * time.Millisecond},
		{175 * time.Millisecond, 0.5, shortest},
		{7*pause + 400*time.Millisecond, 0.25, 350 * time.Millisecond},
	} {
		NewWithT(t).Expect(swarm.NextTry(c.since, pause, shortest, c.place)).To(Equal(c.want), "%+v", c)
	}
	NewWithT(t).Expect(swarm.NextTry(time.Second, 0, shortest, 0.5)).To(Equal(shortest))
}

// Guards against pauses in which nobody tries a failing origin: each missing chunk's reader is to have
// its own moment, whenever it failed.
func TestTriesOfAFailingOriginAreEvenlySpaced(t *testing.T) {
	const missing, shortest = 43, 250 * time.Millisecond
	pause := swarm.RetryPause(missing, shortest)
	var at []time.Duration
	for i := range missing {
		now := time.Duration(i*i%missing) * 44 * time.Millisecond
		for now < 6*time.Second {
			now += swarm.NextTry(now, pause, shortest/2, float64(i)/missing)
			at = append(at, now)
		}
	}
	slices.Sort(at)
	for i := 1; i < len(at); i++ {
		if at[i-1] >= 3*time.Second && at[i] < 6*time.Second {
			NewWithT(t).Expect(at[i] - at[i-1]).To(BeNumerically("~", pause/missing, time.Millisecond))
		}
	}
}
