package stage_test

import (
	"context"
	"fmt"
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
