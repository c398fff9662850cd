package admission_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/member"
)

func TestReturnsOfAllGatewaysAreShared(t *testing.T) {
	for _, c := range []struct {
		own, others           int
		share                 float64
		expected, precedences float64
	}{
		{0, 0, 0.1, 0, 0},
		{3, 0, 0.1, 3, 3}, // nobody else tells, or can be heard
		{0, 20, 0.1, 2, 2},
		{1, 19, 0.1, 2, 2},
		{4, 16, 0.1, 3, 4}, // others will know of these later
		{5, 45, 0.5, 25, 25},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(admission.ExpectedReturns(c.own, c.others, c.share)).To(BeNumerically("~", c.expected, 1e-9))
			g.Expect(admission.Precedences(c.own, c.others, c.share)).To(BeNumerically("~", c.precedences, 1e-9))
		})
	}
}

// Guards against callers who return when they were told, and have to stand behind new ones since they
// reach another gateway.
func TestACallerWhoReturnsOnTimeGoesFirstAtAnyGateway(t *testing.T) {
	for name, c := range map[string]struct {
		age, wait time.Duration
		want      bool
	}{
		"on time":                    {0, 0, true},
		"a little late":              {0, 500 * time.Millisecond, true},
		"too late":                   {0, 2 * time.Second, false},
		"nothing is heard of others": {3 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var told, heard admission.News
				var decisions []admission.Decision
				first, second := gateInShortage(t, &told, nil), gateInShortage(t, &heard, func(d admission.Decision) { decisions = append(decisions, d) })
				refused := refuseOne(t, first)
				shortage := first.Shortages(time.Now())[0]
				time.Sleep(refused.ReturnAfter + c.wait)
				heard.Age = c.age
				heard.Told = toldSince(shortage, refused.ReturnAfter+c.wait)
				for i := range heard.Told { // 80 callers were told to, so one of them returns here
					heard.Told[i] *= 80
				}
				second.Refresh(time.Now())
				decisions = nil
				r := shortRequest("1")
				r.Target, r.Elapsed = 10*time.Second, refused.ReturnAfter+c.wait
				for range 2 {
					grant, _ := second.TryAcquire(r, time.Now())
					grant.Release("", time.Now())
				}
				returned := 0
				for _, d := range decisions {
					if d.Returned {
						returned++
					}
				}
				g.Expect(returned == 1).To(Equal(c.want), "each is expected once: %+v", decisions)
				g.Expect(returned).To(BeNumerically("<=", 1))
			})
		})
	}
}

// refuseOne takes all places of a gate and returns the first refusal.
func refuseOne(t *testing.T, gate *admission.Gate) *admission.RefusedError {
	t.Helper()
	for range 100 {
		if _, err := gate.TryAcquire(shortRequest("1"), time.Now()); err != nil {
			return admission.AsRefused(err)
		}
	}
	t.Fatal("never refused")
	return nil
}

// toldSince returns what a gateway told, as it is seen after d.
func toldSince(x member.Shortage, d time.Duration) []int {
	now := time.Now()
	steps := int(now.UnixNano()/int64(member.ToldStep) - now.Add(-d).UnixNano()/int64(member.ToldStep))
	return x.Told[min(steps, len(x.Told)):]
}

func TestCallersReturnWhenEndpointsCome(t *testing.T) {
	for name, c := range map[string]struct {
		coming   []admission.Arrival
		expected float64
		draw     float64
		from, to time.Duration
	}{
		"an endpoint comes":                   {coming: comes(1100, 4), from: 1250, to: 1500},
		"as many were told as may return":     {coming: comes(1100, 4), expected: 2, from: 1500, to: 2000},
		"one less was told":                   {coming: comes(1100, 4), expected: 1.5, from: 1250, to: 1500},
		"it is one of many gateways":          {coming: comes(1100, 0.4), draw: 0.19, from: 1250, to: 1500},
		"and this caller isn't told":          {coming: comes(1100, 0.4), draw: 0.21, from: 1500, to: 2000},
		"the first of two":                    {coming: append(comes(1600, 4), comes(700, 4)...), from: 750, to: 1000},
		"it comes too late":                   {coming: comes(2500, 4), from: 1500, to: 2000},
		"it should have come, but did not so": {coming: comes(-200, 4), from: 1500, to: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := admission.ReturnAfter(&admission.ReturnForecast{Target: 400 * time.Millisecond, Elapsed: 300 * time.Millisecond, Left: 10 * time.Second,
				RefusedShare: 0.5, Coming: c.coming, Expected: func(time.Duration) float64 { return c.expected }, Random: func() float64 { return c.draw }})
			g.Expect(d).To(BeNumerically(">=", c.from*time.Millisecond))
			g.Expect(d).To(BeNumerically("<=", c.to*time.Millisecond))
		})
	}
}

// comes returns the arrival of some places after a number of milliseconds.
func comes(ms int, places float64) []admission.Arrival {
	return []admission.Arrival{{In: time.Duration(ms) * time.Millisecond, Places: places}}
}

