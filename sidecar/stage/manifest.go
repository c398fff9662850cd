package stage

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/peerconn"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/wait"
	"github.com/silverdeck/silverdeck/weights"
)

// Settings for distributing manifests. The origin accepts few connections.
const (
	// manifestReaders is the number of VMs that read a manifest from the origin initially, and
	// the number added after each readerStep, since the first ones may be down or have narrow
	// links.
	manifestReaders = 2
	// readerStep is the usual time of a successful read, with some margin.
	readerStep = 300 * time.Millisecond
	// manifestRetryDelay is the delay between two attempts.
	manifestRetryDelay = 120 * time.Millisecond
	// manifestQueryTimeout is the timeout of a query to another VM.
	manifestQueryTimeout = 400 * time.Millisecond
	// manifestHoldTime is how long a query waits at a VM that does not have the manifest yet. It
	// is below manifestQueryTimeout, so that the VM is not taken for unresponsive.
	manifestHoldTime = 250 * time.Millisecond
	// manifestFanout is the number of VMs that query the same manifestReaders VMs. It lets a
	// manifest reach a large fleet in few steps without overloading the initial readers.
	manifestFanout = 16
	// maxManifestSources is the maximum number of VMs queried at once when the first ones do
	// not have the manifest.
	maxManifestSources = 6
)

// ManifestReaders returns how many VMs may read a manifest from the origin after waiting for
// it for the given time. When the number was fixed at two, a fleet whose two readers had
// narrow links received the manifest 5.5 s late.
func ManifestReaders(waited time.Duration) int {
	return manifestReaders * (1 + int(waited/readerStep))
}

// ManifestSources returns which VMs a VM that does not read the manifest itself queries for
// it, after waiting for the given time. VMs are identified by their position in the order of
// readers. The first sources are the manifestReaders VMs that place is assigned to, more than
// one as a VM may be down. After readerStep, some of the readers are added.
func ManifestSources(place int, waited time.Duration) []int {
	first := (place - manifestReaders) / manifestFanout * manifestReaders
	var out []int
	for i := range manifestReaders {
		out = append(out, first+i)
	}
	if waited < readerStep {
		return out
	}
	readers := ManifestReaders(waited)
	for i := range readers {
		if other := (place + i) % readers; len(out) < maxManifestSources && !slices.Contains(out, other) {
			out = append(out, other)
		}
	}
	return out
}

// ManifestService is the net/rpc name of ManifestServer.
const ManifestService = "Stage"

// VersionRequest requests the manifest of a version.
type VersionRequest struct {
	Model   string
	Version int64
}

// ManifestServer serves the manifests present on this VM to other VMs over net/rpc.
type ManifestServer struct {
	holdings *holdings
}

// Manifests returns the stager's net/rpc service.
func (s *Stager) Manifests() *ManifestServer {
	return &ManifestServer{holdings: s.holdings}
}

// errNoManifest is returned for a manifest that this VM does not have.
var errNoManifest = errors.New("stage: no such manifest here")

// Manifest returns the manifest of a version. It waits a while for one that is not present.
func (m *ManifestServer) Manifest(q VersionRequest, reply *exchange.ManifestReply) error {
	set := m.holdings.await(q.Model, q.Version, manifestHoldTime)
	if set == nil {
		return errNoManifest
	}
	var err error
	reply.Manifest, err = json.Marshal(set.Manifest())
	return err
}

// ManifestClient queries other VMs for manifests.
type ManifestClient interface {
	// Manifest queries m for the manifest of a version.
	Manifest(ctx context.Context, m swarm.Member, q VersionRequest) (*weights.Manifest, error)
}

// rpcManifestClient is a ManifestClient that uses net/rpc.
type rpcManifestClient struct {
	pool *peerconn.Pool
}

// NewManifestClient returns a ManifestClient that makes its calls over pool.
func NewManifestClient(pool *peerconn.Pool) ManifestClient {
	return &rpcManifestClient{pool: pool}
}

// Manifest implements ManifestClient.
func (a *rpcManifestClient) Manifest(ctx context.Context, m swarm.Member, q VersionRequest) (*weights.Manifest, error) {
	var reply exchange.ManifestReply
	if err := a.pool.Call(ctx, m.Addr, ManifestService+".Manifest", q, &reply); err != nil {
		return nil, err
	}
	return weights.ParseManifest(reply.Manifest)
}

// manifest gets the manifest of a version. To save connections to the origin, a few VMs
// selected by hash read it there, and the other VMs get it from them.
func (s *Stager) manifest(ctx context.Context, model string, version int64) (*weights.Manifest, error) {
	order := manifestOrder(s.members(ctx), model, version)
	rank := slices.Index(order, s.cfg.Self)
	q := VersionRequest{Model: model, Version: version}
	for began := time.Now(); ; {
		waited := time.Since(began)
		readers := order[:min(ManifestReaders(waited), len(order))]
		if rank < len(readers) {
			return s.readManifest(ctx, q, readers)
		}
		var sources []swarm.Member
		for _, place := range ManifestSources(rank, waited) {
			sources = append(sources, order[place])
		}
		if m := s.queryMembers(ctx, sources, q); m != nil {
			return m, nil
		}
		if !wait.For(ctx, manifestRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// readManifest reads a manifest from the origin. If that fails, it queries the other readers.
func (s *Stager) readManifest(ctx context.Context, q VersionRequest, readers []swarm.Member) (*weights.Manifest, error) {
	originCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, err := s.cfg.Origin.Manifest(originCtx, q.Model, q.Version)
	if err == nil {
		return m, nil
	}
	if m := s.queryMembers(ctx, readers, q); m != nil {
		return m, nil
	}
	return nil, err
}

// queryMembers queries all members except this VM concurrently, and returns the first
// manifest received, or nil.
func (s *Stager) queryMembers(ctx context.Context, members []swarm.Member, q VersionRequest) *weights.Manifest {
	ctx, cancel := context.WithTimeout(ctx, manifestQueryTimeout)
	defer cancel()
	answers := make(chan *weights.Manifest, len(members))
	asked := 0
	for _, r := range members {
		if r == s.cfg.Self {
			continue
		}
		asked++
		go func() {
			m, err := s.cfg.Manifests.Manifest(ctx, r, q)
			if err != nil {
				m = nil // not found, or the member is unreachable
			}
			answers <- m
		}()
	}
	for range asked {
		if m := <-answers; m != nil {
			return m
		}
	}
	return nil
}

// manifestOrder returns the members in the order in which they read the manifest of a
// version.
func manifestOrder(members []swarm.Member, model string, version int64) []swarm.Member {
	out := slices.Clone(members)
	key := func(m swarm.Member) uint64 {
		return xxhash.Sum64String(model + "\x00" + strconv.FormatInt(version, 10) + "\x00" + m.VM)
	}
	slices.SortFunc(out, func(a, b swarm.Member) int { return cmp.Compare(key(a), key(b)) })
	return out
}
