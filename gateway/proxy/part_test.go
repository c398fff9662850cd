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

	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/roster"
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
	// events is the number of events of an answer.
	events int

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
		w := &partWorld{fleet: fl, framing: framing, events: 4}
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
	for id := from; id <= w.events; id++ {
		time.Sleep(100 * time.Millisecond)
		if deadly {
			if w.crashOnce(addr) {
				w.note(&w.crashedAt)
			}
			return false
		}
		if !write(c, stream(id)) {
			return false
		}
	}
	return finish(c, r)
}

// crashOnce ends an endpoint and returns true, unless another request has ended it.
func (w *partWorld) crashOnce(addr string) bool {
	if w.alive()[0].isDown(addr) {
		return false
	}
	w.crash(addr)
	return true
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

// crashSome ends n endpoints at the same moment, the next ones each time.
func (w *partWorld) crashSome(from, n int) {
	for i := range n {
		w.crash(fmt.Sprintf("e%d", (from+i)%len(w.endpoints)))
	}
}

// TestEndpointsThatEndByThemselvesHoldBackNoSharedPart guards against requests that are refused because of what they share.
func TestEndpointsThatEndByThemselvesHoldBackNoSharedPart(t *testing.T) {
	for _, tc := range []struct {
		name string
		// crashes is called once the load has begun.
		crashes func(w *partWorld)
	}{
		{"one after the other", func(w *partWorld) {
			for i := range 20 {
				w.crashSome(7*i, 1)
				time.Sleep(400 * time.Millisecond)
			}
		}},
		{"a third of them, three times", func(w *partWorld) {
			for i := range 3 {
				w.crashSome(7*i, 7)
				time.Sleep(4 * time.Second)
			}
		}},
		{"all of them", func(w *partWorld) { w.crashSome(0, 20) }},
	} {
		for _, framing := range []string{chunkedAnswers, unmarkedAnswers} {
			t.Run(tc.name+", "+framing, func(t *testing.T) {
				runPartWorld(t, 4, 20, framing, func(w *partWorld) {
					ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
					defer cancel()
					var sound *tally
					var loads sync.WaitGroup
					loads.Go(func() { sound = w.load(ctx, 1, 150, soundParts, countAll) })
					time.Sleep(2 * time.Second)
					tc.crashes(w)
					loads.Wait()
					t.Logf("%d of %d answered, %d withheld", sound.answered, sound.sent, sound.withheld)
					w.g.Expect(sound.withheld).To(BeZero())
				})
			})
		}
	}
}

// TestASharedPartOfLongStreamsIsNotTakenForTheCause guards against rounds of crashes between which no stream ends.
func TestASharedPartOfLongStreamsIsNotTakenForTheCause(t *testing.T) {
	for seed := range uint64(5) {
		runPartWorld(t, 4, 20, chunkedAnswers, func(w *partWorld) {
			w.events = 20
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			var sound *tally
			var loads sync.WaitGroup
			loads.Go(func() { sound = w.load(ctx, 10*seed+1, 60, soundParts, countAll) })
			time.Sleep(1500 * time.Millisecond) // the first streams have not ended yet
			loads.Go(func() { w.load(ctx, 10*seed+2, 25, deadlyAt(1), countAll) })
			loads.Wait()
			t.Logf("%d crashes, %d of %d answered, %d withheld", len(w.crashedAt), sound.answered, sound.sent, sound.withheld)
			w.g.Expect(sound.withheld).To(BeZero())
		})
	}
}

// quarantinePart makes the gateway know a part as the cause of crashes.
func (w *harness) quarantinePart(name string) {
	r := poison.Record{Key: partID(name).Key("s"), Confirmed: true, Crashes: []poison.Incarnation{1, 2, 3}}
	w.poison.Merge([]poison.Record{r}, time.Now())
}

// TestARequestWithAQuarantinedPartIsRefusedAtOnceAsNotRun guards against callers that are told that it may have run.
func TestARequestWithAQuarantinedPartIsRefusedAtOnceAsNotRun(t *testing.T) {
	for _, path := range []string{"/stream/", "/once/", "/safe/", "/unsafe/"} {
		runHarness(t, func(w *harness) {
			w.quarantinePart(deadlyPart)
			got := w.send("POST", path, "", "Parts", "shared,"+deadlyPart+",own")
			w.g.Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
			w.g.Expect(got.Header().Get("Silverdeck-Verdict")).To(Equal("not-run"))
			w.g.Expect(got.Header()).NotTo(HaveKey("Retry-After"), "there is no time at which it would be served")
			w.g.Expect(got.elapsed).To(BeZero())
			w.g.Expect(w.endpoints["e0"].count()).To(BeZero())
			w.g.Expect(w.metrics.Withheld.Count()).To(Equal(int64(1)))
			for _, parts := range []string{"shared,own", "shared," + deadlyPart, ""} { // the last part is the request's own
				w.g.Expect(w.send("POST", path, "", "Parts", parts).Code).To(Equal(http.StatusOK))
			}
		}, always(threeEvents))
	}
}

// TestRequestsUnderWayAreWithdrawnWhenTheirPartIsQuarantined guards against copies that end endpoints after the verdict.
func TestRequestsUnderWayAreWithdrawnWhenTheirPartIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second []handler
		aborted       bool
	}{
		{"queued at an endpoint", always(hang), always(hang), false},
		{"a resumed stream that is queued at an endpoint", always(events(20*time.Millisecond, cut, 1, 2)), always(hang), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				time.AfterFunc(300*time.Millisecond, func() { w.quarantinePart(deadlyPart) })
				got := w.send("POST", "/stream/", "", "Parts", deadlyPart+",own")
				w.g.Expect(got.aborted).To(Equal(tc.aborted))
				if !tc.aborted {
					w.g.Expect(got.Code).To(Equal(http.StatusBadGateway), "it may have run")
				}
				w.g.Expect(got.elapsed).To(BeNumerically("<", 450*time.Millisecond))
				w.g.Expect(w.logs.withMessage("request withdrawn")).NotTo(BeEmpty())
			}, tc.first, tc.second)
		})
	}
}

