package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
	"github.com/silverdeck/silverdeck/wait"
)

// Large requests in MixOverload.
const (
	// largeSenders is how many callers send large requests, all at one gateway, to an endpoint that
	// reads them slowly. Their bodies together exceed its memory limit.
	largeSenders = 32
	// firstLarge is the number of the first of them, beyond those of other callers.
	firstLarge = 100_000
	// largeGap is the time between two requests of one.
	largeGap = 200 * time.Millisecond
	// leastLarge and spreadLarge bound the size of a large body in bytes.
	leastLarge = 1 << 20
	// spreadLarge is drawn from, on top of leastLarge.
	spreadLarge = 3 << 20
	// largePause is the time between two parts of one that the endpoint reads: some are read
	// whole in time, some are not.
	largePause = 4 * time.Millisecond
	// largePatience is how long past its limit the answer to one is waited for: longer than a
	// gateway stands still.
	largePatience = leastStill + spreadStill + time.Second
	// bodiesEvery is how often the bodies that gateways hold are looked at.
	bodiesEvery = 100 * time.Millisecond
	// bodyBudget is the most that a gateway may hold of bodies, in bytes, as docs/OPERATIONS.md says.
	bodyBudget = standin.MemoryLimitMB << 20 * 15 / 100
)

// largeEntry returns the gateway that gets the large requests.
func (w *world) largeEntry() int {
	return len(w.entries) - 1
}

// maxBody returns the size limit of a request body, or 0 for the usual one.
func (w *world) maxBody() int {
	if w.cfg.Mix == MixOverload {
		return leastLarge + spreadLarge
	}
	return 0
}

// sendLarge starts the senders of large requests of MixOverload. They stop when ctx ends.
func (w *world) sendLarge(ctx context.Context, sending *sync.WaitGroup) []*caller {
	if w.cfg.Mix != MixOverload {
		return nil
	}
	var all []*caller
	entry := w.largeEntry()
	for i := range largeSenders {
		c := newCaller(w, firstLarge+i, w.large)
		c.large = true
		all = append(all, c)
		sending.Go(func() {
			for ctx.Err() == nil {
				c.ask(w.entries[entry], w.entryAddrs[entry].callers)
				time.Sleep(largeGap)
			}
		})
	}
	return all
}

// enlarge gives a plain question a large body.
func (c *caller) enlarge(q *question) {
	q.stream, q.bulk, q.limit = false, false, plainLimit // longer, with largePatience, than a gateway is frozen
	line := q.body + "\n"
	q.body = strings.Repeat(line, (leastLarge+c.random.IntN(spreadLarge))/len(line))
}

// patience returns how long the caller waits for an answer.
func (c *caller) patience(q *question) time.Duration {
	switch {
	case c.large:
		return q.limit + largePatience
	case c.world.cfg.Mix == MixSpoiled && q.patient():
		return q.limit + 2*lateGrace
	}
	return q.limit
}

// noteLargeCut notes a large request that ended without an answer though its gateway took it. It is
// judged at the end: what disturbed the gateway is known by then.
func (c *caller) noteLargeCut(gateway, id string, began, ended time.Time, seen *sending, err error) {
	if c.large && seen.isConnected() {
		c.cut = append(c.cut, largeCut{gateway, fmt.Sprintf("large request %s got no answer in %s: %v", id, ended.Sub(began), err), Span{began, ended}})
	}
}

// largeCut is a large request without an answer.
type largeCut struct {
	gateway, line string
	Span
}

// checkLarge notes the large requests without an answer whose gateway was at work.
func (c *caller) checkLarge() {
	for _, x := range c.cut {
		if c.world.isAtWork(x.gateway, x.From, x.To) {
			c.world.witness.AddViolation("%s", x.line)
		}
	}
}

// lookAtBodies notes the most that the bodies of a gateway take, in MixOverload, until ctx ends.
func (w *world) lookAtBodies(ctx context.Context, entry int) {
	for w.cfg.Mix == MixOverload && wait.For(ctx, bodiesEvery) {
		if _, bytes, err := w.held(entry); err == nil {
			w.noteBodies(entry, bytes)
		}
	}
}

func (w *world) noteBodies(entry, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mostBodies = max(w.mostBodies, bytes)
	if bytes > bodyBudget {
		w.witness.AddViolation("%s held %d bytes of bodies of the %d that it may", w.entries[entry].name, bytes, bodyBudget)
	}
}
