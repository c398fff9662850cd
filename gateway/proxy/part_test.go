package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Bounds of the platform's rules on a part of prompts that ends endpoints.
const (
	// partContact is how long all gateways may take to learn of it.
	partContact = 3 * time.Second
	// partCrashes is the number of crashes from which that counts.
	partCrashes = 5
	// partSends is how many requests with the part may reach endpoints afterwards.
	partSends = 3
)

// deadlyPart is the part that ends each endpoint that begins to answer it.
const deadlyPart = "deadly"

// Framings of the endpoints' answers.
const (
	chunkedAnswers  = "chunks"
	unmarkedAnswers = "close"
)

// partWorld is a fleet whose endpoints are ended by a part of prompts.
type partWorld struct {
	*fleet
	framing string

	mu sync.Mutex
	// crashedAt are the times at which endpoints ended under the part, arrivedAt those at which
	// requests with it reached endpoints.
	crashedAt, arrivedAt []time.Time
}

// runPartWorld runs f with n gateways and the given number of endpoints.
func runPartWorld(t *testing.T, n, endpoints int, framing string, f func(w *partWorld)) {
	var scripts [][]handler
	for range endpoints {
		scripts = append(scripts, always(hang))
	}
	runFleet(t, n, func(fl *fleet) {
		w := &partWorld{fleet: fl, framing: framing}
		for addr, e := range fl.endpoints {
			e.script = always(func(c net.Conn, r *http.Request) bool { return w.answer(addr, c, r) })
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fl.sendHeartbeats(ctx)
		f(w)
	}, scripts...)
}

// answer handles a request at the endpoint with the given address.
func (w *partWorld) answer(addr string, c net.Conn, r *http.Request) bool {
	parts := strings.Split(r.Header.Get("Parts"), ",")
	deadly := slices.Contains(parts[:len(parts)-1], deadlyPart)
	if deadly {
		w.note(&w.arrivedAt)
	}
	head := "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\nTransfer-Encoding: chunked\r\n\r\n"
	write, finish := chunks, end
	if w.framing == unmarkedAnswers {
		head = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: st\r\n\r\n"
		write = func(c net.Conn, pieces ...string) bool {
			_, err := fmt.Fprint(c, strings.Join(pieces, ""))
			return err == nil
		}
		finish = func(net.Conn, *http.Request) bool { return false }
	}
	time.Sleep(50 * time.Millisecond)
	if _, err := fmt.Fprintf(c, head, r.Header.Get("Id")); err != nil {
		return false
	}
	from := 1
	_, _ = fmt.Sscan(r.Header.Get("Last-Event"), &from)
	for id := from; id <= 4; id++ {
		time.Sleep(100 * time.Millisecond)
		if deadly {
			w.note(&w.crashedAt)
			w.crash(addr)
			return false
		}
		if !write(c, stream(id)) {
			return false
		}
	}
	return finish(c, r)
}

func (w *partWorld) note(times *[]time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*times = append(*times, time.Now())
}

// arrivedLate returns how many requests with the part reached endpoints too long after its fifth crash.
func (w *partWorld) arrivedLate() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashedAt) < partCrashes {
		return 0
	}
	n := 0
	for _, at := range w.arrivedAt {
		if at.After(w.crashedAt[partCrashes-1].Add(partContact)) {
			n++
		}
	}
	return n
}

// tally counts the requests of one kind that were sent from some time on, and those that were answered.
type tally struct {
	mu             sync.Mutex
	sent, answered int
	// withheld counts those that were refused because of crashes.
	withheld int
}

// load sends requests to random gateways at the given rate until ctx ends. parts returns the parts of a
// request, and count whether it is counted.
func (w *partWorld) load(ctx context.Context, seed uint64, perSecond int, parts func(r *rand.Rand) string, count func() bool) *tally {
	t := &tally{}
	var senders sync.WaitGroup
	r := rand.New(rand.NewPCG(seed, 0))
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Second / time.Duration(perSecond))
		gateways := w.alive()
		to, list, counted := gateways[r.IntN(len(gateways))], parts(r), count()
		senders.Go(func() {
			a := to.send("POST", "/stream/", fmt.Sprint(seed, n), "Id", fmt.Sprintf("%d-%d", seed, n), "Parts", list)
			if counted {
				t.count(a)
			}
		})
	}
	senders.Wait()
	return t
}

