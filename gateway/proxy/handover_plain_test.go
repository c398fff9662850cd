package proxy_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/gateway/proxy"
)

func TestASlowPlainRequestIsNotLeftBeforeAnotherEndpointAnswers(t *testing.T) {
	slowly := after(700*time.Millisecond, text(200, "late"))
	for name, next := range map[string]step{
		"refuses": text(503, "", "Not-Run: 1"), "fails": raw(""), "is silent": hang, "is slower": after(time.Second, text(200, "later")),
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				a := w.ask("GET", "/safe/", "")
				w.g.Expect([]any{a.Code, a.Body.String()}).To(Equal([]any{200, "late"}))
				w.g.Expect(w.balancer.InFlight()).To(BeEmpty())
			}, always(slowly), always(next))
		})
	}
	t.Run("cannot be asked", func(t *testing.T) {
		play(t, func(w *world) {
			w.useBudget(proxy.NewBudget(0, 0, 10*time.Second, func() int { return 1 }))
			a := w.ask("GET", "/safe/", "")
			w.g.Expect([]any{a.Code, a.Body.String()}).To(Equal([]any{200, "late"}))
		}, always(slowly), always(text(200, "soon")))
	})
}

func TestAnErrorAnswerIsNotGivenAwayForAFailure(t *testing.T) {
	for name, next := range map[string]step{"refuses": text(503, "", "Not-Run: 1"), "closes": raw("")} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *world) {
				a := w.ask("GET", "/safe/", "")
				w.g.Expect([]any{a.Code, a.Body.String(), a.Header().Get("Stamp")}).To(Equal([]any{500, "no", "st"}))
			}, always(text(500, "no")), always(next))
		})
	}
	t.Run("no budget", func(t *testing.T) {
		play(t, func(w *world) {
			w.useBudget(proxy.NewBudget(0, 0, 10*time.Second, func() int { return 1 }))
			a := w.ask("GET", "/safe/", "")
			w.g.Expect([]any{a.Code, a.Body.String(), a.Header().Get("Stamp")}).To(Equal([]any{500, "no", "st"}))
		}, always(text(500, "no")), always(text(200, "done")))
	})
}
