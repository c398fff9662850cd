package loader

import (
	"context"
	"fmt"
	"sync"

	"github.com/silverdeck/silverdeck/standalone/engine"
)

// FenceError tells that an order was not given because of its epoch.
type FenceError struct {
	Order, Fence int64
	// Unknown is set while the agent has not learned the fence yet.
	Unknown bool
}

// Error names both epochs.
func (e *FenceError) Error() string {
	if e.Unknown {
		return "agent: the epoch in force is not known yet"
	}
	return fmt.Sprintf("agent: order of epoch %d, the fence is at %d", e.Order, e.Fence)
}

// Fence is the one place from which the engine on this VM gets orders. It
// gives none of a lower epoch than it has seen anywhere, whether or not the
// engine checks the same; and none before it has learned what was in force.
// Orders go one at a time.
//
// Spec step: fence.pml, "order" and "learn".
type Fence struct {
	engine engine.Engine
	// turn is held while an order is under way. It is not the lock of the
	// epoch: a load takes minutes, and what is learned meanwhile must not wait.
	turn chan struct{}

	mu      sync.Mutex
	epoch   int64
	learned bool
}

// NewFence returns a Fence before e that has learned nothing.
func NewFence(e engine.Engine) *Fence {
	return &Fence{engine: e, turn: make(chan struct{}, 1)}
}

// Learn raises the fence to an epoch that was seen somewhere.
func (f *Fence) Learn(epoch int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = max(f.epoch, epoch)
}

// LearnEngine raises the fence to the engine's own epoch and returns the
// engine's state. Until it has succeeded once, Order refuses everything.
func (f *Fence) LearnEngine(ctx context.Context) (engine.State, error) {
	s, err := f.engine.State(ctx)
	if err != nil {
		return s, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch = max(f.epoch, s.Epoch)
	f.learned = true
	return s, nil
}

// Order gives o to the engine unless the fence forbids it. The next order
// waits until the engine has answered, so that no older order can follow a
// newer one to an engine that does not check.
func (f *Fence) Order(ctx context.Context, o engine.Order) error {
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-f.turn }()
	if err := f.enter(o.Epoch); err != nil {
		return err
	}
	return f.engine.Order(ctx, o)
}

// enter checks an order's epoch and raises the fence to it.
func (f *Fence) enter(epoch int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.learned {
		return &FenceError{Order: epoch, Unknown: true}
	}
	if epoch < f.epoch {
		return &FenceError{Order: epoch, Fence: f.epoch}
	}
	f.epoch = epoch
	return nil
}

// At returns the fence's epoch.
func (f *Fence) At() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epoch
}
