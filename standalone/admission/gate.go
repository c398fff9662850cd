// Package admission decides which request gets a slot of an endpoint next,
// and which is refused at once.
//
// A Gate owns the slots and the queue of one endpoint, under one lock. It relies on
// being told when a request is over.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/verdict"
)

// Request is what a Gate knows of a request.
type Request struct {
	Class   object.Class
	Account string
	// Share weighs the account; at least 1.
	Share int
	// Cost is the expected work, in tokens.
	Cost float64
}

// Config holds a Gate's settings.
type Config struct {
	// Slots is how many requests run at once; UrgentSlots of them are for
	// urgent requests alone.
	Slots, UrgentSlots int
	// Queue is how many requests may wait, in each class.
	Queue int
}

// Counts is what a Gate has to do.
type Counts struct {
	Running, Queued int
}

// Gate hands out slots: urgent requests first, then normal, then bulk; within
// a class by weighted fair shares of expected tokens among client accounts.
// It is safe for concurrent use.
type Gate struct {
	cfg Config

	mu      sync.Mutex
	running int
	queues  map[object.Class]*fairQueue
	closed  bool
	// usual is how long a request holds a slot, smoothed, in seconds.
	usual float64
}

// classes in the order in which they are served.
var classes = []object.Class{object.ClassUrgent, object.ClassNormal, object.ClassBulk}

// NewGate returns a Gate.
func NewGate(cfg Config) *Gate {
	g := &Gate{cfg: cfg, queues: map[object.Class]*fairQueue{}}
	for _, c := range classes {
		g.queues[c] = newFairQueue()
	}
	return g
}

// Acquire waits for a slot. It returns the function that gives the slot back,
// or a *verdict.Error which says that the request was not run: at once when
// the queue is full or the deadline of ctx can't be met, and at once when the
// gate closes.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(), err error) {
	g.mu.Lock()
	w, err := g.enter(ctx, r)
	g.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.ready:
	case <-ctx.Done():
		err = g.abandon(w, ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	return g.releaser(), nil
}

func (g *Gate) enter(ctx context.Context, r Request) (*waiter, error) {
	if g.closed {
		return nil, verdict.NewError(verdict.Unsent{}, verdict.CodeLeaving, "the endpoint is leaving")
	}
	if _, known := g.queues[r.Class]; !known {
		r.Class = object.ClassNormal
	}
	q := g.queues[r.Class]
	w := &waiter{request: r, ready: make(chan error, 1)}
	if q.len() == 0 && g.free(r.Class) {
		g.running++
		w.ready <- nil
		return w, nil
	}
	if q.len() >= g.cfg.Queue {
		return nil, g.overloaded("the endpoint's queue is full", r.Class)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < g.expectedWait(r.Class) {
		return nil, g.overloaded("the deadline would pass in the queue", r.Class)
	}
	q.push(w)
	return w, nil
}

func (g *Gate) overloaded(detail string, c object.Class) error {
	return verdict.NewError(verdict.Unsent{}, verdict.CodeOverloaded, "%s", detail).WithRetryAfter(max(g.expectedWait(c), minRetryAfter))
}

// minRetryAfter is the soonest that a refused caller is asked back.
const minRetryAfter = time.Second

// expectedWait is how long a new request of class c would wait.
func (g *Gate) expectedWait(c object.Class) time.Duration {
	ahead := 0
	for _, k := range classes {
		ahead += g.queues[k].len()
		if k == c {
			break
		}
	}
	rounds := float64(ahead) / float64(g.cfg.Slots)
	return time.Duration(rounds * g.usual * float64(time.Second))
}

// free returns whether a request of class c may take a slot now.
func (g *Gate) free(c object.Class) bool {
	if c == object.ClassUrgent {
		return g.running < g.cfg.Slots
	}
	return g.running < g.cfg.Slots-g.cfg.UrgentSlots
}

func (g *Gate) abandon(w *waiter, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queues[w.request.Class].remove(w) {
		select {
		case err := <-w.ready:
			if err == nil {
				g.running--
				g.dispatch()
			}
		default:
		}
	}
	e := verdict.Classify(verdict.Dialing, cause)
	e.Detail = "gave up in the endpoint's queue"
	return e
}

func (g *Gate) releaser() func() {
	began := time.Now()
	var once sync.Once
	return func() {
		once.Do(func() { g.giveBack(time.Since(began)) })
	}
}

// smoothing is the weight of the newest sample in the usual time.
const smoothing = 0.1

func (g *Gate) giveBack(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.usual == 0 {
		g.usual = took.Seconds()
	}
	g.usual += smoothing * (took.Seconds() - g.usual)
	g.dispatch()
}

// dispatch gives free slots to those who wait.
func (g *Gate) dispatch() {
	for _, c := range classes {
		q := g.queues[c]
		for q.len() > 0 && g.free(c) {
			w := q.pop()
			g.running++
			w.ready <- nil
		}
	}
}

// Close refuses new requests and those that wait; running ones go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, c := range classes {
		q := g.queues[c]
		for q.len() > 0 {
			q.pop().ready <- verdict.NewError(verdict.Unsent{}, verdict.CodeLeaving, "the endpoint is leaving")
		}
	}
}

// Open takes requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

// Counts returns what the gate has to do.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := Counts{Running: g.running}
	for _, q := range g.queues {
		c.Queued += q.len()
	}
	return c
}
