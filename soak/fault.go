package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standin"
	"github.com/silverdeck/silverdeck/wait"
)

// fault is something that goes wrong for a while.
type fault struct {
	name string
	// begin starts it; end, if there is one, heals it.
	begin, end func()
	// disturbs says that it may break off requests at entries that no fault strikes.
	disturbs bool
}

// storeOutage returns an outage of the store. In every other one the records of
// all runners lapse; their next heartbeats write them again.
func (w *world) storeOutage(lapse bool) fault {
	begin := func() { w.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable}) }
	end := func() { w.store.SetFault(standin.StoreFault{}) }
	if !lapse {
		return fault{"store down", begin, end, false}
	}
	return fault{"store down, records lapse", func() {
		begin()
		for _, s := range w.runners {
			s.lapse()
		}
	}, end, false}
}

// heartbeatEvery is how often runners write their records.
const heartbeatEvery = time.Second

// heartbeats writes the records of all runners while the store answers, until
// ctx ends.
func (w *world) heartbeats(ctx context.Context) {
	for wait.For(ctx, heartbeatEvery) {
		if !w.store.Available() {
			continue
		}
		for _, s := range w.runners {
			s.announce()
		}
	}
}

// draw returns a fault at random. chance decides what r does not, so that what
// r draws from a seed stays the same.
func (w *world) draw(r, chance *rand.Rand) fault {
	entry, sidecar := w.entries[r.IntN(len(w.entries))], w.sidecars[r.IntN(len(w.sidecars))]
	runner := w.runners[r.IntN(len(w.runners))]
	link := w.runnerLinks[r.IntN(len(w.runnerLinks))]
	storeLink := w.storeLinks[r.IntN(len(w.storeLinks))]
	heal := func(p *Proxy) func() { return func() { p.Set(Link{}) } }
	storeFault := func(f standin.StoreFault) func() { return func() { w.store.SetFault(f) } }
	all := []fault{
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"entry reloads", func() { entry.signal(syscall.SIGHUP) }, nil, false},
		{"sidecar killed", func() { sidecar.signal(syscall.SIGKILL) }, nil, false},
		{"sidecar frozen", func() { sidecar.signal(syscall.SIGSTOP) }, func() { sidecar.signal(syscall.SIGCONT) }, false},
		{"runner restarted", func() { runner.restart(w.firstVersion(runner)) }, nil, true},
		{"runner leaves", runner.leave, func() { runner.restart(w.firstVersion(runner)) }, true},
		{"runner link reset", func() { link.Set(Link{Refuse: true}) }, heal(link), true},
		{"runner link slow", func() { link.Set(Link{Delay: 60 * time.Millisecond}) }, heal(link), true},
		{"runner unheard", func() { link.Set(Link{SilentIn: true}) }, heal(link), true},
		{"runner unreached", func() { link.Set(Link{SilentOut: true}) }, heal(link), true},
		{"store link reset", func() { storeLink.Set(Link{Refuse: true}) }, heal(storeLink), false},
		{"store link silent", func() { storeLink.Set(Link{SilentIn: true}) }, heal(storeLink), false},
		w.storeOutage(chance.IntN(2) == 0),
		{"store silent", storeFault(standin.StoreFault{Unresponsive: true}), storeFault(standin.StoreFault{}), false},
		{"store loses answers", storeFault(standin.StoreFault{LoseResponses: true}), storeFault(standin.StoreFault{}), false},
		{"store forgets", w.store.DropHistory, nil, false},
		{"configuration", w.configure, nil, false},
		{"new weights", w.nameVersion, nil, true},
	}
	return all[r.IntN(len(all))]
}

// firstVersion is what a runner holds after a restart.
func (w *world) firstVersion(s *slot) int64 {
	if s.cfg.Model == "" {
		return 1
	}
	return 0
}

func (w *world) nameVersion() {
	w.version++
	w.store.SetModelVersion(model, w.version)
}

// Pace of faults.
const (
	// leastPause and spreadPause bound the pause between two faults: several overlap.
	leastPause = 100 * time.Millisecond
	// spreadPause is drawn from, on top of leastPause.
	spreadPause = 900 * time.Millisecond
	// leastFault and spreadFault bound how long a fault lasts: some are over before they
	// are noticed, some outlast every limit of a call.
	leastFault = 200 * time.Millisecond
	// spreadFault is drawn from, on top of leastFault.
	spreadFault = 3 * time.Second
	// disturbAfter is how long after the start the first fault comes.
	disturbAfter = 4 * time.Second
)

// disturb injects faults until ctx ends, several at a time, and heals them all.
func (w *world) disturb(ctx context.Context, note func(string)) {
	r := rand.New(rand.NewPCG(w.cfg.Seed, 1))
	chance := rand.New(rand.NewPCG(w.cfg.Seed, 2))
	var ends []chan struct{}
	for ctx.Err() == nil {
		f := w.drawOf(r, chance)
		lasts := leastFault + time.Duration(r.Int64N(int64(spreadFault)))
		note(fmt.Sprintf("%7.3f %s", time.Since(w.began).Seconds(), f.name))
		if f.disturbs {
			w.noteFault(lasts)
			w.disturbedAt.Store(time.Now().Add(lasts).UnixNano())
		}
		f.begin()
		if f.end != nil {
			done := make(chan struct{})
			ends = append(ends, done)
			time.AfterFunc(lasts, func() { f.end(); close(done) })
		}
		time.Sleep(leastPause + time.Duration(r.Int64N(int64(spreadPause))))
	}
	for _, done := range ends {
		<-done
	}
}

// calm returns whether nothing disturbed endpoints around a time.
func (w *world) calm(at time.Time) bool {
	return time.Unix(0, w.disturbedAt.Load()).Add(disturbAfter).Before(at)
}