// Guards against callers who are sent away to the end of their time although an endpoint has just told
// that it serves requests sooner.
func TestARefusalKnowsOfEndpointsThatCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		coming := []admission.Arrival{{In: 900 * time.Millisecond, Places: 12}}
		gate := admission.New(admission.Config{
			Supply: func(string, time.Time) admission.Supply {
				return admission.Supply{Room: 4, Running: 4, Own: 4, Coming: coming}
			},
			News:   func(string, time.Time) admission.News { return admission.News{} },
			Random: func() float64 { return 0.5 },
		})
		var told []time.Duration
		for range 30 {
			r := shortRequest("1")
			r.Elapsed, r.SlotTime, r.Left = 300*time.Millisecond, 10*time.Second, 20*time.Second
			if _, err := gate.TryAcquire(r, time.Now()); err != nil {
				told = append(told, admission.AsRefused(err).ReturnAfter)
			}
		}
		atArrival := 0
		for _, d := range told {
			if d >= 900*time.Millisecond && d < 1400*time.Millisecond {
				atArrival++
			}
		}
		g.Expect(len(told)).To(BeNumerically(">", 15))
		g.Expect(atArrival).To(BeNumerically(">=", 3))
		g.Expect(atArrival).To(BeNumerically("<=", 6+1), "half of the places")
	})
}

// Guards against callers of long answers who are told to return when these can't end any more.
func TestALongAnswerReturnsWhileItCanEnd(t *testing.T) {
	const target, left = 400 * time.Millisecond, 6 * time.Second
	for name, c := range map[string]struct {
		slotTime, elapsed, left time.Duration
		from, to                time.Duration
	}{
		"a short one at the latest":               {2 * time.Second, 0, left, 1500 * time.Millisecond, 2 * time.Second},
		"of unknown length":                       {0, 0, left, 1500 * time.Millisecond, 2 * time.Second},
		"at the latest that lets it end":          {4400 * time.Millisecond, 0, left, 1200 * time.Millisecond, 1600 * time.Millisecond},
		"early, as it can hardly wait":            {5500 * time.Millisecond, 0, left, 375 * time.Millisecond, 500 * time.Millisecond},
		"like others, if it only may end":         {7 * time.Second, 0, left, 1500 * time.Millisecond, 2 * time.Second},
		"too late for its target, but not to end": {5 * time.Second, 450 * time.Millisecond, 5550 * time.Millisecond, 412 * time.Millisecond, 550 * time.Millisecond},
		"at once, as it can just end":             {5700 * time.Millisecond, 150 * time.Millisecond, 5850 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.25, 0.999} {
				g := NewWithT(t)
				d := admission.ReturnAfter(&admission.ReturnForecast{Target: target, Elapsed: c.elapsed, Left: c.left, SlotTime: c.slotTime, RefusedShare: 0.5,
					Expected: func(time.Duration) float64 { return 0 }, Random: func() float64 { return draw }})
				g.Expect(d).To(And(BeNumerically(">=", c.from), BeNumerically("<=", c.to)))
			}
		})
	}
}

func TestWhetherACallerCanReturn(t *testing.T) {
	const target = 400 * time.Millisecond
	for name, c := range map[string]struct {
		slotTime, elapsed, left time.Duration
		want                    bool
	}{
		"a short answer":                                   {2 * time.Second, 2 * time.Second, 4 * time.Second, true},
		"of unknown length":                                {0, 5 * time.Second, time.Second, true},
		"a long one for which there is just time":          {3900 * time.Millisecond, 2 * time.Second, 4 * time.Second, true},
		"a long one that is late and would be cut":         {3901 * time.Millisecond, 2 * time.Second, 4 * time.Second, false},
		"one that may end if its guess is wrong":           {11 * time.Second, 100 * time.Millisecond, 5900 * time.Millisecond, true},
		"one that would be cut even if its guess is wrong": {12 * time.Second, 100 * time.Millisecond, 5900 * time.Millisecond, false},
		"a short one with hardly any time":                 {20 * time.Millisecond, time.Second, 110 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(admission.CanReturn(&admission.ReturnForecast{Target: target, Elapsed: c.elapsed, Left: c.left, SlotTime: c.slotTime})).To(Equal(c.want))
		})
	}
}

// Guards against places that are kept for callers who can't come in time.
func TestACallerWhoCannotReturnInTimeIsNotExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var decisions []admission.Decision
		gate := gateInShortage(t, &admission.News{}, func(d admission.Decision) { decisions = append(decisions, d) })
		g.Expect(refuseOne(t, gate).TooLate).To(BeFalse())
		told := gate.Status()[0].Told
		g.Expect(told).To(BeNumerically(">", 0))
		decisions = nil
		r := shortRequest("1")
		r.SlotTime, r.Elapsed, r.Left = 20*time.Second, 2*time.Second, 4*time.Second
		_, err := gate.TryAcquire(r, time.Now())
		g.Expect(admission.AsRefused(err).TooLate).To(BeTrue())
		g.Expect(gate.Status()[0].Told).To(Equal(told))
		g.Expect(decisions).To(ConsistOf(HaveField("TooLate", true)))
	})
}
