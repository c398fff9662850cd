package loader_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/silverdeck/silverdeck/standalone/agent/loader"
	"github.com/silverdeck/silverdeck/standalone/engine"
)

// learn makes f learn the engine's epoch.
func learn(f *loader.Fence) error {
	_, err := f.LearnEngine(context.Background())
	return err
}

func TestFenceGivesNothingBeforeItHasLearned(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{checks: true, epoch: 7}
	f := loader.NewFence(e)
	g.Expect(f.Order(context.Background(), engine.Order{Epoch: 9})).To(MatchError(&loader.FenceError{Order: 9, Unknown: true}))
	g.Expect(learn(f)).To(Succeed())
	g.Expect(f.Order(context.Background(), engine.Order{Epoch: 6})).To(MatchError(&loader.FenceError{Order: 6, Fence: 7}))
	g.Expect(f.Order(context.Background(), engine.Order{Epoch: 9})).To(Succeed())
}

func TestFenceLearnsWhileAnOrderIsUnderWay(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{gate: make(chan struct{}), entered: make(chan struct{})}
	f := loader.NewFence(e)
	g.Expect(learn(f)).To(Succeed())
	ordered := make(chan error, 1)
	go func() { ordered <- f.Order(context.Background(), engine.Order{Epoch: 2}) }()
	<-e.entered
	f.Learn(5)
	e.gate <- struct{}{}
	g.Expect(<-ordered).To(Succeed())
	g.Expect(f.Order(context.Background(), engine.Order{Epoch: 4})).To(MatchError(&loader.FenceError{Order: 4, Fence: 5}))
}

// The engine never takes an order of a lower epoch than one before, whatever
// the agent learns and is told to order, whether or not the engine checks.
func TestFenceKeepsEpochsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &fakeEngine{checks: rapid.Bool().Draw(t, "checks")}
		f := loader.NewFence(e)
		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) {
				f.Learn(rapid.Int64Range(0, 20).Draw(t, "epoch"))
			},
			"ask": func(*rapid.T) { _ = learn(f) },
			"order": func(t *rapid.T) {
				_ = f.Order(context.Background(), engine.Order{Epoch: rapid.Int64Range(0, 20).Draw(t, "epoch")})
			},
			"": func(t *rapid.T) {
				last := int64(0)
				for _, o := range e.taken() {
					if o.Epoch < last {
						t.Fatalf("order of epoch %d after %d", o.Epoch, last)
					}
					last = o.Epoch
				}
			},
		})
	})
}
