package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// fatalBody is the body of the request that ends each endpoint which begins to run it.
const fatalBody = "ends the engine"

// Timing and limits around that request.
const (
	// fatalCallers is how many callers send copies of it at the same time.
	fatalCallers = 4
	// fatalPause is the time between two copies of one caller.
	fatalPause = 150 * time.Millisecond
	// fatalAfter is when the first copy is sent, with everything up and at work.
	fatalAfter = 2 * time.Second
	// leastDown and spreadDown bound how long an endpoint that ended is away.
	leastDown = 500 * time.Millisecond
	// spreadDown is drawn from, on top of leastDown.
	spreadDown = 2500 * time.Millisecond
	// endsBefore is after how many ends it must reach no further endpoint, from the
	// platform's rule.
	endsBefore = 3
	// lateAllowed is how often it may, from the platform's rule.
	lateAllowed = 3
	// newsLimit is how long all gateways may take to hear of an end: two heartbeats and a
	// relay's.
	newsLimit = 600 * time.Millisecond
)

// arrival is a copy of the request that reached an endpoint.
type arrival struct {
	at      time.Time
	gateway string
	// ended is set when the endpoint ended under it.
	ended bool
}

// fatal remembers what became of the request. It is safe for concurrent use.
type fatal struct {
	mu       sync.Mutex
	arrivals []arrival
	answers  map[int]int
}

// begins notes that a runner begins to run a request, and returns whether it ends under it.
func (f *fatal) begins(s *slot, id, body string) bool {
	if body != fatalBody {
		return false
	}
	now := time.Now()
	ended := s.crash(leastDown+spreadDown/2, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	gateway, _, _ := strings.Cut(id, "/")
	f.arrivals = append(f.arrivals, arrival{at: now, gateway: gateway, ended: ended})
	return true
}

// noteAnswer counts a status that a caller of the request got.
func (f *fatal) noteAnswer(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answers == nil {
		f.answers = map[int]int{}
	}
	f.answers[status]++
}

// sendFatal sends copies of the request until ctx ends.
func (w *world) sendFatal(ctx context.Context) {
	if !wait.For(ctx, fatalAfter) {
		return
	}
	var callers sync.WaitGroup
	for i := range fatalCallers {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(w.cfg.Seed, uint64(1000+i)))
			for n := 0; wait.For(ctx, fatalPause); n++ {
				w.sendCopy(ctx, r.IntN(len(w.entries)), fmt.Sprintf("%d-%d", i, n))
			}
		})
	}
	callers.Wait()
}

// sendCopy sends the request to entry i. Its ID tells which one that is.
func (w *world) sendCopy(ctx context.Context, i int, id string) {
	ctx, cancel := context.WithTimeout(ctx, streamLimit)
	defer cancel()
	q := question{id: w.entries[i].name + "/" + id, body: fatalBody, stream: true, limit: streamLimit}
	resp, err := http.DefaultClient.Do(q.request(ctx, w.entryAddrs[i].callers))
	if err != nil {
		return // the gateway has ended, or its answer broke off with the endpoint's
	}
	defer func() { _ = resp.Body.Close() }()
	w.fatal.noteAnswer(resp.StatusCode)
	_, _ = io.Copy(io.Discard, resp.Body) // it breaks off
}

// judge notes what must not have become of the request: copies that reached endpoints long
// after it had ended several.
func (f *fatal) judge(w *world, report *Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var third time.Time
	known, late, afterNews := 0, 0, 0
	for _, a := range f.arrivals {
		if a.ended {
			report.Ended++
		}
		today := w.runsToday(a.gateway, a.at)
		if a.ended && today && known < endsBefore {
			known++
			third = a.at
		}
		if known < endsBefore || !today || a.at.Before(third.Add(newsLimit)) || !w.inTouch(a.gateway, a.at) {
			continue
		}
		afterNews++
		if a.at.After(third.Add(platformBounds.Contact)) {
			late++
		}
	}
	report.LateSends = afterNews
	if late > lateAllowed {
		w.witness.AddViolation("a request under which %d endpoints had ended reached endpoints %d times more, %s after the third end; %d ended in all",
			endsBefore, late, platformBounds.Contact, report.Ended)
	}
	if afterNews > 0 {
		w.witness.AddViolation("a request under which %d endpoints had ended reached endpoints %d times more, %s after the third end",
			endsBefore, afterNews, newsLimit)
	}
}

// runsToday returns whether a gateway had run today's program for a while.
func (w *world) runsToday(gateway string, at time.Time) bool {
	for _, p := range w.entries {
		if p.name == gateway {
			return p.isToday(at)
		}
	}
	return false
}

// inTouch returns whether a gateway ran undisturbed for a while before a time.
func (w *world) inTouch(gateway string, at time.Time) bool {
	return w.inTouchUntil(gateway, at, at)
}

// inTouchUntil returns whether a gateway ran undisturbed for a while before a time and until another.
func (w *world) inTouchUntil(gateway string, at, end time.Time) bool {
	for _, p := range w.entries {
		if p.name == gateway {
			return !p.history().disturbed(at.Add(-platformBounds.Contact), end)
		}
	}
	return false
}

// disturbed returns whether anything struck the process in a span, or whether it was told to
// stop.
func (h *History) disturbed(from, to time.Time) bool {
	for _, at := range h.Stops {
		if at.Add(platformBounds.Grace).After(from) && at.Before(to) {
			return true
		}
	}
	return h.faultWithin(from, to)
}
