package proxy_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/balance"
)

// useGate makes the gateway admit requests within the capacity of its endpoints.
func (w *harness) useGate() {
	w.gate = admission.New(admission.Config{
		Supply: func(service string, now time.Time) admission.Supply {
			var out admission.Supply
			for _, c := range w.balancer.Capacities(&balance.Query{Service: service}, now) {
				out.Room += c.Places
				out.Running += float64(c.InFlight)
				out.Own += float64(c.Own)
			}
			return out
		},
		News:   func(string, time.Time) admission.News { return admission.News{} },
		Random: func() float64 { return 0 },
	})
	w.proxy = w.newTestProxy()
	w.proxy.SetConfig(configuration())
}

// bringAboutShortage lets callers ask for more than an endpoint can do, and returns while it is full.
func (w *harness) bringAboutShortage(rounds int) {
	for range rounds {
		w.occupy(3)
		time.Sleep(occupyTime * 3 / 4)
		w.statusFor(callerTimeout)
		time.Sleep(occupyWait / 2)
	}
	w.occupy(3)
	time.Sleep(occupyTime * 3 / 4)
}

func TestARequestThatIsNotAdmittedIsSentToNoEndpoint(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.useGate()
		const rounds = 8
		w.bringAboutShortage(rounds)
		begun := time.Now()
		answer := w.send(http.MethodPost, "/brief/x", "", "Deadline", "6000")
		w.g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		w.g.Expect(answer.Header().Get(names.RetryAfter)).NotTo(BeEmpty())
		w.g.Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Millisecond), "at once")
		lines := w.logs.withMessage("not answered")
		notAdmitted := 0
		for _, line := range lines {
			w.g.Expect([]any{line["verdict"], line["endpoints"]}).To(Equal([]any{"not-run", nil}))
			if line["code"] == "not_admitted" {
				notAdmitted++
			}
		}
		w.g.Expect(notAdmitted).To(BeNumerically(">", 0))
		w.g.Expect(lines[len(lines)-1]["code"]).To(Equal("not_admitted"))
		w.g.Expect(w.metrics.NotAdmitted.Count()).To(Equal(int64(notAdmitted)))
		w.g.Expect(w.endpoints["e0"].requests).To(HaveLen(4*(rounds+1) - len(lines)))
		time.Sleep(5 * time.Second) // the shortage is over
		w.g.Expect(w.statusFor(callerTimeout)).To(Equal(http.StatusOK))
		w.g.Expect(w.gate.Status()[0].Admitted).To(BeZero(), "grants end with their requests")
	}, always(occupyHandler))
}

// Guards against callers who are told to return when their answer can't end any more.
func TestARefusedCallerWhoseAnswerCannotEndLaterIsToldSo(t *testing.T) {
	for name, c := range map[string]struct {
		hint, deadline, code string
		from, to             time.Duration
	}{
		"a short answer":             {"200", "7000", "not_admitted", 500 * time.Millisecond, 2 * time.Second},
		"a long answer returns soon": {"500", "7000", "not_admitted", 100 * time.Millisecond, 250 * time.Millisecond},
		"one that would be cut":      {"2000", "6000", "too_late", 6 * time.Second, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				w.useGate()
				w.useEngine()
				w.bringAboutShortage(8)
				a := w.send(http.MethodPost, "/stream/", "x", "Tokens", "1000,4000", "Hint", c.hint, "Deadline", c.deadline)
				w.g.Expect(a.Code).To(Equal(http.StatusServiceUnavailable))
				lines := w.logs.withMessage("not answered")
				w.g.Expect(lines[len(lines)-1]).To(And(HaveKeyWithValue("code", c.code), HaveKeyWithValue("verdict", "not-run"),
					HaveKeyWithValue("detail", ContainSubstring("can't serve all requests")), HaveKeyWithValue("endpoints", BeNil())))
				after, err := time.ParseDuration(a.Header().Get(names.RetryAfter) + "s")
				w.g.Expect(err).NotTo(HaveOccurred())
				w.g.Expect(after).To(And(BeNumerically(">=", c.from), BeNumerically("<=", c.to)))
			}, always(occupyHandler))
		})
	}
}

// Work that has begun is never limited: a call keeps its grant for all attempts.
func TestARetryNeedsNoFurtherAdmission(t *testing.T) {
	runHarness(t, func(w *harness) {
		w.useGate()
		w.setDown("e0", true)
		w.g.Expect(w.statusFor(callerTimeout)).To(Equal(http.StatusOK), "at the other endpoint")
		w.g.Expect(w.gate.Status()[0].Admitted).To(BeZero())
		w.g.Expect(w.logs.withMessage("attempt failed")).To(HaveLen(1))
	}, always(occupyHandler), always(occupyHandler))
}

// Guards against a demand that counts a long answer as a short one.
func TestTheDemandFollowsFromTheStatedLengths(t *testing.T) {
	demand := func(header ...string) float64 {
		total := 0.0
		runHarness(t, func(w *harness) {
			w.useGate()
			w.useEngine()
			w.send(http.MethodPost, "/stream/", "x", header...)
			for _, d := range w.gate.Demand(time.Now()) {
				total += d.Recent.Total()
			}
		}, always(events(10*time.Millisecond, end, 1, 2)))
		return total
	}
	g := NewWithT(t)
	mean, long := demand("Tokens", "100,800"), demand("Tokens", "100,800", "Hint", "400")
	g.Expect(mean).To(BeNumerically(">", 0))
	g.Expect(demand("Tokens", "100,4")).To(BeNumerically("<", mean))
	g.Expect(long).To(BeNumerically(">", mean))
}
