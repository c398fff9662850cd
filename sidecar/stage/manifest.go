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

// Who reads a manifest from the origin, which takes few connections.
const (
	// manifestReaders is how many VMs read a manifest from the origin at first, and how
	// many more may after each manifestStep: the first may be dead, or on narrow links.
	manifestReaders = 2
	// manifestStep is the time of a reading that goes well, with some slack.
	manifestStep = 300 * time.Millisecond
	// manifestPause is the time between two tries.
	manifestPause = 120 * time.Millisecond
	// askLimit bounds one question to another VM.
	askLimit = 400 * time.Millisecond
	// manifestChildren is how many VMs ask the same manifestReaders VMs for a manifest, so
	// that it reaches a large fleet in few steps without a queue at those who read it.
	manifestChildren = 16
	// maxSources is how many VMs are asked at once where the first do not have it.
	maxSources = 6
)

// ManifestReaders returns how many VMs may read a manifest from the origin once it has
// been awaited for a time. With two for good, a fleet whose two readers were on narrow
// links got the manifest 5.5 s late.
func ManifestReaders(waited time.Duration) int {
	return manifestReaders * (1 + int(waited/manifestStep))
}

// ManifestSources returns which VMs, by their places in the order of readers, one that does
// not read the manifest itself asks for it once it has awaited it for a time: those to which
// it is dealt out, manifestReaders of them as one may be dead, and then some of the readers
// as well.
func ManifestSources(place int, waited time.Duration) []int {
	first := (place - manifestReaders) / manifestChildren * manifestReaders
	var out []int
	for i := range manifestReaders {
		out = append(out, first+i)
	}
	if waited < manifestStep {
		return out
	}
	readers := ManifestReaders(waited)
	for i := range readers {
		if other := (place + i) % readers; len(out) < maxSources && !slices.Contains(out, other) {
			out = append(out, other)
		}
	}
	return out
}

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

// manifest gets the manifest of a version: a few VMs, named by hash, read it from the
// origin, which has few connections, and it is handed on from these to all others.
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
		if m := s.askAll(ctx, sources, q); m != nil {
			return m, nil
		}
		if !wait.For(ctx, manifestPause) {
			return nil, ctx.Err()
		}
	}
}

// readManifest reads a manifest from the origin, or else asks the other readers.
func (s *Stager) readManifest(ctx context.Context, q VersionRequest, readers []swarm.Member) (*weights.Manifest, error) {
	originCtx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	m, err := s.cfg.Origin.Manifest(originCtx, q.Model, q.Version)
	if err == nil {
		return m, nil
	}
	if m := s.askAll(ctx, readers, q); m != nil {
		return m, nil
	}
	return nil, err
}

// askAll asks all members but this VM at once, and returns the first manifest that one of
// them has, or nil.
func (s *Stager) askAll(ctx context.Context, members []swarm.Member, q VersionRequest) *weights.Manifest {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	answers := make(chan *weights.Manifest, len(members))
	asked := 0
	for _, r := range members {
		if r == s.cfg.Self {
			continue
		}
		asked++
		go func() {
			m, err := s.cfg.Asker.Manifest(ctx, r, q)
			if err != nil {
				m = nil // it does not have it, or can't be asked
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
