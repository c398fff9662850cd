package stage_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// unresponsiveFleet is a fleet in which no VM except this one answers.
type unresponsiveFleet struct {
	*fakeVM
}

func (unresponsiveFleet) Members(context.Context) ([]swarm.Member, error) {
	list := []swarm.Member{self}
	for i := range 5 {
		addr := fmt.Sprintf("silent-%d:1", i)
		list = append(list, swarm.Member{VM: addr, Addr: addr, Zone: "a", Region: "east"})
	}
	return list, nil
}

func (unresponsiveFleet) Manifest(ctx context.Context, _ swarm.Member, _ stage.VersionRequest) (*weights.Manifest, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against waiting for unresponsive readers of a manifest. Both VMs that were to read
// the manifest had narrow links, and all others queried them six times before reading it
// themselves, so that no endpoint had the newer weights for seconds after the old ones
// expired.
func TestAManifestIsReadByOthersWhereItsReadersAreSilent(t *testing.T) {
	for version := int64(2); version < 8; version++ { // the readers differ by version
		runVirtual(t, func(b *testEnv) {
			m := newFakeVM(0)
			fleet := unresponsiveFleet{m}
			s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: fleet, Peers: noPeers{}, Manifests: fleet})
			s.SetTarget("m", version, false)
			time.Sleep(2 * time.Second)
			b.Expect(m.snapshot().manifests).To(BeNumerically(">", 0), "version %d", version)
		})
	}
}

// spreadManifest returns how long a manifest takes to get from the two VMs that have just read
// it to the last of n VMs, each of which queries its sources every 120 ms. An answer occupies
// the sender's link for 3 ms and takes another 2 ms to arrive.
func spreadManifest(n int, sources func(place int, waited time.Duration) []int) time.Duration {
	const step, pause, sending, delay = time.Millisecond, 120 * time.Millisecond, 3 * time.Millisecond, 2 * time.Millisecond
	has := make([]time.Duration, n) // when the VM received it, 0 for not yet
	has[0], has[1] = step, step
	busy := make([]time.Duration, n)
	ask := make([]time.Duration, n)
	for now, left := step, n-2; ; now += step {
		for place := 2; place < n; place++ {
			if has[place] > 0 || now < ask[place] {
				continue
			}
			ask[place] = now + pause
			for _, source := range sources(place, now) {
				if has[source] == 0 || has[source] > now {
					continue
				}
				busy[source] = max(busy[source], now) + sending
				if came := busy[source] + delay; has[place] == 0 || came < has[place] {
					has[place], ask[place] = came, came
				}
			}
			if has[place] > 0 {
				left--
			}
		}
		if left == 0 {
			return slices.Max(has)
		}
	}
}

// Guards against a manifest that reaches a large fleet late. With 200 VMs, and with 300 after
// a power failure, the two readers sent it to all others over links of 10 Mbit/s: downloads
// began 0.7 s after the version was named, as opposed to 0.2 s with 25 VMs.
func TestAManifestReachesALargeFleetSoon(t *testing.T) {
	fromReaders := func(int, time.Duration) []int { return []int{0, 1} }
	for _, n := range []int{12, 45, 120, 300} {
		before, now := spreadManifest(n, fromReaders), spreadManifest(n, stage.ManifestSources)
		t.Logf("%d VMs: %v if all query the readers, %v as implemented", n, before, now)
		NewWithT(t).Expect(now).To(BeNumerically("<=", 300*time.Millisecond), "%d VMs", n)
	}
}

func TestManifestSourcesReceiveManifestEarlier(t *testing.T) {
	g := NewWithT(t)
	for place := 2; place < 400; place++ {
		for _, waited := range []time.Duration{0, 299 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
			sources := stage.ManifestSources(place, waited)
			g.Expect(sources).NotTo(BeEmpty())
			g.Expect(len(sources)).To(BeNumerically("<=", 6))
			for _, source := range sources {
				if waited == 0 {
					g.Expect(source).To(BeNumerically("<", place))
				}
				g.Expect(source).To(BeNumerically("<", max(place, stage.ManifestReaders(waited))))
			}
		}
	}
}

// Guards against a manifest that reaches VMs up to 120 ms after the VM that they have asked for it
// received it.
func TestAManifestIsSentAsSoonAsItIsThere(t *testing.T) {
	for name, c := range map[string]struct {
		after, want time.Duration
		found       bool
	}{
		"soon": {100 * time.Millisecond, 100 * time.Millisecond, true},
		"late": {time.Second, 250 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			runStager(t, 1, func(g *WithT, _ *fakeVM, s *stage.Stager) {
				began := time.Now()
				time.AfterFunc(c.after, func() { s.SetTarget("m", 2, false) })
				var reply exchange.ManifestReply
				err := s.Manifests().Manifest(stage.VersionRequest{Model: "m", Version: 2}, &reply)
				g.Expect(err == nil).To(Equal(c.found))
				g.Expect(time.Since(began)).To(BeNumerically("~", c.want, 5*time.Millisecond))
			})
		})
	}
}
