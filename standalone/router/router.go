// Package router chooses the endpoint for a request.
//
// A Router owns this entry's requests in progress and what they showed of endpoints,
// under one lock. It relies on the plan and on package fleet's table.
package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/verdict"
)

// Query is what a request asks of an endpoint.
type Query struct {
	Service *object.ServiceSpec
	// Account has the labels of the client account that calls.
	Account map[string]string
	// Prefix names the beginning of the prompt; requests with the same are
	// brought together, for the engines' prefix caches. 0 means none.
	Prefix uint64
	// Zone is the availability zone of the entry.
	Zone string
	// Exclude has the endpoints that were tried already.
	Exclude map[string]bool
}

// Choice is where a request goes, and why.
type Choice struct {
	Endpoint fleet.Endpoint
	// Loaded is the version that must answer; its zero value is a plain service.
	Loaded peer.Loaded
	// Candidates is how many endpoints could have served.
	Candidates int
	// Reason tells in words why this one was chosen.
	Reason string
}

// Scores of candidates. A score of 1 is an endpoint with all slots taken.
const (
	// zonePenalty is what another availability zone costs.
	zonePenalty = 0.1
	// staleAfter is when a load report no longer counts; own requests in
	// flight count always.
	staleAfter = 3 * time.Second
	// staleLoad stands for a load that is not known.
	staleLoad = 0.5
	// prefixLimit is the score up to which the prefix decides.
	prefixLimit = 0.8
)

// Router chooses endpoints. It is safe for concurrent use.
type Router struct {
	table *fleet.Table

	mu       sync.Mutex
	inflight map[string]int
	ejected  map[string]ejection
	rand     *rand.Rand
}

// New returns a Router over the endpoints of t. r breaks ties.
func New(t *fleet.Table, r *rand.Rand) *Router {
	return &Router{table: t, inflight: map[string]int{}, ejected: map[string]ejection{}, rand: r}
}

// candidate is an endpoint that could serve.
type candidate struct {
	endpoint fleet.Endpoint
	loaded   peer.Loaded
	score    float64
}

// Pick returns where the request goes and counts it as in flight there; the
// caller calls Done when it is over. The error says that it was not run.
func (r *Router) Pick(p *plan.Plan, q Query, now time.Time) (Choice, error) {
	all := r.candidates(p, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.sound(all, now)
	if len(list) == 0 {
		return Choice{}, noEndpoint(len(all))
	}
	for i := range list {
		list[i].score = r.score(list[i].endpoint, q.Zone, now)
	}
	best, reason := r.choose(list, q.Prefix)
	r.inflight[best.endpoint.VM]++
	return Choice{Endpoint: best.endpoint, Loaded: best.loaded, Candidates: len(list), Reason: reason}, nil
}

// noEndpointRetry is when a caller without an endpoint may come back.
const noEndpointRetry = 2 * time.Second

func noEndpoint(all int) error {
	detail := "no endpoint serves this service for this client account"
	if all > 0 {
		detail = "every endpoint that serves this service has been tried"
	}
	return verdict.NewError(verdict.Unsent{}, verdict.CodeNoEndpoint, "%s", detail).WithRetryAfter(noEndpointRetry)
}

// candidates returns the endpoints that serve q, in order of name.
func (r *Router) candidates(p *plan.Plan, q Query) []candidate {
	var out []candidate
	selector := object.Compile(q.Service.VMs)
	r.table.Each(func(e *fleet.Endpoint) {
		if _, listed := p.VMs[e.VM]; !listed || q.Exclude[e.VM] || !usable(p, e) {
			return
		}
		if !selector.Matches(p.Labels[e.VM]) {
			return
		}
		if loaded, ok := serving(p, e, q); ok {
			out = append(out, candidate{endpoint: *e, loaded: loaded})
		}
	})
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.endpoint.VM, b.endpoint.VM) })
	return out
}

func usable(p *plan.Plan, e *fleet.Endpoint) bool {
	if e.Suspect || e.State != peer.StateServing {
		return false
	}
	_, drained := p.Drained[e.VM]
	return !drained
}

// serving returns the version by which e serves q.
func serving(p *plan.Plan, e *fleet.Endpoint, q Query) (peer.Loaded, bool) {
	if q.Service.Model == "" {
		return peer.Loaded{}, p.VMs[e.VM].Role == plainRole
	}
	for _, l := range e.Loaded {
		if l.Model != q.Service.Model || l.Adapter != q.Service.Adapter {
			continue
		}
		if reaches(p, l, q.Account) {
			return l, true
		}
	}
	return peer.Loaded{}, false
}

// reaches returns whether a client account may be served by l: by the rollout
// that loaded it, also while that brings another version; or, if that is gone,
// by another that brings the same weights.
func reaches(p *plan.Plan, l peer.Loaded, account map[string]string) bool {
	if r := p.Rollouts[l.Rollout]; r != nil {
		return r.Reaches(account)
	}
	for _, r := range p.Rollouts {
		if r.Root == l.Root && r.Model == l.Model && r.Spec.Adapter == l.Adapter && r.Reaches(account) {
			return true
		}
	}
	return false
}

// score is the expected wait at e, as a share of a full house.
func (r *Router) score(e fleet.Endpoint, zone string, now time.Time) float64 {
	slots := max(e.Load.Slots, 1)
	busy := float64(r.inflight[e.VM]) / float64(slots)
	reported := staleLoad
	if !e.LoadAt.IsZero() && now.Sub(e.LoadAt) < staleAfter {
		reported = float64(e.Load.Running+e.Load.Queued) / float64(slots)
	}
	s := max(busy, reported)
	if e.Zone != zone {
		s += zonePenalty
	}
	return s
}

// choose returns the endpoint for the prefix while that has room, and else the
// better of two drawn at random: reports lag, and if everybody went to the
// least loaded, all would go to the same.
func (r *Router) choose(list []candidate, prefix uint64) (candidate, string) {
	if prefix != 0 {
		home := list[0]
		best := uint64(math.MaxUint64)
		for _, c := range list {
			if h := xxhash.Sum64String(c.endpoint.VM) ^ prefix; mix(h) < best {
				best, home = mix(h), c
			}
		}
		if home.score < prefixLimit {
			return home, "its prefix cache"
		}
	}
	a := list[r.rand.IntN(len(list))]
	b := list[r.rand.IntN(len(list))]
	if b.score < a.score {
		a = b
	}
	return a, "the less loaded of two"
}

// mix spreads the bits of h (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Done ends a request at vm that Pick counted, with its outcome.
func (r *Router) Done(vm string, outcome error, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inflight[vm]--; r.inflight[vm] <= 0 {
		delete(r.inflight, vm)
	}
	r.judge(vm, outcome, now)
}

// Inflight returns how many requests of this entry are at vm.
func (r *Router) Inflight(vm string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inflight[vm]
}
