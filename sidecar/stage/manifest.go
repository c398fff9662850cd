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

// Who reads a manifest from the origin, which takes few connections. The values are
// judgement, not measured.
const (
	// manifestReaders is how many VMs read a manifest from the origin at once: one may
	// be dead.
	manifestReaders = 2
	// manifestTries is how often the others ask before they read it themselves.
	manifestTries = 6
	// manifestPause is the time between two tries.
	manifestPause = 120 * time.Millisecond
	// askLimit bounds one question to another VM.
	askLimit = 400 * time.Millisecond
)

// ManifestService is the net/rpc name of Manifests.
const ManifestService = "Stage"

// VersionRequest asks for the manifest of a version.
type VersionRequest struct {
	Model   string
	Version int64
}

// Manifests gives other VMs the manifests that this one has, by net/rpc.
type Manifests struct {
	holdings *holdings
}

// Manifests returns the stager's net/rpc service.
func (s *Stager) Manifests() *Manifests {
	return &Manifests{holdings: s.holdings}
}

// errNoManifest answers a request for a manifest that this VM does not have.
var errNoManifest = errors.New("stage: no such manifest here")

// Manifest returns the manifest of a version.
func (m *Manifests) Manifest(q VersionRequest, reply *exchange.ManifestReply) error {
	set := m.holdings.version(q.Model, q.Version)
	if set == nil {
		return errNoManifest
	}
	var err error
	reply.Manifest, err = json.Marshal(set.Manifest())
	return err
}

// Asker asks other VMs for manifests.
type Asker interface {
	// Manifest asks m for the manifest of a version.
	Manifest(ctx context.Context, m swarm.Member, q VersionRequest) (*weights.Manifest, error)
}

// peerAsker is an Asker over net/rpc.
type peerAsker struct {
	pool *peerconn.Pool
}

// NewAsker returns an Asker that calls over pool.
func NewAsker(pool *peerconn.Pool) Asker {
	return &peerAsker{pool: pool}
}

// Manifest implements Asker.
func (a *peerAsker) Manifest(ctx context.Context, m swarm.Member, q VersionRequest) (*weights.Manifest, error) {
	var reply exchange.ManifestReply
	if err := a.pool.Call(ctx, m.Addr, ManifestService+".Manifest", q, &reply); err != nil {
		return nil, err
	}
	return weights.ParseManifest(reply.Manifest)
}

// manifest gets the manifest of a version: a few VMs, named by hash, read it
// from the origin, which has few connections, and the others ask them.
func (s *Stager) manifest(ctx context.Context, model string, version int64) (*weights.Manifest, error) {
	readers := manifestOrder(s.members(ctx), model, version)
	readers = readers[:min(manifestReaders, len(readers))]
	if !slices.Contains(readers, s.cfg.Self) {
		if m := s.askReaders(ctx, readers, VersionRequest{Model: model, Version: version}); m != nil {
			return m, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Origin.Manifest(ctx, model, version)
}

// askReaders asks readers in turn until one has the manifest, or returns nil.
func (s *Stager) askReaders(ctx context.Context, readers []swarm.Member, q VersionRequest) *weights.Manifest {
	for range manifestTries {
		for _, r := range readers {
			askCtx, cancel := context.WithTimeout(ctx, askLimit)
			m, err := s.cfg.Asker.Manifest(askCtx, r, q)
			cancel()
			if err == nil {
				return m
			}
		}
		if !wait.For(ctx, manifestPause) {
			return nil
		}
	}
	return nil
}

// manifestOrder returns the members in the order in which they read the
// manifest of a version.
func manifestOrder(members []swarm.Member, model string, version int64) []swarm.Member {
	out := slices.Clone(members)
	key := func(m swarm.Member) uint64 {
		return xxhash.Sum64String(model + "\x00" + strconv.FormatInt(version, 10) + "\x00" + m.VM)
	}
	slices.SortFunc(out, func(a, b swarm.Member) int { return cmp.Compare(key(a), key(b)) })
	return out
}
