package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Routes and client accounts in MixOverload.
const (
	// bulkHost is the host of streams of a lower rank than those of streamHost.
	bulkHost = "bulk.example"
	// urgentRank and bulkRank are the ranks of the two.
	urgentRank = 0
	// bulkRank is described at urgentRank.
	bulkRank = 2
	// smallAccount has one in smallShare of the callers.
	smallAccount = "globex"
	// smallKey is the API key of smallAccount.
	smallKey = "key-of-globex"
	// smallShare is described at smallAccount.
	smallShare = 8
	// repeaterShare is the share of callers that come back at once, whatever they are told: one
	// in that many.
	repeaterShare = 10
)

// overloadSlots is the number of slots of a runner in MixOverload.
const overloadSlots = 4

// overloadEngine is what the configuration states of the runners in MixOverload.
var overloadEngine = standin.Engine{Slots: overloadSlots, StepMS: 7, Stride: 7, MeanPrompt: 300, MeanAnswer: 70}

// Limits on what callers get in MixOverload.
const (
	// starvedShare is the least share of requests that a class is served, relative to all.
	starvedShare = 0.25
	// rankSlack is how much smaller the share of the urgent that is served may be than that of
	// the less urgent.
	rankSlack = 0.05
	// minClassRequests is the number of requests from which a class is judged.
	minClassRequests = 100
	// minRankRequests is the number of requests of each rank from which ranks are compared. With
	// fewer, chance alone often exceeds rankSlack.
	minRankRequests = 1000
)

// Class is a group of requests that are treated alike, by client account and host.
type Class struct {
	Account, Host string
}

// share counts requests and those that were served.
type share struct {
	asked, served int
}

// ratio returns the share that was served.
func (s share) ratio() float64 {
	return float64(s.served) / float64(max(s.asked, 1))
}

// count returns s with one more request.
func (s share) count(served bool) share {
	s.asked++
	if served {
		s.served++
	}
	return s
}

// Shares counts requests by class. It is safe for concurrent use.
type Shares struct {
	mu sync.Mutex
	by map[Class]share
}

// NewShares returns Shares without requests.
func NewShares() *Shares {
	return &Shares{by: map[Class]share{}}
}

// Note counts a request of a class.
func (s *Shares) Note(k Class, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.by[k] = s.by[k].count(served)
}

// sum adds up the classes for which keep returns true.
func (s *Shares) sum(keep func(Class) bool) share {
	var out share
	for k, n := range s.by {
		if keep(k) {
			out.asked, out.served = out.asked+n.asked, out.served+n.served
		}
	}
	return out
}

// Judge returns a line for each class of streams that starves, and one if the urgent were served
// less often than the less urgent.
func (s *Shares) Judge() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := func(k Class) bool { return k.Host != plainHost }
	all := s.sum(streams)
	var out []string
	classes := slices.SortedFunc(maps.Keys(s.by), func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Host, b.Host))
	})
	for _, k := range classes {
		n := s.by[k]
		if streams(k) && n.asked >= minClassRequests && n.ratio() < starvedShare*all.ratio() {
			out = append(out, fmt.Sprintf("%s of %s starved: %d of %d served, %d of %d of all streams", k.Host, k.Account, n.served, n.asked, all.served, all.asked))
		}
	}
	urgent := s.sum(func(k Class) bool { return k.Host == streamHost })
	bulk := s.sum(func(k Class) bool { return k.Host == bulkHost })
	if min(urgent.asked, bulk.asked) >= minRankRequests && urgent.ratio() < bulk.ratio()-rankSlack {
		out = append(out, fmt.Sprintf("of the urgent %d of %d were served, of the less urgent %d of %d", urgent.served, urgent.asked, bulk.served, bulk.asked))
	}
	return out
}

// prepareOverload sets the slots of runner i. The plain one has some for each slow reader
// and each sender of large requests, so that only gateways can be short of anything.
func prepareOverload(s *slot, i int) {
	s.cfg.Slots = overloadSlots
	if i == 0 {
		s.cfg.Slots, s.cfg.LongAnswer, s.cfg.LargePause = 2*(slowReaders+largeSenders), longAnswer, largePause
	}
}

// overloadRoutes returns the route of less urgent streams, in MixOverload.
func (w *world) overloadRoutes() []standin.Route {
	if w.cfg.Mix != MixOverload {
		return nil
	}
	return []standin.Route{{Name: "bulk", Host: bulkHost, Service: modelService, Stream: true, Timeout: streamLimit, LatencyTarget: 800 * time.Millisecond, Priority: bulkRank}}
}

// streamRank returns the rank of the streams of streamHost.
func (w *world) streamRank() int {
	if w.cfg.Mix == MixOverload {
		return urgentRank
	}
	return standin.DefaultRank
}

// engine returns what the configuration states of the runners.
func (w *world) engine() standin.Engine {
	if w.cfg.Mix == MixOverload {
		return overloadEngine
	}
	return standin.DefaultEngine
}

// otherAccounts returns the client accounts beside the usual one.
func (w *world) otherAccounts() []standin.Account {
	if w.cfg.Mix != MixOverload {
		return nil
	}
	return []standin.Account{{Name: smallAccount, Key: smallKey}}
}

// drawOverload returns what happens beside more requests than the runners can serve.
func (w *world) drawOverload(r *rand.Rand) fault {
	entry := w.entries[r.IntN(len(w.entries))]
	runner := w.runners[1+r.IntN(len(w.runners)-1)]
	storeLink := w.storeLinks[r.IntN(len(w.storeLinks))]
	still := leastStill + time.Duration(r.Int64N(int64(spreadStill)))
	all := []fault{
		{"entry killed", func() { entry.signal(syscall.SIGKILL) }, nil, false},
		{"entry stopped", entry.askToStop, nil, false},
		{"entry frozen", func() { entry.signal(syscall.SIGSTOP) }, func() { entry.signal(syscall.SIGCONT) }, false},
		{"entry stands still", func() { entry.standStill(still) }, nil, false},
		{"entry cut off from the store", func() { storeLink.Set(Link{SilentIn: true}) }, func() { storeLink.Set(Link{}) }, false},
		{"plain runner reads slowly", func() { w.runners[0].readSlowly(runnerReadPause) }, func() { w.runners[0].readSlowly(0) }, true},
		{"runner restarted", func() { runner.restart(w.firstVersion(runner)) }, nil, true},
		{"configuration", w.configure, nil, false},
		{"new weights", w.nameVersion, nil, true},
		w.storeOutage(false),
	}
	return all[r.IntN(len(all))]
}

// maxComeBack bounds how long a caller waits after a refusal.
const maxComeBack = 2 * time.Second

// comeBack waits as a refusal asks, unless the caller is one that repeats at once.
func (c *caller) comeBack(resp *http.Response) {
	after, err := strconv.ParseFloat(resp.Header.Get(names.RetryAfter), 64)
	if mix := c.world.cfg.Mix; mix != MixOverload && mix != MixSpoiled || c.repeats || err != nil {
		return
	}
	time.Sleep(min(time.Duration(after*float64(time.Second)), maxComeBack))
}
