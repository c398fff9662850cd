// Package dispatch decides for each request where it goes, whether it may be
// tried again, and what the caller is told.
//
// It owns the retry budget, under a lock. It relies on a Placer for endpoints and on
// a Sender for attempts.
package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/silverdeck/silverdeck/standalone/forward"
	"github.com/silverdeck/silverdeck/standalone/hop"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/router"
	"github.com/silverdeck/silverdeck/verdict"
)

// maxAttempts is how often a request is tried at the most.
const maxAttempts = 4

// Request is a caller's request, resolved.
type Request struct {
	ID      string
	Service object.Object
	Account object.Object
	// AccountLabels are what selectors see of the account.
	AccountLabels map[string]string
	Method, Path  string
	Header        http.Header
	Body          []byte
	// Prefix and Cost are derived from the prompt; see router.Query and hop.Meta.
	Prefix uint64
	Cost   float64
	// Repeatable allows a second try although the first may have run.
	Repeatable bool
}

// Sender sends one attempt to an endpoint.
type Sender interface {
	// Do sends the attempt; see forward.Forwarder. An answer that comes with an
	// error has nothing but the endpoint's load.
	Do(ctx context.Context, a forward.Attempt) (*forward.Answer, error)
}

// Placer chooses endpoints.
type Placer interface {
	// Pick chooses an endpoint and counts the request as in flight there.
	Pick(p *plan.Plan, q router.Query, now time.Time) (router.Choice, error)
	// Done ends what Pick counted.
	Done(vm string, outcome error, now time.Time)
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	zone   string
	plan   func() *plan.Plan
	placer Placer
	sender Sender
	budget *Budget
	onLoad func(vm string, a *forward.Answer)
}

// New returns a Dispatcher for an entry in zone. onLoad is told of the loads
// that come with answers.
func New(zone string, currentPlan func() *plan.Plan, p Placer, s Sender, b *Budget, onLoad func(string, *forward.Answer)) *Dispatcher {
	return &Dispatcher{zone: zone, plan: currentPlan, placer: p, sender: s, budget: b, onLoad: onLoad}
}

// Result is an answer and where it came from.
type Result struct {
	*forward.Answer
	Choice   router.Choice
	Attempts int
	// Done ends the request; err is what became of reading the answer.
	Done func(err error)
}

// Do sends r, again where that is allowed, and waits for the head of the
// answer. ctx must have a deadline. An error is the final *verdict.Error.
func (d *Dispatcher) Do(ctx context.Context, r Request) (*Result, error) {
	d.budget.Deposit()
	tried := map[string]bool{}
	var worst verdict.Evidence // of an attempt that may have run
	var last *verdict.Error
	for n := 1; n <= maxAttempts; n++ {
		choice, err := d.pick(r, tried)
		if err != nil {
			return nil, final(last, verdict.From(err), worst)
		}
		tried[choice.Endpoint.VM] = true
		answer, err := d.attempt(ctx, r, choice, n)
		if err == nil {
			done := func(err error) { d.placer.Done(choice.Endpoint.VM, err, time.Now()) }
			return &Result{Answer: answer, Choice: choice, Attempts: n, Done: done}, nil
		}
		d.placer.Done(choice.Endpoint.VM, err, time.Now())
		last = verdict.From(err)
		if last.Verdict() != verdict.NotRun {
			worst = last.Evidence
		}
		if !mayRetry(ctx, r, last) || !d.budget.Withdraw() {
			break
		}
	}
	return nil, final(last, last, worst)
}

// final returns the failure to tell once no other endpoint is tried. none is why, worst the evidence of an
// attempt that may have run, or nil.
func final(last, none *verdict.Error, worst verdict.Evidence) *verdict.Error {
	if last == nil {
		return none
	}
	if worst != nil {
		last.Evidence = worst
	}
	if last.RetryAfter == 0 {
		last.RetryAfter = none.RetryAfter
	}
	return last
}

func (d *Dispatcher) pick(r Request, tried map[string]bool) (router.Choice, error) {
	return d.placer.Pick(d.plan(), router.Query{
		Service: r.Service.Spec.(*object.ServiceSpec),
		Account: r.AccountLabels,
		Prefix:  r.Prefix,
		Zone:    d.zone,
		Exclude: tried,
	}, time.Now())
}

func (d *Dispatcher) attempt(ctx context.Context, r Request, c router.Choice, n int) (*forward.Answer, error) {
	spec := r.Service.Spec.(*object.ServiceSpec)
	deadline, _ := ctx.Deadline()
	a := forward.Attempt{
		Addr: c.Endpoint.Addr, Method: r.Method, Path: r.Path, Header: r.Header, Body: r.Body,
		Meta: hop.Meta{
			Request: r.ID,
			Attempt: fmt.Sprintf("%s.%d", r.ID, n),
			Budget:  time.Until(deadline),
			Class:   spec.Class,
			Account: r.Account.Name,
			Share:   share(r.Account),
			Cost:    r.Cost,
		},
	}
	if spec.Model != "" {
		a.Meta.Model, a.Meta.Adapter, a.Meta.Root = spec.Model, spec.Adapter, c.Loaded.Root.String()
	}
	answer, err := d.sender.Do(ctx, a)
	if answer != nil && answer.Loaded {
		d.onLoad(c.Endpoint.VM, answer)
	}
	return answer, err
}

func share(account object.Object) int {
	if s, ok := account.Spec.(*object.AccountSpec); ok {
		return max(s.Share, 1)
	}
	return 1
}

// mayRetry returns whether r may be tried once more after e. What may have run
// is tried again only if a second run does no harm.
//
// Spec step: once.pml, "retry".
func mayRetry(ctx context.Context, r Request, e *verdict.Error) bool {
	if ctx.Err() != nil || e.Code == verdict.CodeCanceled || e.Code == verdict.CodeBadRequest {
		return false
	}
	return e.Verdict() == verdict.NotRun || (e.Verdict() == verdict.MayHaveRun && r.Repeatable)
}