func (t *tally) count(a response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case a.Code == http.StatusOK && !a.aborted:
		t.answered++
	case strings.Contains(a.Body.String(), "quarantined") || strings.Contains(a.Body.String(), "on_trial"):
		t.withheld++
	}
}

// countAll counts each request.
func countAll() bool { return true }

// soundParts returns the parts of a request that ends no endpoint.
func soundParts(r *rand.Rand) string {
	return fmt.Sprintf("shared,kind%d,own%d", r.IntN(5), r.Uint32())
}

// deadlyAt returns a function that returns the parts of a request with the deadly part at a position.
func deadlyAt(position int, others ...string) func(r *rand.Rand) string {
	return func(r *rand.Rand) string {
		parts := append([]string{"shared", fmt.Sprintf("kind%d", r.IntN(5))}, others...)
		parts = slices.Insert(parts, position, deadlyPart)
		return strings.Join(append(parts, fmt.Sprintf("own%d", r.Uint32())), ",")
	}
}

// TestAPartThatEndsEndpointsIsSentToNoneAfterItsCrashes guards against callers of one part that keep all endpoints down.
func TestAPartThatEndsEndpointsIsSentToNoneAfterItsCrashes(t *testing.T) {
	for _, tc := range []struct {
		name                string
		framing             string
		gateways, endpoints int
		perSecond           int
		parts               func(r *rand.Rand) string
	}{
		{"first", chunkedAnswers, 4, 20, 25, deadlyAt(0)},
		{"second", chunkedAnswers, 4, 20, 25, deadlyAt(1)},
		{"third", chunkedAnswers, 4, 20, 25, deadlyAt(2)},
		{"with a companion that only comes with it", chunkedAnswers, 4, 20, 25, deadlyAt(1, "companion")},
		{"in answers without a mark", unmarkedAnswers, 4, 20, 25, deadlyAt(1)},
		{"seldom", chunkedAnswers, 4, 20, 2, deadlyAt(1)},
		{"at few endpoints", chunkedAnswers, 2, 3, 25, deadlyAt(1)},
		{"at few endpoints in answers without a mark", unmarkedAnswers, 2, 3, 10, deadlyAt(1)},
		{"at many gateways", chunkedAnswers, 12, 20, 25, deadlyAt(1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runPartWorld(t, tc.gateways, tc.endpoints, tc.framing, func(w *partWorld) {
				const before, after = 2 * time.Second, 14 * time.Second
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), before+after)
				defer cancel()
				isLate := func() bool {
					w.mu.Lock()
					defer w.mu.Unlock()
					return len(w.crashedAt) > 0 && time.Since(w.crashedAt[min(len(w.crashedAt), partCrashes)-1]) > 2*partContact
				}
				var calm, late *tally
				var loads sync.WaitGroup
				sound := 8 * tc.endpoints
				loads.Go(func() {
					calm = w.load(ctx, 1, sound/2, soundParts, func() bool { return time.Since(began) < before })
				})
				loads.Go(func() { late = w.load(ctx, 2, sound/2, soundParts, isLate) })
				loads.Go(func() {
					time.Sleep(before)
					w.load(ctx, 3, tc.perSecond, tc.parts, countAll)
				})
				loads.Wait()
				t.Logf("%d crashes, %d late arrivals, sound ones %d of %d before, %d of %d late (%d withheld)",
					len(w.crashedAt), w.arrivedLate(), calm.answered, calm.sent, late.answered, late.sent, late.withheld)
				w.g.Expect(w.arrivedLate()).To(BeNumerically("<=", partSends))
				w.g.Expect(late.sent).To(BeNumerically(">=", 20))
				w.g.Expect(float64(late.answered) / float64(late.sent)).To(BeNumerically(">=", 0.5*float64(calm.answered)/float64(calm.sent)))
			})
		})
	}
}
