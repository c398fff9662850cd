package agent

import (
	"context"
	"io"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/origin"
	"github.com/silverdeck/silverdeck/standalone/engine"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Loader opens the loader to the tests of this package.
type Loader struct {
	*loader
}

// NewLoader returns a Loader with fakes at its interfaces.
func NewLoader(self swarm.Member, hold int64, e engine.Engine, peers Peers, o origin.Source) Loader {
	return Loader{&loader{
		self:   self,
		holder: newHolder(hold),
		fence:  newFence(e),
		peers:  peers,
		origin: o,
		homes:  func() []string { return nil },
		news:   func() {},
		log:    log.New(io.Discard),
		tasks:  map[weights.Digest]*task{},
		wake:   make(chan struct{}, 1),
	}}
}

// Run reconciles until ctx ends.
func (l Loader) Run(ctx context.Context) { l.run(ctx) }

// Apply takes in a directive.
func (l Loader) Apply(d peer.Directive) { l.apply(d) }

// Status returns what the engine serves and how far each assignment is.
func (l Loader) Status() (int64, []peer.Loaded, []peer.Progress) { return l.status() }

// Holds returns whether the weights that root names are held complete.
func (l Loader) Holds(root weights.Digest) bool {
	s := l.holder.Set(root)
	return s != nil && s.Complete()
}

// Fence opens the fence to the tests of this package.
type Fence struct {
	*fence
}

// NewFence returns a Fence before e.
func NewFence(e engine.Engine) Fence { return Fence{newFence(e)} }

// Learn raises the fence.
func (f Fence) Learn(epoch int64) { f.learn(epoch) }

// LearnEngine raises the fence to the engine's epoch.
func (f Fence) LearnEngine(ctx context.Context) error {
	_, err := f.learnEngine(ctx)
	return err
}

// Order gives an order unless the fence forbids it.
func (f Fence) Order(ctx context.Context, o engine.Order) error { return f.order(ctx, o) }
