package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sizes of requests, in tokens.
const (
	shortTokens = 5
	longTokens  = 200
)

// newHistogram returns a histogram of microseconds up to a minute.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 60_000_000, 3)
}

// p95 returns the 95th percentile in milliseconds.
func p95(h *hdrhistogram.Histogram) float64 {
	return float64(h.ValueAtQuantile(95)) / 1000
}

// flow sends requests of a service at a steady rate, without waiting for the
// answers, and gathers the replies.
func (f *fleet) flow(service string, tokens int, perSecond float64, d time.Duration) []reply {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []reply
	gap := time.Duration(float64(time.Second) / perSecond)
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			r := f.ask(service, tokens, i)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return out
}

// calibrate measures how many long requests a second the fleet can run. The
// engines' real token time is longer than they are told, so that can't be
// worked out.
func (f *fleet) calibrate() {
	nominal := float64(f.Runners*f.Slots) / (longTokens * tokenTime.Seconds())
	f.capacity, _ = f.goodput(2 * nominal)
}

// goodput returns how many long requests were answered a second when so many
// were sent, and the replies.
func (f *fleet) goodput(perSecond float64) (float64, []reply) {
	began := time.Now()
	list := f.flow("normal", longTokens, perSecond, f.For)
	_, ok := took(list)
	return float64(ok) / time.Since(began).Seconds(), list
}

func took(list []reply) (h *hdrhistogram.Histogram, ok int) {
	h = newHistogram()
	for _, r := range list {
		if r.ok {
			ok++
			_ = h.RecordValue(r.took.Microseconds())
		}
	}
	return h, ok
}

// measureUrgent compares urgent lookups alone with those among long summaries
// that saturate the fleet, against a baseline without classes.
func (f *fleet) measureUrgent(add adder) {
	alone, _ := took(f.flow("urgent", shortTokens, 20, f.For))
	var among, same []reply
	var wg sync.WaitGroup
	wg.Go(func() { f.flow("bulk", longTokens, 1.5*f.capacity, f.For) })
	time.Sleep(f.For / 4)
	among = f.flow("urgent", shortTokens, 20, f.For*3/4)
	wg.Wait()
	wg.Go(func() { f.flow("normal", longTokens, 1.5*f.capacity, f.For) })
	time.Sleep(f.For / 4)
	same = f.flow("normal", shortTokens, 20, f.For*3/4)
	wg.Wait()
	a, ok := took(among)
	b, okSame := took(same)
	ratio := p95(a) / p95(alone)
	add("urgent lookups among saturating summaries, p95 against alone",
		fmt.Sprintf("%.1f ms against %.1f ms: %.2f times; %d of %d answered", p95(a), p95(alone), ratio, ok, len(among)), "at most 1.2 times", ratio <= 1.2)
	add("baseline: the same without classes",
		fmt.Sprintf("%.1f ms: %.2f times; %d of %d answered", p95(b), p95(b)/p95(alone), okSame, len(same)), "", true)
}

// measureLatency measures first tokens and the time between tokens at 70% load.
func (f *fleet) measureLatency(add adder) {
	first, between := newHistogram(), newHistogram()
	failed := 0
	for _, r := range f.flow("normal", longTokens, 0.7*f.capacity, f.For) {
		if !r.ok {
			failed++
			continue
		}
		_ = first.RecordValue(r.first.Microseconds())
		for _, d := range r.between {
			_ = between.RecordValue(d.Microseconds())
		}
	}
	add("first token at 70% load, p95", fmt.Sprintf("%.1f ms; %d failed", p95(first), failed), "at most 400 ms", p95(first) <= 400)
	add("between tokens at 70% load, p95", fmt.Sprintf("%.1f ms (the engine's own time is %.1f)", p95(between), tokenTime.Seconds()*1000), "at most 62 ms", p95(between) <= 62)
}

// measureOverload compares goodput at twice the capacity with the best.
func (f *fleet) measureOverload(add adder) {
	best, _ := f.goodput(0.95 * f.capacity)
	rate, list := f.goodput(2 * f.capacity)
	refused := newHistogram()
	for _, r := range list {
		if !r.ok {
			_ = refused.RecordValue(r.took.Microseconds())
		}
	}
	add("goodput at twice the capacity, against the best",
		fmt.Sprintf("%.1f/s against %.1f/s: %.0f%%; %d refused", rate, best, 100*rate/best, refused.TotalCount()), "at least 95%", rate >= 0.95*best)
	add("refusals at twice the capacity, p95", fmt.Sprintf("%.1f ms", p95(refused)), "at most 5 ms", p95(refused) <= 5)
}

// measureRetries counts runs while a third of the endpoints refuse everything.
func (f *fleet) measureRetries(add adder) {
	stopped := f.Runners / 3
	for _, a := range f.agents[:stopped] {
		a.Refuse()
	}
	before := f.attempts()
	list := f.flow("normal", shortTokens, 40, f.For)
	_, ok := took(list)
	extra := 100 * (float64(f.attempts()-before)/float64(len(list)) - 1)
	add("a third of the endpoints begin to refuse: answered",
		fmt.Sprintf("%d of %d; %.1f%% more attempts than requests", ok, len(list), extra), "all, at most 10% more", extra <= 10 && ok == len(list))
}