// TestARequestBesideATrialOfItsPartIsNotToldThatAnEndpointEndedUnderIt guards against an untrue reason.
func TestARequestBesideATrialOfItsPartIsNotToldThatAnEndpointEndedUnderIt(t *testing.T) {
	runHarness(t, func(w *harness) {
		shared := partID("shared").Key("s")
		for i := range int64(2) {
			other := &poison.Suspects{Request: &poison.Request{URI: "/other"}, Parts: []poison.Key{shared}}
			w.poison.RecordCrash(other, roster.Incarnation{ID: "other", Born: i + 1}, time.Now())
			time.Sleep(time.Second)
		}
		w.trials.Begin(shared.TrialKey(), "another request", 10*time.Second, time.Now())
		got := w.send("POST", "/stream/", "", "Parts", "shared,own")
		w.g.Expect(got.Code).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(got.Header().Get("Silverdeck-Verdict")).To(Equal("not-run"))
		w.g.Expect(got.Header()).To(HaveKey("Retry-After"))
		w.g.Expect(got.Body.String()).To(HavePrefix("on_trial: endpoints ended under requests with a part of the prompt"))
	}, always(threeEvents))
}

// TestAStreamThatWaitsForATrialGoesOnOnceItsPartIsSurvived guards against a wait for a lease that is not needed any more.
func TestAStreamThatWaitsForATrialGoesOnOnceItsPartIsSurvived(t *testing.T) {
	runHarness(t, func(w *harness) {
		shared := partID("shared").Key("s")
		crash := func() {
			other := &poison.Suspects{Request: &poison.Request{URI: "/other"}, Parts: []poison.Key{shared}}
			w.poison.RecordCrash(other, roster.Incarnation{ID: "other", Born: time.Now().UnixNano()}, time.Now())
		}
		crash()
		time.Sleep(time.Second)
		w.trials.Begin(shared.TrialKey(), "another request", 10*time.Second, time.Now())
		w.endpoints["e0"].script = always(events(20*time.Millisecond, func(c net.Conn, r *http.Request) bool {
			crash()
			time.AfterFunc(300*time.Millisecond, func() { w.poison.RecordSurvival([]poison.Key{shared}, time.Now()) })
			return cut(c, r)
		}, 1))
		got := w.send("POST", "/stream/", "", "Parts", "shared,own")
		w.g.Expect(got.aborted).To(BeFalse())
		w.g.Expect(got.Body.String()).To(Equal(stream(1, 2, 3)))
		w.g.Expect(got.elapsed).To(BeNumerically("<", 600*time.Millisecond))
	}, always(hang), always(threeEvents))
}

// TestAGatewayThatStartsSendsNoRequestWithAQuarantinedPart guards against a gateway that has to learn by crashes of its own.
func TestAGatewayThatStartsSendsNoRequestWithAQuarantinedPart(t *testing.T) {
	runPartWorld(t, 4, 20, chunkedAnswers, func(w *partWorld) {
		all, end := context.WithCancel(context.Background())
		defer end()
		ctx, cancel := context.WithTimeout(all, 6*time.Second)
		defer cancel()
		w.load(ctx, 1, 25, deadlyAt(1), countAll)
		w.mu.Lock()
		before := len(w.arrivedAt)
		w.mu.Unlock()
		w.add(all)
		time.Sleep(1500 * time.Millisecond) // everything quarantined is told once a second
		gateways := w.alive()
		for i := range 10 {
			gateways[len(gateways)-1].send("POST", "/stream/", fmt.Sprint(i), "Parts", "shared,"+deadlyPart+",own")
		}
		w.g.Expect(w.arrivedAt).To(HaveLen(before))
	})
}
