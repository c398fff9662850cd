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
