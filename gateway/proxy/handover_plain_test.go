package proxy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/proxy"
)

func TestASlowPlainRequestIsNotLeftBeforeAnotherEndpointAnswers(t *testing.T) {
	slowly := delayed(700*time.Millisecond, respond(200, "late"))
	for name, next := range map[string]handler{
		"refuses": respond(503, "", "Not-Run: 1"), "fails": raw(""), "is silent": hang, "is slower": delayed(time.Second, respond(200, "later")),
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("GET", "/safe/", "")
				w.g.Expect([]any{a.Code, a.Body.String()}).To(Equal([]any{200, "late"}))
				w.g.Expect(w.balancer.InFlight()).To(BeEmpty())
			}, always(slowly), always(next))
		})
	}
	t.Run("cannot be asked", func(t *testing.T) {
		runHarness(t, func(w *harness) {
			w.useBudget(proxy.NewBudget(0, 0, 10*time.Second, func() int { return 1 }))
			a := w.send("GET", "/safe/", "")
			w.g.Expect([]any{a.Code, a.Body.String()}).To(Equal([]any{200, "late"}))
		}, always(slowly), always(respond(200, "soon")))
	})
}

func TestAnErrorAnswerIsNotGivenAwayForAFailure(t *testing.T) {
	for name, next := range map[string]handler{"refuses": respond(503, "", "Not-Run: 1"), "closes": raw("")} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(w *harness) {
				a := w.send("GET", "/safe/", "")
				w.g.Expect([]any{a.Code, a.Body.String(), a.Header().Get("Stamp")}).To(Equal([]any{500, "no", "st"}))
			}, always(respond(500, "no")), always(next))
		})
	}
	t.Run("no budget", func(t *testing.T) {
		runHarness(t, func(w *harness) {
			w.useBudget(proxy.NewBudget(0, 0, 10*time.Second, func() int { return 1 }))
			a := w.send("GET", "/safe/", "")
			w.g.Expect([]any{a.Code, a.Body.String(), a.Header().Get("Stamp")}).To(Equal([]any{500, "no", "st"}))
		}, always(respond(500, "no")), always(respond(200, "done")))
	})
}
