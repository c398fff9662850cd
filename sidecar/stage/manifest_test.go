package stage_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/sidecar/stage"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// silentFleet is a fleet of VMs of which only this one answers.
type silentFleet struct {
	*machine
}

func (silentFleet) Members(context.Context) ([]swarm.Member, error) {
	list := []swarm.Member{self}
	for i := range 5 {
		addr := fmt.Sprintf("silent-%d:1", i)
		list = append(list, swarm.Member{VM: addr, Addr: addr, Zone: "a", Region: "east"})
	}
	return list, nil
}

func (silentFleet) Manifest(ctx context.Context, _ swarm.Member, _ stage.VersionRequest) (*weights.Manifest, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// What users saw: no endpoint had the newer weights for seconds after the limit of the old
// ones. The two VMs that were to read the manifest of the newer version were on narrow
// links, and all others asked them six times before they read it themselves.
func TestAManifestIsReadByOthersWhereItsReadersAreSilent(t *testing.T) {
	for version := int64(2); version < 8; version++ { // each is read by other VMs first
		bubble(t, func(b *stagers) {
			m := newMachine(0)
			fleet := silentFleet{m}
			s := b.start(stage.Config{Endpoint: m, Origin: m, Fleet: fleet, Peers: alone{}, Asker: fleet})
			s.Want("m", version, false)
			time.Sleep(2 * time.Second)
			b.Expect(m.seen().manifests).To(BeNumerically(">", 0), "version %d", version)
		})
	}
}

// spreadManifest returns how long a manifest takes from two VMs that have just read it to
// the last of n, of which each asks sources every 120 ms. An answer takes 3 ms of the link
// of the VM that gives it, and 2 ms on its way.
func spreadManifest(n int, sources func(place int, waited time.Duration) []int) time.Duration {
	const step, pause, sending, delay = time.Millisecond, 120 * time.Millisecond, 3 * time.Millisecond, 2 * time.Millisecond
	has := make([]time.Duration, n) // since when, 0 for not yet
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

// A version was named to 200 VMs, and after a loss of all power to 300. The two that read
// its manifest sent it to all others, over links of 10 Mbit/s; the fetch of the weights
// began 0.7 s after the naming, with 25 VMs after 0.2 s.
func TestAManifestReachesALargeFleetSoon(t *testing.T) {
	fromReaders := func(int, time.Duration) []int { return []int{0, 1} }
	for _, n := range []int{12, 45, 120, 300} {
		before, now := spreadManifest(n, fromReaders), spreadManifest(n, stage.ManifestSources)
		t.Logf("%d VMs: %v where all ask the readers, %v", n, before, now)
		NewWithT(t).Expect(now).To(BeNumerically("<=", 300*time.Millisecond), "%d VMs", n)
	}
}

func TestAManifestIsAskedOfWhoHasItSooner(t *testing.T) {
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
